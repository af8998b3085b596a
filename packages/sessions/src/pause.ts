import type * as clock from '@mustarddeck/clock'

/** Interval in ms at which the clocks are compared. */
const TICK_MS = 100

export interface Pause {
  gapMs: number
  /** Part of the gap that the monotonic clock did not count. */
  uncountedMs: number
}

/** Detects that the process was paused or suspended, so that its view of other processes is out of date. */
export interface PauseWatch {
  /** Must be called before any input is handled, since input that was queued during a pause is out of date as well. */
  check (): void
  stop (): void
}

/**
 * Calls `onPause` for gaps longer than `limitMs` between checks. The wall clock is compared too, since the monotonic
 * clock stops while a machine is suspended. Setting the wall clock forward is treated as a pause: it closes links but
 * violates no guarantee.
 */
export const watch = (timers: clock.Timers, limitMs: number, onPause: (pause: Pause) => void): PauseWatch => {
  let lastMonotonic = timers.monotonic()
  let lastWallClock = timers.now().getTime()
  let cancel: clock.Cancellation = () => {}

  const check = (): void => {
    const monotonic = timers.monotonic()
    const wallClock = timers.now().getTime()
    const countedMs = monotonic - lastMonotonic
    const gapMs = Math.max(countedMs, wallClock - lastWallClock)
    lastMonotonic = monotonic
    lastWallClock = wallClock
    if (gapMs > limitMs) onPause({ gapMs: Math.round(gapMs), uncountedMs: Math.round(gapMs - countedMs) })
  }
  const tick = (): void => {
    check()
    cancel = timers.after(TICK_MS, tick)
  }
  cancel = timers.after(TICK_MS, tick)
  return { check, stop: () => cancel() }
}
