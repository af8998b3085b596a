import { expect } from 'chai'
import type * as jobs from './jobs.ts'
import * as retryTimes from './retry-times.ts'

const job = { work: 1_000_000, job: { queue: { service: 'corkbook' } } } as jobs.JobState
const SHARE = 100_000

describe('retry times', () => {
  // If all callers that a burst makes refuse came back after the same time, they would make a second burst.
  it('are spread so that the work that comes back stays within a part of the capacity', () => {
    const times = retryTimes.create()
    const due = Array.from({ length: 50 }, (_, index) => index * 10 + times.next(job, SHARE, 0, index * 10))
    for (let from = 0; from < 10_000; from += 1000) {
      const returning = due.filter((at) => at >= from && at < from + 1000).length
      expect(returning * job.work).to.be.at.most(0.1 * SHARE * 1000 + job.work)
    }
  })

  it('lie after the backlog, within bounds', () => {
    const times = retryTimes.create()
    expect(times.next(job, SHARE, 1500, 0)).to.equal(2500)
    for (let count = 0; count < 1000; count++) expect(times.next(job, SHARE, 0, 0)).to.be.within(1000, 30_000)
    expect(times.next(job, 0, 0, 100_000)).to.be.within(1000, 30_000)
  })
})
