import { expect } from 'chai'
import * as rackRoom from './rack-room.ts'

const AMOUNT = { millicores: 1000, memoryMb: 64, accelerators: 0 }
const CAPACITY = { millicores: 2000, memoryMb: 10_000, accelerators: 0 }
const NONE_FREE = { millicores: 0, memoryMb: 9000, accelerators: 0 }
const ALONE = { busyShare: 1, entryCount: 1 }

const workerOf = (...ownRuns: Array<[expectedMs: number, elapsedMs: number]>): rackRoom.WorkerUse => ({
  capacity: CAPACITY,
  free: NONE_FREE,
  ownRuns: ownRuns.map(([expectedMs, elapsedMs]) => ({ amount: AMOUNT, expectedMs, elapsedMs }))
})

describe('expected time until a rack has room', () => {
  it('follows from the expected ends of the entry\'s own runs, in order', () => {
    const times = rackRoom.roomTimes([workerOf([300, 100], [300, 250]), workerOf([100, 0], [500, 0])], AMOUNT, 200)
    expect(times).to.deep.equal([50, 100, 200, 500])
    expect([1, 2, 4, 5].map((count) => rackRoom.expectedRoomInMs(times, { ...ALONE, count })))
      .to.deep.equal([50, 100, 500, Infinity])
  })

  // A run that is over its time would otherwise count as room at once, and tasks would wait for a hung run.
  it('does not count a run that lasts longer than expected as about to end', () => {
    const [first] = rackRoom.roomTimes([workerOf([300, 900], [300, 0])], AMOUNT, 200)
    expect(first).to.be.within(100, 200)
  })

  it('spreads the unknown ends of the other entries\' runs', () => {
    expect(rackRoom.roomTimes([workerOf()], AMOUNT, 300)).to.deep.equal([100, 200])
  })

  it('allows for the part of later room that other entries take while the fleet is busy', () => {
    const times = [100, 200, 300, 400]
    const expected = (busyShare: number): number =>
      rackRoom.expectedRoomInMs(times, { count: 1, busyShare, entryCount: 4 })
    expect([0, 0.5, 1].map(expected)).to.deep.equal([100, 300, 400])
  })

  it('is 0 for free room, which other entries do not share', () => {
    expect(rackRoom.expectedRoomInMs([0, 0, 100], { count: 2, busyShare: 1, entryCount: 4 })).to.equal(0)
  })

  it('counts all places that the end of one large run leaves', () => {
    const large = { ...workerOf(), ownRuns: [{ amount: CAPACITY, expectedMs: 300, elapsedMs: 100 }] }
    expect(rackRoom.roomTimes([large], AMOUNT, 200)).to.deep.equal([200, 200])
  })

  it('needs all resources of a task on one worker', () => {
    const free = { millicores: 500, memoryMb: 9000, accelerators: 0 }
    const halfFree = { capacity: { ...CAPACITY, millicores: 500 }, free, ownRuns: [] }
    expect(rackRoom.roomTimes([halfFree, halfFree], AMOUNT, 300)).to.deep.equal([])
  })
})
