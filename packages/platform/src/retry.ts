import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'
import type * as random from '@mustarddeck/random'
import type * as table from './table.ts'

/** Options of a retried operation. Delays between attempts are random with exponentially growing bounds. */
export interface RetryOptions {
  timers: clock.Timers
  random: random.Random
  attempts?: number
  /** Time in ms after the start at which no further attempt begins. */
  limitMs?: number
}

const DEFAULT_ATTEMPTS = 20
/** Without this limit, all attempts would take several minutes while requests to the store hang. */
const DEFAULT_LIMIT_MS = 10_000
const FIRST_DELAY_MS = 10
const MAX_DELAY_MS = 500

const backOff = ({ timers, random }: RetryOptions, attempt: number): Promise<void> => {
  const delayMs = random.float() * Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** attempt)
  return new Promise((resolve) => timers.after(delayMs, resolve))
}

/**
 * Repeats `operation` after a conflict or an `uncertain` error. The operation must read the rows again each time and
 * write only what is missing, as an earlier attempt may have taken effect. `unavailable` is returned at once, unless an
 * earlier attempt was `uncertain`: then it is retried too, and the final error is `uncertain`.
 */
export const retry = async <Value>(
  options: RetryOptions, operation: () => Promise<errors.Result<Value, table.StoreError>>
): Promise<errors.Result<Value, table.StoreError>> => {
  const { timers, attempts = DEFAULT_ATTEMPTS, limitMs = DEFAULT_LIMIT_MS } = options
  const deadlineMs = timers.monotonic() + limitMs
  let uncertainError: table.StoreError | undefined
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    if (attempt > 0) await backOff(options, attempt)
    if (timers.monotonic() > deadlineMs) break
    const result = await operation()
    if (result.kind === 'ok') return result
    if (result.error.kind === 'uncertain') uncertainError = result.error
    if (result.error.kind === 'unavailable' && !uncertainError) return result
  }
  return errors.error(uncertainError ?? { kind: 'unavailable', message: 'every attempt conflicted with other writers' })
}
