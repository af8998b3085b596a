import { expect } from 'chai'
import * as mutantRun from './mutant-run.ts'
import * as mutants from './mutants.ts'

const SEED = 20261204
const RUNS = 400
/** The ones that are caught within few runs; `npm run mutants` runs all. */
const IN_CI = [
  'the agent does not check start records',
  'a retired block is accepted',
  'a start is recorded after the call',
  'records are dropped before their block retires',
  'a task is sent again without asking for records'
]

describe('injected faults', () => {
  // Guards against a harness that would pass whatever the decision code does.
  for (const name of IN_CI) {
    it(`notices that ${name} (seed ${SEED})`, async () => {
      const mutant = mutants.mutants.find((other) => other.name === name)!
      expect(await mutantRun.run(mutant, { seed: SEED, count: RUNS })).to.include({ caught: true })
    })
  }
})
