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
/** Least share of jobs to which the bound applies; the others have an unregistered view after a slow read. */
const LEAST_SHARE = 0.95

/**
 * Times in ms between a resubmission and its final outcome, beyond the longest run time of the job's tasks. Undefined
 * for a job of an unregistered view, whose outcome may stay unknown for good.
 */
const finalTimes = (schedule: events.Schedule): Array<number | undefined> => {
  const record = runs.run(schedule, real.realCores)
  expect(checks.check(record)).to.deep.equal([])
  return record.callers.requests
    .filter((request) => !request.healed && request.content && request.entry.startsWith('entry-1'))
    .map((request) => {
      if (types.parseJobId(request.job.id!)!.view.kind === 'unregistered') return undefined
      const [answer] = request.answers
      if (!answer || !types.isFinal(answer.outcome)) return Infinity
      const runMs = Math.max(...request.content!.tasks.map((task) => Math.min(task.runMs, runs.TIME_LIMIT_MS)))
      return answer.at - request.at - runMs
    })
}

describe('the death of an entry', () => {
  // Guards against callers that wait longer than promised for jobs of a dead entry.
  it(`leaves resubmissions without a final outcome for at most ${FINAL_MS} ms (seed ${SEED})`, () => {
    let [bounded, all] = [0, 0]
    fc.assert(fc.property(events.ownerDeath(false), (schedule) => {
      for (const time of finalTimes(schedule)) {
        all++
        if (time === undefined) continue
        bounded++
        expect(time).to.be.at.most(FINAL_MS)
      }
    }), { seed: SEED, numRuns: RUNS })
    expect(bounded / all).to.be.at.least(LEAST_SHARE)
  })
})
