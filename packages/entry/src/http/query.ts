import * as errors from '@mustarddeck/errors'
import type * as koa from 'koa'
import * as invalid from './invalid.ts'

const NUMBER = /^[0-9]{1,9}$/
const KEY = /^[\x21-\x7e]{1,255}$/

/** Reads `waitMs`, the only query parameter of jobs. */
export const waitMs = (
  context: koa.Context, fallback: number, maximum: number
): errors.Result<number, invalid.Invalid> => {
  const { waitMs: text, ...rest } = context.query
  const [unknown] = Object.keys(rest)
  if (unknown !== undefined) {
    return errors.error(invalid.create('bad-query', `unknown query parameter ${invalid.quote(unknown)}`))
  }
  if (text === undefined) return errors.ok(fallback)
  if (typeof text !== 'string' || !NUMBER.test(text) || Number(text) > maximum) {
    return errors.error(invalid.create('bad-query', `waitMs must be one integer from 0 to ${maximum}`))
  }
  return errors.ok(Number(text))
}

/** Reads the header `Idempotency-Key`; undefined when it is absent. */
export const idempotencyKey = (context: koa.Context): errors.Result<string | undefined, invalid.Invalid> => {
  const key = context.headers['idempotency-key']
  if (key === undefined) return errors.ok(undefined)
  if (typeof key === 'string' && KEY.test(key)) return errors.ok(key)
  return errors.error(invalid.create('bad-idempotency-key',
    'Idempotency-Key must be 1 to 255 visible ASCII characters'))
}
