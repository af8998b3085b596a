import * as bodyparser from '@koa/bodyparser'
import type * as koa from 'koa'
import type * as limits from './limits.ts'
import * as invalid from './invalid.ts'
import * as reply from './reply.ts'

type BodyLimits = Pick<limits.Limits, 'maxBodyBytes' | 'maxReceivingBytes'>

interface ParseFailure extends Error {
  status?: number
  type?: string
}

const toInvalid = (failure: ParseFailure, maxBodyBytes: number): invalid.Invalid => {
  switch (failure.type) {
    case 'entity.too.large':
      return invalid.create('body-too-large', `the body is larger than ${maxBodyBytes} bytes`)
    case 'request.aborted': case 'request.size.invalid':
      return invalid.create('malformed-request', 'the body ended before its announced length')
  }
  if (failure.status === 415) return invalid.create('unsupported-media-type', failure.message)
  return invalid.create('malformed-json', `the body is not valid JSON: ${invalid.quote(failure.message)}`)
}

const RETRY_AFTER_MS = 1000

/**
 * Parses JSON bodies of `POST` requests and refuses other media types. A body of unknown length counts as
 * `maxBodyBytes` towards `maxReceivingBytes`.
 */
export const parser = ({ maxBodyBytes, maxReceivingBytes }: BodyLimits): koa.Middleware => {
  const parse = bodyparser.bodyParser({ enableTypes: ['json'], jsonLimit: maxBodyBytes, jsonStrict: true })
  let receivingBytes = 0

  return async (context, next) => {
    if (context.method !== 'POST') return next()
    if (!context.is('application/json')) {
      const refusal = invalid.create('unsupported-media-type', 'the body must have content-type application/json')
      return reply.refuse(context, refusal)
    }
    const bytes = Math.min(context.request.length ?? maxBodyBytes, maxBodyBytes)
    if (receivingBytes + bytes > maxReceivingBytes) {
      context.set('Connection', 'close')
      return reply.outcome(context, {
        kind: 'not-run', reason: 'overload', final: false, retryAfterMs: RETRY_AFTER_MS
      })
    }
    receivingBytes += bytes
    try {
      await parse(context, async () => {})
    } catch (failure) {
      context.set('Connection', 'close')
      return reply.refuse(context, toInvalid(failure as ParseFailure, maxBodyBytes))
    } finally {
      receivingBytes -= bytes
    }
    return next()
  }
}
