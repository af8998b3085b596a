import * as crypto from 'node:crypto'
import canonicalize from 'canonicalize'
import * as errors from '@mustarddeck/errors'
import type * as types from '@mustarddeck/types'

/** Deeper nesting could overflow the stack of recursive encoders. */
export const MAX_DEPTH = 64

const exceedsMaxDepth = (value: unknown): boolean => {
  let level: unknown[] = [value]
  for (let depth = 0; depth <= MAX_DEPTH && level.length > 0; depth++) {
    level = level.flatMap((item) => typeof item === 'object' && item !== null ? Object.values(item) : [])
  }
  return level.length > 0
}

/**
 * Returns the SHA-256 of the canonical form (RFC 8785) of a JSON value, which ignores key order and white space. The
 * error is a message for values that have no canonical form (infinite numbers, lone surrogates) or are nested too deep.
 */
export const digest = (value: unknown): errors.Result<types.Digest, string> => {
  if (exceedsMaxDepth(value)) return errors.error(`the body has more than ${MAX_DEPTH} levels of nesting`)
  try {
    const text = canonicalize(value) ?? 'null'
    return errors.ok(crypto.createHash('sha256').update(text).digest('hex') as types.Digest)
  } catch (failure) {
    return errors.error(`a value cannot be kept unchanged: ${(failure as Error).message}`)
  }
}
