import type * as clock from '@mustarddeck/clock'
import type * as kernel from '@mustarddeck/kernel'

/** Minimum delay in ms before an expedited run, so that many requests share one run. */
const MIN_INTERVAL_MS = 100

export interface Poller extends kernel.Service {
  /** Runs the work after `MIN_INTERVAL_MS` instead of the full interval. */
  expedite (): void
}

/** Runs `work` repeatedly, with `intervalMs` between the end of one run and the start of the next. */
export const create = (timers: clock.Timers, intervalMs: number, work: () => Promise<void>): Poller => {
  let stopped = false
  let expedited = false
  let cancel: clock.Cancellation | undefined
  let currentRun: Promise<void> | undefined

  const schedule = (): void => {
    cancel?.()
    if (!stopped) cancel = timers.after(expedited ? Math.min(MIN_INTERVAL_MS, intervalMs) : intervalMs, startRun)
  }
  const run = async (): Promise<void> => {
    expedited = false
    await work()
    currentRun = undefined
    schedule()
  }
  const startRun = (): void => { currentRun = run() }
  return {
    start: startRun,
    expedite: () => {
      if (expedited) return
      expedited = true
      if (!currentRun) schedule()
    },
    stop: async () => {
      stopped = true
      cancel?.()
      await currentRun
    }
  }
}
