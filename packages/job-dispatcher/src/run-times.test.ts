import { expect } from 'chai'
import * as formerPolicy from './testing/former-policy.ts'
import * as presentPolicy from './testing/present-policy.ts'
import * as replay from './testing/replay.ts'

const SEEDS = [1, 2, 3]
const NEVER = 1e9

const play = (
  load: replay.Load, fault: replay.Fault, createPolicy: replay.CreatePolicy, faultAt = 0
): replay.Result[] =>
  SEEDS.map((seed) => replay.run({ load, fault, faultAt, seed, createPolicy }))
const total = (results: replay.Result[], read: (result: replay.Result) => number): number =>
  results.reduce((sum, result) => sum + read(result), 0)

describe('run times in 34 s of two loads', () => {
  for (const [name, load] of Object.entries(replay.LOADS)) {
    // The former policy removed workers of a slower type, with long runs or with a step whose declared time was off.
    it(`remove no healthy worker, ${name}`, () => {
      expect(total(play(load, 'none', presentPolicy.create, NEVER), ({ wrongEvents }) => wrongEvents)).to.equal(0)
      expect(total(play(load, 'none', formerPolicy.create, NEVER), ({ wrongEvents }) => wrongEvents)).to.be.above(0)
    })

    for (const fault of ['slow', 'fail', 'fail-some', 'hang'] as const) {
      it(`remove a worker with the fault ${fault} from the middle of the time on, ${name}`, () => {
        for (const { detection } of play(load, fault, presentPolicy.create, replay.DURATION_MS / 2)) {
          expect(detection).to.not.equal(undefined)
        }
      })
    }

    it(`are expected with a smaller error than by one mean of each queue, ${name}`, () => {
      const meanError = (createPolicy: replay.CreatePolicy): number => {
        const errors = play(load, 'none', createPolicy, NEVER).flatMap((result) => result.errors)
        return errors.reduce((sum, error) => sum + error, 0) / errors.length
      }
      expect(meanError(presentPolicy.create)).to.be.below(meanError(formerPolicy.create))
    })
  }

  // Stopping such a run costs its work, and its caller may have to wait for another one.
  it('stop fewer runs that would have ended in time', () => {
    const read = ({ stoppedInVain }: replay.Result): number => stoppedInVain
    const former = total(play(replay.LOADS.nkabom, 'none', formerPolicy.create, NEVER), read)
    expect(total(play(replay.LOADS.nkabom, 'none', presentPolicy.create, NEVER), read)).to.be.below(former * 0.8)
  })
})
