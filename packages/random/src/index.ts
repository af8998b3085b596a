import * as floats from 'pure-rand/distribution/uniformFloat64'
import * as integers from 'pure-rand/distribution/uniformInt'
import * as generators from 'pure-rand/generator/xoroshiro128plus'

/** Deterministic random number generator: the same seed yields the same sequence. */
export interface Random {
  /** Uniform in [0, 1). */
  float (): number
  /** Uniform integer in [low, high], both inclusive. */
  integer (low: number, high: number): number
  /** Exponentially distributed with the given mean. */
  exponential (mean: number): number
  /** Uniformly chosen element; `items` must not be empty. */
  pick<Item> (items: readonly Item[]): Item
  /** Random string of `length` characters from a-z and 0-9. */
  text (length: number): string
  /** Creates an independent generator with a seed drawn from this one. */
  fork (): Random
}

const ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789'
const MAX_SEED = 0x7fffffff

/** Creates a generator; `seed` is a 32-bit integer. */
export const create = (seed: number): Random => {
  const generator = generators.xoroshiro128plus(seed)
  const float = (): number => floats.uniformFloat64(generator)
  const integer = (low: number, high: number): number => integers.uniformInt(generator, low, high)
  return {
    float,
    integer,
    exponential: (mean) => -mean * Math.log(1 - float()),
    pick: (items) => items[integer(0, items.length - 1)]!,
    text: (length) => Array.from({ length }, () => ALPHABET[integer(0, ALPHABET.length - 1)]).join(''),
    fork: () => create(integer(0, MAX_SEED))
  }
}
