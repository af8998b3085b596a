import { expect } from 'chai'
import * as clock from './index.ts'

describe('virtual clock', () => {
  it('runs callbacks in order of time and then of scheduling', () => {
    const timers = clock.createVirtual()
    const ran: string[] = []
    timers.after(20, () => ran.push('late'))
    timers.after(10, () => ran.push('first'))
    timers.after(10, () => ran.push('second'))
    timers.after(5, () => ran.push('cancelled'))()
    timers.advance(15)
    expect(ran).to.deep.equal(['first', 'second'])
    expect(timers.monotonic()).to.equal(15)
    expect(timers.next()).to.equal(20)
  })
})
