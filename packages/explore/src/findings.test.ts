import { expect } from 'chai'
import * as findings from './findings.ts'
import * as real from './real-cores.ts'
import * as searches from './search.ts'

describe('schedules that once broke a promise', () => {
  for (const { cause, schedule } of findings.findings) {
    // Guards against the return of the cause that the name tells.
    it(`${cause} (seed ${schedule.seed})`, () => {
      expect(searches.violationsOf(schedule, real.realCores)).to.deep.equal([])
    })
  }
})
