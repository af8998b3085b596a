import type * as core from '@mustarddeck/entry-core'
import type * as types from '@mustarddeck/types'

/** Fake decision code for tests of the HTTP layer: records its inputs and returns the effects of `answer`. */
export interface FakeCore extends core.EntryCore {
  inputs: core.Input[]
  /** Number of submissions that reached the decision code. */
  submitted: () => number
}

const RESERVATION: core.Reservation = { prefix: 'abcdefgh.r0.1', first: 0, count: 1000, lifetimeMs: 60_000 }

export const create = (answer: (input: core.Input) => core.Effect[]): FakeCore => {
  const inputs: core.Input[] = []
  return {
    inputs,
    submitted: () => inputs.filter(({ kind }) => kind === 'submit').length,
    handle: (input) => {
      inputs.push(input)
      const effects = answer(input)
      return input.kind === 'reserve' && !effects.some(({ kind }) => kind === 'reserve-refused')
        ? [{ kind: 'reserved', request: input.request, reservation: RESERVATION }]
        : effects
    },
    deadline: () => undefined,
    demand: () => [],
    status: () => ({
      incarnation: 'abcdefgh' as types.Incarnation,
      draining: false,
      jobs: 0,
      waitingTasks: 0,
      runningTasks: 0,
      backlog: [],
      agents: 0,
      entries: 0,
      bytes: 0
    })
  }
}
