import type * as random from '@mustarddeck/random'

const INITIAL_DELAY_MS = 50
const MAX_DELAY_MS = 2000

/** Exponential backoff with jitter: returns the delay in ms after `failures` consecutive failures. */
export const delay = (failures: number, generator: random.Random): number => {
  const longestMs = Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** Math.min(failures, 10))
  return longestMs * (1 + generator.float()) / 2
}
