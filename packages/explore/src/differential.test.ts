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
const essence = (job: callers.Job, request: callers.Request): string => {
  const outcome = request.answers[0]?.outcome
  const nameOf = (name: string): string => name.replace(/^c\d+/, request.content === job.content ? 'job' : 'other')
  switch (outcome?.kind) {
    case 'complete':
      return `complete ${outcome.results.map(({ name, result }) =>
        `${nameOf(name)}=${nameOf(String(result)).split('@')[0]}`).join(' ')}`
    case 'failed':
      return `failed ${outcome.reason} ${outcome.tasks.map(({ name, outcome: task }) =>
        `${nameOf(name)}=${task.kind === 'failed' ? task.reason : task.kind}`).join(' ')}`
    default:
      return outcome?.kind ?? 'no answer'
  }
}
const answers = (side: callers.Callers): string[][] => side.jobs.map((job) =>
  job.requests.filter((request) => !request.healed).map((request) => essence(job, request)))

describe('the dispatcher without faults', () => {
  // Guards against answers that differ from what a dispatcher without any optimisation gives.
  it(`answers like a dispatcher that writes every start to the table first (seed ${SEED})`, () => {
    fc.assert(fc.property(events.faultless, (schedule) => {
      const record = runs.run(schedule, real.realCores)
      expect(record.failures).to.deep.equal([])
      expect(answers(record.callers)).to.deep.equal(answers(naive.run(schedule)))
    }), { seed: SEED, numRuns: RUNS })
  })
})
