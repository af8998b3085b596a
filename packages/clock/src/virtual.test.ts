import { expect } from 'chai'
import * as clock from './index.ts'

describe('virtual clock', () => {
  it('runs callbacks in order of time and then of scheduling', () => {
    const timers = clock.createVirtual()
    const seen: string[] = []
    timers.after(20, () => seen.push('late'))
    timers.after(10, () => seen.push('first'))
    timers.after(10, () => seen.push('second'))
    timers.after(5, () => seen.push('cancelled'))()
    timers.advance(15)
    expect(seen).to.deep.equal(['first', 'second'])
    expect(timers.monotonic()).to.equal(15)
    expect(timers.next()).to.equal(20)
  })
})
