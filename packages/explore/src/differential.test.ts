import { expect } from 'chai'
import * as fc from 'fast-check'
import * as events from './events.ts'
import type * as callers from './fakes/callers.ts'
import * as naive from './naive.ts'
import * as real from './real-cores.ts'
import * as runs from './run.ts'

const SEED = 20261204
const RUNS = 150

/** The part of an answer that does not depend on identities, workers or times. */
interface Essence {
  kind: string
  tasks: string[]
}

const essence = (job: callers.Job, request: callers.Request): Essence => {
  const outcome = request.answers[0]?.outcome
  const nameOf = (name: string): string => name.replace(/^c\d+/, request.content === job.content ? 'job' : 'other')
  switch (outcome?.kind) {
    case 'complete':
      return {
        kind: 'complete',
        tasks: outcome.results.map(({ name, result }) => `${nameOf(name)}=${nameOf(String(result)).split('@')[0]}`)
      }
    case 'failed':
      return {
        kind: `failed ${outcome.reason}`,
        tasks: outcome.tasks.map(({ name, outcome: task }) =>
          `${nameOf(name)}=${task.kind === 'failed' ? task.reason : task.kind}`)
      }
    default:
      return { kind: outcome?.kind ?? 'no answer', tasks: [] }
  }
}
/** After a failure the dispatcher withdraws waiting tasks and aborts idempotent ones, which the naive one runs. */
const isSame = (own: string, naiveTask: string, idempotent: boolean): boolean =>
  own === naiveTask || own === naiveTask.replace(/=.*/, '=never-started') ||
  (idempotent && own === naiveTask.replace(/=.*/, '=cancelled'))

const expectSame = (own: Essence, expected: Essence, idempotent: boolean): void => {
  expect(own.kind).to.equal(expected.kind)
  if (!own.kind.startsWith('failed')) return expect(own.tasks).to.deep.equal(expected.tasks) as never
  expect(own.tasks).to.have.length(expected.tasks.length)
  own.tasks.forEach((task, index) =>
    expect(isSame(task, expected.tasks[index]!, idempotent), `${task} for ${expected.tasks[index]}`).to.equal(true))
  expect(own.tasks.filter((task) => task.endsWith('=time-limit'))).to.not.deep.equal([])
}
const requestsOf = (job: callers.Job): callers.Request[] => job.requests.filter((request) => !request.healed)

describe('the dispatcher without faults', () => {
  // Guards against answers that differ from what a dispatcher without any optimisation gives.
  it(`answers like a dispatcher that writes every start to the table first (seed ${SEED})`, () => {
    fc.assert(fc.property(events.faultless, (schedule) => {
      const record = runs.run(schedule, real.realCores)
      expect(record.failures).to.deep.equal([])
      const expected = naive.run(schedule).jobs
      expect(record.callers.jobs).to.have.length(expected.length)
      record.callers.jobs.forEach((job, number) => {
        const [own, other] = [requestsOf(job), requestsOf(expected[number]!)]
        expect(own).to.have.length(other.length)
        own.forEach((request, at) => expectSame(
          essence(job, request), essence(expected[number]!, other[at]!), request.content?.idempotent ?? false))
      })
    }), { seed: SEED, numRuns: RUNS })
  })
})
