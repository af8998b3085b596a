import type * as random from '@mustarddeck/random'

const FIRST_MS = 50
const MAX_MS = 2000

/** Delay in ms before the next attempt after `failures` failures in a row, at random between half and the whole. */
export const delay = (failures: number, generator: random.Random): number => {
  const longest = Math.min(MAX_MS, FIRST_MS * 2 ** Math.min(failures, 10))
  return longest * (1 + generator.float()) / 2
}
