import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as estimates from './estimates.ts'
import * as farFactor from './far-factor.ts'
import type * as interfaces from './interface.ts'

const QUEUE = 'slip' as interfaces.QueueName
const TASK = { estimateMs: 300 } as interfaces.Task
const placeOf = (far: boolean): estimates.Place => ({ worker: {} as runs.Worker, agent: 'agent-0', far })

describe('the far factor', () => {
  // Runs that are long only because they are far would otherwise make all estimates longer, and workers look slow.
  it('lengthens the expected run time of far runs only, and is taken out of what is learned from them', () => {
    const model = farFactor.apply(estimates.create(), 3)
    const expected = (far: boolean): number => model.expectedRunMs(QUEUE, TASK, placeOf(far))
    const before = expected(false)
    expect(expected(true)).to.equal(3 * before)
    expect(model.normalizedRunMs(TASK, 900, placeOf(true))).to.equal(model.normalizedRunMs(TASK, 300, placeOf(false)))
    for (let count = 0; count < 100; count++) model.record(QUEUE, TASK, 3 * before, placeOf(true))
    expect(expected(false)).to.be.closeTo(before, 0.01 * before)
  })
})
