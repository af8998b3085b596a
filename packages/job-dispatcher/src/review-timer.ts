import type * as clock from '@mustarddeck/clock'

/** Interval in ms between reviews of waiting, lost and overdue tasks. */
const REVIEW_MS = 20
/** Interval in ms between reviews while no task waits. */
const IDLE_REVIEW_MS = 60

/** Runs reviews periodically, more often while tasks wait. */
export interface ReviewTimer {
  /** Brings the next review forward if tasks wait. */
  hasten (): void
  stop (): void
}

export interface Options {
  timers: clock.Timers
  review (): void
  isWaiting (): boolean
}

export const create = ({ timers, review, isWaiting }: Options): ReviewTimer => {
  /** Monotonic ms at which the next review is due. */
  let dueAt = Infinity
  let cancel: clock.Cancellation = () => {}

  const schedule = (): void => {
    const delayMs = isWaiting() ? REVIEW_MS : IDLE_REVIEW_MS
    const nextAt = timers.monotonic() + delayMs
    // A review that is late already is not put off.
    if (dueAt <= nextAt) return
    dueAt = nextAt
    cancel()
    cancel = timers.after(delayMs, run)
  }
  const run = (): void => {
    dueAt = Infinity
    review()
    schedule()
  }
  schedule()
  return { hasten: schedule, stop: () => cancel() }
}
