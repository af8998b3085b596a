import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'
import type * as random from '@mustarddeck/random'
import type * as table from './table.ts'

/** Bounds of one retried operation; delays between attempts are random and double up to the limit. */
export interface Retry {
  timers: clock.Timers
  random: random.Random
  attempts?: number
  /** No attempt begins later than this after the first. */
  limitMs?: number
}

const DEFAULT_ATTEMPTS = 20
/** While requests to the store hang, the attempts alone would take several minutes. */
const DEFAULT_LIMIT_MS = 10_000
const FIRST_DELAY_MS = 10
const MAX_DELAY_MS = 500

const pause = ({ timers, random }: Retry, attempt: number): Promise<void> => {
  const delayMs = random.float() * Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** attempt)
  return new Promise((resolve) => timers.after(delayMs, resolve))
}

/**
 * Repeats `step` after a conflict or a lost answer. Each step reads the rows anew and completes what is missing, so an
 * earlier step that took effect unseen is found by reading back. `unavailable` is returned at once if nothing can have
 * been written. After a lost answer it is retried too, and the error of the whole is then `uncertain`.
 */
export const retry = async <Value>(
  bounds: Retry, step: () => Promise<errors.Result<Value, table.StoreError>>
): Promise<errors.Result<Value, table.StoreError>> => {
  const { timers, attempts = DEFAULT_ATTEMPTS, limitMs = DEFAULT_LIMIT_MS } = bounds
  const end = timers.monotonic() + limitMs
  let doubt: table.StoreError | undefined
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    if (attempt > 0) await pause(bounds, attempt)
    if (timers.monotonic() > end) break
    const result = await step()
    if (result.kind === 'ok') return result
    if (result.error.kind === 'uncertain') doubt = result.error
    if (result.error.kind === 'unavailable' && !doubt) return result
  }
  return errors.error(doubt ?? { kind: 'unavailable', message: 'other writers changed the rows at every attempt' })
}
