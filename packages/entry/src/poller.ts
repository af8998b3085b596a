import type * as clock from '@mustarddeck/clock'
import type * as kernel from '@mustarddeck/kernel'

/** Least time in ms between runs that `soon` asks for. */
const MIN_INTERVAL_MS = 100

export interface Poller extends kernel.Service {
  /** Brings the next run forward. */
  soon (): void
}

/** Repeats `work` with `intervalMs` between the end of one run and the start of the next. */
export const create = (timers: clock.Timers, intervalMs: number, work: () => Promise<void>): Poller => {
  let stopped = false
  let wanted = false
  let cancel: clock.Cancellation | undefined
  let running: Promise<void> | undefined

  const schedule = (): void => {
    cancel?.()
    if (!stopped) cancel = timers.after(wanted ? Math.min(MIN_INTERVAL_MS, intervalMs) : intervalMs, begin)
  }
  const run = async (): Promise<void> => {
    wanted = false
    await work()
    running = undefined
    schedule()
  }
  const begin = (): void => { running = run() }
  return {
    start: begin,
    soon: () => {
      if (wanted) return
      wanted = true
      if (!running) schedule()
    },
    stop: async () => {
      stopped = true
      cancel?.()
      await running
    }
  }
}
