import type * as clock from '@mustarddeck/clock'

/** Runs the continuations of promises that are already settled. */
const runPendingPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

/** Advances a virtual clock by `durationMs` and runs promise continuations after each callback. */
export const advance = async (timers: clock.VirtualClock, durationMs: number): Promise<void> => {
  const end = timers.monotonic() + durationMs
  await runPendingPromises()
  for (let at = timers.next(); at !== undefined && at <= end; at = timers.next()) {
    timers.step()
    await runPendingPromises()
  }
  timers.advance(end - timers.monotonic())
}
