import type * as clock from './index.ts'

/** Creates the system clock and its timers. With `keepAlive` false, pending timers do not keep the process alive. */
export const createSystem = ({ keepAlive = true } = {}): clock.Timers => ({
  now: () => new Date(),
  monotonic: () => performance.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs)
    if (!keepAlive) timer.unref()
    return () => clearTimeout(timer)
  }
})
