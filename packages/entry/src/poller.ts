import type * as clock from '@mustarddeck/clock'
import type * as kernel from '@mustarddeck/kernel'

/** Repeats `work` with `intervalMs` between the end of one run and the start of the next. */
export const create = (timers: clock.Timers, intervalMs: number, work: () => Promise<void>): kernel.Service => {
  let stopped = false
  let cancel: clock.Cancellation | undefined
  let running: Promise<void> = Promise.resolve()

  const run = async (): Promise<void> => {
    await work()
    if (!stopped) cancel = timers.after(intervalMs, begin)
  }
  const begin = (): void => { running = run() }
  return {
    start: begin,
    stop: async () => {
      stopped = true
      cancel?.()
      await running
    }
  }
}
