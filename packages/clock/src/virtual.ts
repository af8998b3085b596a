import TinyQueue from 'tinyqueue'
import type * as clock from './index.ts'

interface Entry {
  at: number
  order: number
  callback: (() => void) | undefined
}

/** A clock that moves only when told to, and runs due callbacks in order of time, then of scheduling. */
export interface VirtualClock extends clock.Timers {
  /** Time of the next callback in ms, or undefined if none is scheduled. */
  next (): number | undefined
  /** Moves to the next callback and runs it. Returns false if none is scheduled. */
  step (): boolean
  /** Runs all callbacks due within the next `durationMs` and moves the clock by that much. */
  advance (durationMs: number): void
}

const compare = (a: Entry, b: Entry): number => a.at - b.at || a.order - b.order

/** `start` is the wall time at monotonic time 0. */
export const createVirtual = ({ start = new Date(0) } = {}): VirtualClock => {
  const queue = new TinyQueue<Entry>([], compare)
  let time = 0
  let order = 0

  const dropCancelled = (): void => {
    while (queue.length > 0 && !queue.peek()!.callback) queue.pop()
  }
  const next = (): number | undefined => {
    dropCancelled()
    return queue.peek()?.at
  }
  const step = (): boolean => {
    if (next() === undefined) return false
    const entry = queue.pop()!
    time = Math.max(time, entry.at)
    entry.callback!()
    return true
  }
  return {
    now: () => new Date(start.getTime() + time),
    monotonic: () => time,
    after: (delayMs, callback) => {
      const entry: Entry = { at: time + Math.max(0, delayMs), order: order++, callback }
      queue.push(entry)
      return () => { entry.callback = undefined }
    },
    next,
    step,
    advance: (durationMs) => {
      const end = time + durationMs
      for (let at = next(); at !== undefined && at <= end; at = next()) step()
      time = end
    }
  }
}
