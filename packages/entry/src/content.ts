import * as crypto from 'node:crypto'
import canonicalize from 'canonicalize'
import * as errors from '@mustarddeck/errors'
import type * as types from '@mustarddeck/types'

/** Deeper JSON could exhaust the stack of recursive encoders. */
export const MAX_DEPTH = 64

const tooDeep = (value: unknown): boolean => {
  let level: unknown[] = [value]
  for (let depth = 0; depth <= MAX_DEPTH && level.length > 0; depth++) {
    level = level.flatMap((item) => typeof item === 'object' && item !== null ? Object.values(item) : [])
  }
  return level.length > 0
}

/**
 * SHA-256 over the RFC 8785 form of a JSON value, so that key order and spacing do not matter. The error is a message
 * about values that JSON cannot carry unchanged: infinite numbers, lone surrogates, or too many levels.
 */
export const digest = (value: unknown): errors.Result<types.Digest, string> => {
  if (tooDeep(value)) return errors.error(`the body has more than ${MAX_DEPTH} levels of nesting`)
  try {
    const text = canonicalize(value) ?? 'null'
    return errors.ok(crypto.createHash('sha256').update(text).digest('hex') as types.Digest)
  } catch (failure) {
    return errors.error(`a value cannot be kept unchanged: ${(failure as Error).message}`)
  }
}
