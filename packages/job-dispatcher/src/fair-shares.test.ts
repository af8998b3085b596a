import { expect } from 'chai'
import * as fairShares from './fair-shares.ts'
import type * as interfaces from './interface.ts'
import type * as jobs from './jobs.ts'

const jobOf = (size: number): jobs.JobState =>
  ({ size, job: { queue: { name: 'slip' } } }) as unknown as jobs.JobState
const QUEUE = 'slip' as interfaces.QueueName

/** Shares after ten jobs of each size from 1 to 10, of which those of at least `refusedFrom` were refused. */
const sharesAfter = (refusedFrom: number): fairShares.FairShares => {
  const shares = fairShares.create({ sizeFloor: 0.7, queueFloor: 0.05 })
  for (let index = 0; index < 100; index++) {
    const job = jobOf(index % 10 + 1)
    shares.offered(job, index)
    if (job.size >= refusedFrom) shares.unserved(job, index)
  }
  return shares
}
const isProtected = (shares: fairShares.FairShares, size: number): boolean => {
  const job = jobOf(size)
  shares.offered(job, 100)
  return shares.protectsSize(job)
}

describe('fair shares', () => {
  // All-or-nothing starts would otherwise leave the largest tenth a fifth of what its queue gets.
  it('protect the sizes that are served less than their queue', () => {
    const shares = sharesAfter(10)
    expect(isProtected(shares, 10)).to.equal(true)
    expect(isProtected(shares, 8)).to.equal(false)
    expect(isProtected(shares, 3)).to.equal(false)
  })

  it('protect no size while all are served alike', () => {
    expect(isProtected(sharesAfter(Infinity), 10)).to.equal(false)
  })

  it('protect a queue that is hardly served, until it is served again', () => {
    const shares = sharesAfter(1)
    expect(shares.protectsQueue(QUEUE)).to.equal(true)
    for (let index = 0; index < 20; index++) shares.offered(jobOf(1), 100)
    expect(shares.protectsQueue(QUEUE)).to.equal(false)
    expect(sharesAfter(10).protectsQueue(QUEUE)).to.equal(false)
  })
})
