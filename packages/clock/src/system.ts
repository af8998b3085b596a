import type * as clock from './index.ts'

/** The machine's clock and timers. Timers do not keep the process alive unless `keepAlive` is set. */
export const createSystem = ({ keepAlive = true } = {}): clock.Timers => ({
  now: () => new Date(),
  monotonic: () => performance.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs)
    if (!keepAlive) timer.unref()
    return () => clearTimeout(timer)
  }
})
