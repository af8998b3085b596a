import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as health from './health.ts'
import * as slowness from './slowness.ts'

const TYPE = 'settle' as types.TaskTypeName
/** Evidence above which a worker leaves rotation. */
const THRESHOLD = 12
const deviation = (slowdown: number) => ({ value: Math.log(slowdown), variance: 0.01, worker: 0 })

const setUp = () => {
  const evidence = slowness.create()
  const workers = [health.createWorkerHealth(), health.createWorkerHealth()] as const
  /** Returns the evidence against the first worker, by runs on both. */
  const judge = (own: number[], others: number[]): number => {
    const comparison = evidence.compare(TYPE, own.length + others.length)
    const verdicts = [
      ...others.flatMap((slowdown) => evidence.add(comparison, workers[1], deviation(slowdown), false)),
      ...own.flatMap((slowdown) => evidence.add(comparison, workers[0], deviation(slowdown), false))
    ]
    return verdicts.filter(({ worker }) => worker === workers[0]).reduce((sum, verdict) => sum + verdict.evidence, 0)
  }
  return { evidence, judge, workers }
}

describe('evidence of slow workers', () => {
  // The declared time of a step is off by more than 2.2 for one step in 20.
  it('takes all slow runs of one step on one worker for one piece', () => {
    const { judge } = setUp()
    expect(judge(Array(8).fill(2.2), [])).to.be.below(THRESHOLD / 4)
  })

  it('is none when the step is as slow on another worker, and sharp when it is not', () => {
    expect(setUp().judge([7.5], [7.5, 7.5])).to.be.below(0)
    expect(setUp().judge([7.5, 7.5, 7.5], [1, 1])).to.be.above(THRESHOLD)
  })

  it('is bounded for single runs of a long tail', () => {
    const { judge } = setUp()
    expect(judge([7], [1])).to.be.below(THRESHOLD / 2)
    expect(judge([1, 7], [1])).to.be.below(0)
  })

  it('counts a run that goes on until it has ended well enough', () => {
    const { evidence, workers: [worker] } = setUp()
    const comparison = evidence.compare(TYPE, 1)
    const [late] = evidence.add(comparison, worker, deviation(4), true)
    expect(late!.evidence).to.be.above(THRESHOLD / 4)
    const [ended] = evidence.end(comparison, worker, deviation(4), deviation(4.1))
    expect(late!.evidence + ended!.evidence).to.be.below(THRESHOLD / 2)
  })
})
