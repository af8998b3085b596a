import { expect } from 'chai'
import * as types from '@mustarddeck/types'
import * as fc from 'fast-check'
import * as checks from './check.ts'
import * as events from './events.ts'
import * as real from './real-cores.ts'
import * as runs from './run.ts'

const SEED = 20261204
const RUNS = 300
/** Bound of the design beyond the tasks' own run time. */
const FINAL_MS = 3000

/** Longest time in ms between a resubmission and its final outcome, beyond the longest run time of the job's tasks. */
const slowest = (schedule: events.Schedule): number => {
  const record = runs.run(schedule, real.realCores)
  expect(checks.check(record)).to.deep.equal([])
  return Math.max(...record.callers.requests
    .filter((request) => !request.healed && request.content && request.entry.startsWith('entry-1'))
    .map((request) => {
      const [answer] = request.answers
      if (!answer || !types.isFinal(answer.outcome)) return Infinity
      const runMs = Math.max(...request.content!.tasks.map((task) => Math.min(task.runMs, runs.TIME_LIMIT_MS)))
      return answer.at - request.at - runMs
    }))
}

describe('the death of an entry', () => {
  // Guards against callers that wait longer than promised for jobs of a dead entry.
  it(`leaves resubmissions without a final outcome for at most ${FINAL_MS} ms (seed ${SEED})`, () => {
    fc.assert(fc.property(events.ownerDeath(false), (schedule) => {
      expect(slowest(schedule)).to.be.at.most(FINAL_MS)
    }), { seed: SEED, numRuns: RUNS })
  })
})
