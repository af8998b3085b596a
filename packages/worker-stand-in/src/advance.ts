import type * as clock from '@mustarddeck/clock'

/** Lets promises that are settled already run on. */
const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

/** Moves a virtual clock, and lets promises run on after each callback. */
export const advance = async (timers: clock.VirtualClock, durationMs: number): Promise<void> => {
  const end = timers.monotonic() + durationMs
  await settle()
  for (let at = timers.next(); at !== undefined && at <= end; at = timers.next()) {
    timers.step()
    await settle()
  }
  timers.advance(end - timers.monotonic())
}
