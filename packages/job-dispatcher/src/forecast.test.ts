import * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as fleet from './agents.ts'
import * as runEstimates from './estimates.ts'
import * as forecasts from './forecast.ts'
import type * as jobs from './jobs.ts'

const UNIT = { millicores: 1000, memoryMb: 64, accelerators: 0 }
const WORKER: runs.Worker = {
  id: 'i-1' as runs.WorkerId,
  bornMs: 1,
  service: 'corkbook',
  zone: 'khangai-a',
  capacity: { millicores: 8000, memoryMb: 10_000, accelerators: 0 },
  labels: [],
  leaving: false
}

/** Forecast for one worker, of which `own` tasks of 200 ms started now and other entries use `others` millicores. */
const forecastOf = ({ own = 0, others = 0, sharers = 4, leaving = false }): forecasts.Forecast => {
  const agents = fleet.create()
  const agent = agents.up(1, 'agent-1', 'incarnation')
  for (let index = 0; index < own; index++) {
    const task = { id: `${index}`, amount: UNIT, estimateMs: 200 }
    const state = { task, job: { job: { queue: { name: 'settle' } } }, phase: 'ordered', orderedAt: 0 }
    agent.tasks.set(task.id as runs.TaskId, state as unknown as jobs.TaskState)
  }
  agents.update(agent, {
    kind: 'room',
    sequence: 0,
    sharers,
    worker: { ...WORKER, leaving },
    free: { ...WORKER.capacity, millicores: WORKER.capacity.millicores - own * UNIT.millicores - others }
  })
  return forecasts.create({ agents, estimates: runEstimates.create({ timers: clock.createVirtual({ start: new Date(0) }) }) }, 'corkbook', UNIT, 0)
}

describe('forecast of capacity', () => {
  // An entry whose share of the worker is 2000 may use all of it while other entries are idle.
  it('offers all free capacity now, whatever the share', () => {
    const forecast = forecastOf({ sharers: 4 })
    expect(forecast.share).to.equal(2000)
    expect(forecast.reserve(8000, 100, 0)).to.equal(0)
    expect(forecast.reserve(1000, 100, 0)).to.equal(Infinity)
  })

  it('offers the capacity of own runs at their expected ends', () => {
    const forecast = forecastOf({ own: 8 })
    expect(forecast.reserve(8000, 100, 190)).to.equal(Infinity)
    expect(forecast.reserve(8000, 100, 200)).to.equal(200)
  })

  it('offers reserved capacity again when the reservation has ended', () => {
    const forecast = forecastOf({})
    expect(forecast.reserve(8000, 100, 0)).to.equal(0)
    expect(forecast.reserve(8000, 100, 1000)).to.equal(100)
  })

  // A division by the entry's share regardless of use refused jobs that others' ends would have let start.
  it('offers the ends of other entries up to the share, and more to work for which they have no demand', () => {
    const forecast = forecastOf({ others: 8000 })
    expect(forecast.shortage(2000, 300)).to.be.closeTo(0, 1)
    expect(forecast.shortage(8000, 300)).to.be.closeTo(6000, 1)
    expect(forecast.next(0.5).shortage(8000, 300)).to.be.closeTo(4000, 1)
    expect(forecast.next(0).shortage(8000, 300)).to.be.closeTo(0, 1)
  })

  it('does not count workers that leave', () => {
    expect(forecastOf({ leaving: true })).to.include({ free: 0, share: 0 })
  })

  // Jobs of queues with a long objective must not be refused for lack of a forecast.
  it('covers starts tens of seconds ahead', () => {
    const forecast = forecastOf({ own: 8 })
    expect(forecast.reserve(8000, 20_000, 1000)).to.equal(200)
    expect(forecast.reserve(8000, 100, 30_000)).to.be.within(20_200, 22_000)
  })
})
