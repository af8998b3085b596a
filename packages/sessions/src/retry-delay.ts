import type * as random from '@mustarddeck/random'

/** Upper bound in ms of the first delay. */
const FIRST_MS = 50
const GROWTH = 1.2
const MAX_MS = 1000

/**
 * Delay in ms before the next attempt to reach a peer. Load pattern: all processes restart together, and hundreds of
 * agents dial entries that are still starting. Growing delays bound the attempts that reach one entry, and jitter
 * spreads them; after a restart of a few seconds a peer is still found within some hundred ms.
 */
export const delayMs = (failures: number, generator: random.Random): number =>
  Math.min(MAX_MS, FIRST_MS * GROWTH ** failures) * (1 + generator.float()) / 2
