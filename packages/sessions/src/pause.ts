import type * as clock from '@mustarddeck/clock'

/** Time in ms between the ticks of the watch. */
const TICK_MS = 100

/** Tells when the process has stood still, so that what it believes about others is out of date. */
export interface PauseWatch {
  /** To be called before any input is handled: input that waited during a pause is out of date as well. */
  check (): void
  stop (): void
}

/**
 * `limitMs` is the longest gap that is no pause. The time of day counts as well, since the steady clock does not run
 * while a machine is suspended; a clock that is set forward is taken for a pause, which costs links but no promise.
 */
export const watch = (timers: clock.Timers, limitMs: number, onPause: (gapMs: number) => void): PauseWatch => {
  let steadyAt = timers.monotonic()
  let dayAt = timers.now().getTime()
  let cancel: clock.Cancellation = () => {}

  const check = (): void => {
    const steady = timers.monotonic()
    const day = timers.now().getTime()
    const gapMs = Math.max(steady - steadyAt, day - dayAt)
    steadyAt = steady
    dayAt = day
    if (gapMs > limitMs) onPause(Math.round(gapMs))
  }
  const tick = (): void => {
    check()
    cancel = timers.after(TICK_MS, tick)
  }
  cancel = timers.after(TICK_MS, tick)
  return { check, stop: () => cancel() }
}
