import * as clock from '@mustarddeck/clock'
import * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as capacityUpdates from './capacity-updates.ts'

const WORKER: runs.Worker = {
  id: 'i-1' as runs.WorkerId,
  bornMs: 1,
  service: 'corkbook',
  zone: 'khangai-a',
  capacity: { millicores: 4800, memoryMb: 1000, accelerators: 0 },
  labels: [],
  leaving: false
}
/** Time in ms after which an offer goes to the next entry. */
const HEAD_START_MS = 21
/** Time in ms after which every entry has received an update. */
const SOON_MS = 250

const setUp = (links: number[]) => {
  const timers = clock.createVirtual()
  const state = { worker: WORKER as runs.Worker | undefined, free: 0 }
  const sent: Array<[link: number, millicores: number]> = []
  const subject = capacityUpdates.create({
    timers,
    currentCapacity: () => ({ worker: state.worker, free: { ...runs.NO_RESOURCES, millicores: state.free } }),
    send: (link, { free }) => sent.push([link, free.millicores])
  })
  for (const link of links) subject.up(link)
  timers.advance(SOON_MS)
  sent.length = 0
  const free = (millicores: number): void => {
    state.free = millicores
    subject.runEnded()
  }
  return { free, state, subject, timers, sent }
}

describe('updates of free capacity', () => {
  // Entries that receive the same free capacity at the same time race for it.
  it('go to the entry with the most urgent task first, then to the next one', () => {
    const { free, subject, timers, sent } = setUp([1, 2, 3])
    subject.setDemand(1, { priority: 0, withinMs: 80 })
    subject.setDemand(2, { priority: 0, withinMs: 30 })
    free(1600)
    expect(sent).to.deep.equal([[2, 1600]])
    timers.advance(HEAD_START_MS)
    expect(sent).to.deep.equal([[2, 1600], [1, 1600]])
    timers.advance(SOON_MS)
    expect(sent).to.deep.equal([[2, 1600], [1, 1600], [3, 1600]])
  })

  it('go to the entry with the more urgent queue first, even if a task at another has to start earlier', () => {
    const { free, subject, sent } = setUp([1, 2])
    subject.setDemand(1, { priority: 1, withinMs: 10 })
    subject.setDemand(2, { priority: 0, withinMs: 90 })
    free(1600)
    expect(sent).to.deep.equal([[2, 1600]])
  })

  it('go to the next entry immediately when an entry passes the offer on or disconnects', () => {
    const { free, subject, sent } = setUp([1, 2, 3])
    subject.setDemand(1, { priority: 0, withinMs: 20 })
    subject.setDemand(2, { priority: 0, withinMs: 30 })
    subject.setDemand(3, { priority: 0, withinMs: 40 })
    free(1600)
    subject.setDemand(1, undefined)
    subject.down(2)
    expect(sent.map(([link]) => link)).to.deep.equal([1, 2, 3])
  })

  it('restart with the most urgent entry when more capacity is released', () => {
    const { free, state, subject, timers, sent } = setUp([1, 2])
    subject.setDemand(1, { priority: 0, withinMs: 50 })
    subject.setDemand(2, { priority: 0, withinMs: 90 })
    free(1600)
    timers.advance(HEAD_START_MS)
    state.free = 0
    subject.changed()
    free(3200)
    // An entry that would place tasks on the capacity that is gone is updated at once.
    expect(sent).to.deep.equal([[1, 1600], [2, 1600], [1, 0], [2, 0], [1, 3200]])
  })

  it('offer existing free capacity to an entry with new demand, until its start deadline has passed', () => {
    const { free, subject, timers, sent } = setUp([1, 2])
    free(1600)
    timers.advance(SOON_MS)
    sent.length = 0
    subject.setDemand(1, { priority: 0, withinMs: 10 })
    timers.advance(20)
    free(3200)
    expect(sent, 'the task is late').to.deep.equal([])
    timers.advance(SOON_MS)
    expect(sent).to.have.deep.members([[1, 3200], [2, 3200]])
  })

  it('are sent along with another message, but not to an entry that must wait for its turn', () => {
    const { free, subject, sent } = setUp([1, 2])
    free(1600)
    subject.piggyback(1)
    expect(sent).to.deep.equal([[1, 1600]])
    subject.setDemand(2, { priority: 0, withinMs: 50 })
    free(3200)
    subject.piggyback(1)
    expect(sent).to.deep.equal([[1, 1600], [2, 1600], [2, 3200]])
  })

  it('go to all entries immediately when nothing can be started any more', () => {
    const { free, state, subject, timers, sent } = setUp([1, 2])
    free(1600)
    timers.advance(SOON_MS)
    sent.length = 0
    Object.assign(state, { worker: undefined, free: 0 })
    subject.changed()
    timers.advance(1)
    expect(sent).to.deep.equal([[1, 0], [2, 0]])
  })
})
