import * as agentCore from '@mustarddeck/agent-core'
import * as fc from 'fast-check'
import { expect } from 'chai'
import * as foreign from './foreign-messages.ts'

const SEED = 20261204
const RUNS = 3000

describe('an agent among entries that send anything', () => {
  // Guards against a start that a faulty, fenced or outdated owner asks for, and against records that are wrong.
  it(`starts each task at most once and keeps true records (seed ${SEED})`, () => {
    fc.assert(fc.property(foreign.sequences, (steps) => {
      expect(foreign.violationsOf(steps, agentCore.create)).to.deep.equal([])
    }), { seed: SEED, numRuns: RUNS })
  })
})
