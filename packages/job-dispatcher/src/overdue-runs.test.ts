import { expect } from 'chai'
import * as overdueRuns from './overdue-runs.ts'

const RUN: overdueRuns.Run = {
  expectedMs: 86, elsewhereMs: 86, usefulMs: 1460, onFaultyWorker: false, hasTail: true, workerIsActive: true
}
const LATE_MS = 3 * 86 + 250

describe('bound for overdue runs', () => {
  // 3 of 100 runs take 7 times as long; stopping them costs what they have done.
  it('lets a run of 7 times the mean end if that is in time for its caller', () => {
    expect(overdueRuns.stopAfterMs(RUN)).to.be.above(7 * 86)
  })

  // A run that hangs on a worker whose other runs end must leave the time to run elsewhere.
  it('stops a run of the tail while a run elsewhere can still end in time', () => {
    expect(overdueRuns.stopAfterMs({ ...RUN, usefulMs: 850 })).to.be.within(LATE_MS, 850 - 2 * 86)
  })

  it('stops a run when it is late if it would end too late', () => {
    expect(overdueRuns.stopAfterMs({ ...RUN, usefulMs: 400 })).to.equal(LATE_MS)
  })

  it('stops a run when it is late where no tail is known, where nothing else ends, and on a faulty worker', () => {
    for (const change of [{ hasTail: false }, { workerIsActive: false }, { onFaultyWorker: true }]) {
      expect(overdueRuns.stopAfterMs({ ...RUN, ...change })).to.equal(LATE_MS)
    }
  })

  it('takes another run for late sooner when one on the same worker is late', () => {
    expect(overdueRuns.lateAfterMs(RUN, true)).to.equal(3 * 86)
  })
})
