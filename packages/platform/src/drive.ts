import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'

/** Turns of the event loop without a callback to run, after which the promise is taken to be stuck. */
const MAX_IDLE_TURNS = 10_000

const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

/** Steps the virtual clock, with a turn of the event loop before each step, until the promise settles. */
export const drive = async <Value>(timers: clock.VirtualClock, promise: Promise<Value>): Promise<Value> => {
  const state = { settled: false }
  let idle = 0
  const settle = (): void => { state.settled = true }
  promise.then(settle, settle)
  for (await turn(); !state.settled; await turn()) {
    idle = timers.step() ? 0 : idle + 1
    errors.invariant(idle < MAX_IDLE_TURNS, 'the promise waits for something that is not on the virtual clock')
  }
  return promise
}
