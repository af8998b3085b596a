import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'

/** Turns of the event loop without a scheduled callback, after which the promise is considered stuck. */
const MAX_IDLE_TURNS = 10_000

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

/** Steps the virtual clock, with a turn of the event loop before each step, until the promise settles. */
export const drive = async <Value>(timers: clock.VirtualClock, promise: Promise<Value>): Promise<Value> => {
  const state = { settled: false }
  let idleTurns = 0
  const settle = (): void => { state.settled = true }
  promise.then(settle, settle)
  for (await nextTurn(); !state.settled; await nextTurn()) {
    idleTurns = timers.step() ? 0 : idleTurns + 1
    errors.invariant(idleTurns < MAX_IDLE_TURNS, 'the promise waits for an event that is not scheduled on the virtual clock')
  }
  return promise
}
