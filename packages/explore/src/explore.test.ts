import { expect } from 'chai'
import * as real from './real-cores.ts'
import * as searches from './search.ts'

const SEED = 20261204
const RUNS = 2000

describe('schedule exploration', () => {
  // Guards against any schedule of faults in which the decision code breaks a promise of the design.
  it(`finds no broken promise in ${RUNS} runs (seed ${SEED})`, function () {
    this.timeout(180_000)
    const { finding } = searches.search({ cores: real.realCores, seed: SEED, count: RUNS })
    expect(finding && searches.describeFinding(finding)).to.equal(undefined)
  })
})
