import TinyQueue from 'tinyqueue'
import type * as clock from './index.ts'

interface ScheduledCallback {
  dueMs: number
  order: number
  callback: (() => void) | undefined
}

/** Clock that advances only by `step` and `advance`. Callbacks run in order of time, then of scheduling. */
export interface VirtualClock extends clock.Timers {
  /** Monotonic time of the next callback in ms, or undefined if none is scheduled. */
  next (): number | undefined
  /** Advances to the next callback and runs it. Returns false if none is scheduled. */
  step (): boolean
  /** Advances the clock by `durationMs` and runs all callbacks that become due. */
  advance (durationMs: number): void
}

const compare = (a: ScheduledCallback, b: ScheduledCallback): number => a.dueMs - b.dueMs || a.order - b.order

/** Creates a virtual clock. `start` is the wall-clock time at monotonic time 0. */
export const createVirtual = ({ start = new Date(0) } = {}): VirtualClock => {
  const queue = new TinyQueue<ScheduledCallback>([], compare)
  let nowMs = 0
  let order = 0

  const removeCancelled = (): void => {
    while (queue.length > 0 && !queue.peek()!.callback) queue.pop()
  }
  const next = (): number | undefined => {
    removeCancelled()
    return queue.peek()?.dueMs
  }
  const step = (): boolean => {
    if (next() === undefined) return false
    const scheduled = queue.pop()!
    nowMs = Math.max(nowMs, scheduled.dueMs)
    scheduled.callback!()
    return true
  }
  return {
    now: () => new Date(start.getTime() + nowMs),
    monotonic: () => nowMs,
    after: (delayMs, callback) => {
      const scheduled: ScheduledCallback = { dueMs: nowMs + Math.max(0, delayMs), order: order++, callback }
      queue.push(scheduled)
      return () => { scheduled.callback = undefined }
    },
    next,
    step,
    advance: (durationMs) => {
      const endMs = nowMs + durationMs
      for (let dueMs = next(); dueMs !== undefined && dueMs <= endMs; dueMs = next()) step()
      nowMs = endMs
    }
  }
}
