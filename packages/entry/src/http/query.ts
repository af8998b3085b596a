import * as errors from '@mustarddeck/errors'
import type * as koa from 'koa'
import * as invalid from './invalid.ts'

const WAIT_MS_PATTERN = /^[0-9]{1,9}$/
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/

/** Parses `waitMs`, the only supported query parameter, and refuses others. */
export const waitMs = (
  context: koa.Context, defaultMs: number, maximumMs: number
): errors.Result<number, invalid.Invalid> => {
  const { waitMs: text, ...rest } = context.query
  const [unknownParameter] = Object.keys(rest)
  if (unknownParameter !== undefined) {
    return errors.error(invalid.create('bad-query', `unknown query parameter ${invalid.quote(unknownParameter)}`))
  }
  if (text === undefined) return errors.ok(defaultMs)
  if (typeof text !== 'string' || !WAIT_MS_PATTERN.test(text) || Number(text) > maximumMs) {
    return errors.error(invalid.create('bad-query', `waitMs must be one integer from 0 to ${maximumMs}`))
  }
  return errors.ok(Number(text))
}

/** Parses the header `Idempotency-Key`; the value is undefined if the header is absent. */
export const idempotencyKey = (context: koa.Context): errors.Result<string | undefined, invalid.Invalid> => {
  const key = context.headers['idempotency-key']
  if (key === undefined) return errors.ok(undefined)
  if (typeof key === 'string' && IDEMPOTENCY_KEY_PATTERN.test(key)) return errors.ok(key)
  return errors.error(invalid.create('bad-idempotency-key',
    'Idempotency-Key must be 1 to 255 visible ASCII characters'))
}
