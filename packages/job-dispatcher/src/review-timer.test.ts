import * as clock from '@mustarddeck/clock'
import { expect } from 'chai'
import * as reviewTimer from './review-timer.ts'

const setUp = () => {
  const timers = clock.createVirtual()
  const state = { waiting: false }
  const reviewedAt: number[] = []
  const timer = reviewTimer.create({
    timers, review: () => reviewedAt.push(timers.monotonic()), isWaiting: () => state.waiting
  })
  return { timers, state, reviewedAt, timer }
}

describe('timer of reviews', () => {
  it('reviews more often from the moment a task waits', () => {
    const { timers, state, reviewedAt, timer } = setUp()
    timers.advance(70)
    state.waiting = true
    timer.hasten()
    timers.advance(50)
    state.waiting = false
    timers.advance(80)
    expect(reviewedAt).to.deep.equal([60, 90, 110, 130, 190])
  })

  it('does not put a review off while tasks keep coming', () => {
    const { timers, state, reviewedAt, timer } = setUp()
    state.waiting = true
    for (let elapsed = 0; elapsed < 100; elapsed += 5) {
      timer.hasten()
      timers.advance(5)
    }
    expect(reviewedAt).to.deep.equal([20, 40, 60, 80, 100])
  })
})
