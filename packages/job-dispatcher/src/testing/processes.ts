import type * as clock from '@mustarddeck/clock'

/** Longest standstill in ms that a process doesn't notice. */
const UNNOTICED_PAUSE_MS = 300

/** A simulated process that can stand still and end. */
export interface Process {
  /** Timers whose callbacks wait while the process stands still and never run after its end. */
  timers: clock.Timers
  /** Runs the callback as soon as the process is not standing still, or never if it has ended. */
  run (callback: () => void): void
  freeze (durationMs: number): void
  isRunning (): boolean
  hasEnded (): boolean
  end (): void
}

/** `onPause` is called after each standstill that the process notices, before everything that came up meanwhile. */
export const create = (timers: clock.Timers, onPause: () => void): Process => {
  let state: 'running' | 'frozen' | 'ended' = 'running'
  let deferred: Array<() => void> = []

  const run = (callback: () => void): void => {
    if (state === 'running') callback()
    else if (state === 'frozen') deferred.push(callback)
  }
  return {
    run,
    timers: {
      now: timers.now,
      monotonic: timers.monotonic,
      after: (delayMs, callback) => {
        let cancelled = false
        const cancel = timers.after(delayMs, () => run(() => { if (!cancelled) callback() }))
        return () => {
          cancelled = true
          cancel()
        }
      }
    },
    freeze: (durationMs) => {
      if (state !== 'running') return
      state = 'frozen'
      timers.after(durationMs, () => {
        if (state !== 'frozen') return
        state = 'running'
        const callbacks = deferred
        deferred = []
        if (durationMs > UNNOTICED_PAUSE_MS) onPause()
        for (const callback of callbacks) run(callback)
      })
    },
    isRunning: () => state === 'running',
    hasEnded: () => state === 'ended',
    end: () => { state = 'ended' }
  }
}
