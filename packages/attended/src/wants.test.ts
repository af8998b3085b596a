import * as clock from '@mustarddeck/clock'
import * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as fleet from './agents.ts'
import type * as attended from './interface.ts'
import * as jobs from './jobs.ts'
import * as wanting from './wants.ts'

const OBJECTIVE_MS = 200
const QUEUE: attended.Queue = {
  name: 'slip' as attended.QueueName, service: 'corkbook', priority: 0, maxAttempts: 1, stretch: 1, objectiveMs: OBJECTIVE_MS
}

const setUp = (services = ['corkbook', 'corkbook']) => {
  const timers = clock.createVirtual()
  const agents = fleet.create()
  const told: Array<[link: number, withinMs: number | undefined]> = []
  const wants = wanting.create({ timers, send: (link, { urgency }) => told.push([link, urgency?.withinMs]) })
  const all = services.map((service, index) => {
    const agent = agents.up(index + 1, `agent-${index}`, 'life')
    const worker: runs.Worker = {
      id: `i-${index}` as runs.WorkerId,
      bornMs: 1,
      service,
      zone: 'khangai-a',
      capacity: { millicores: 4800, memoryMb: 1000, accelerators: 0 },
      labels: [],
      leaving: false
    }
    agents.update(agent, { kind: 'room', sequence: 0, sharers: 1, worker, free: worker.capacity })
    return agent
  })
  const job = (): jobs.JobState => jobs.create({
    key: 'a' as runs.JobKey, queue: QUEUE, spec: '', steps: [], patienceMs: 1000
  }, timers.monotonic(), () => 0, () => {})
  return { all, job, timers, told, wants }
}

describe('waiting work told to agents', () => {
  it('is told once to the agents of its service, and again when it is more urgent or was forgotten', () => {
    const { all, job, timers, told, wants } = setUp(['corkbook', 'benchdesk', 'corkbook'])
    const first = job()
    wants.announce(all, [first])
    wants.announce(all, [first])
    expect(told).to.deep.equal([[1, OBJECTIVE_MS], [3, OBJECTIVE_MS]])
    timers.advance(100)
    wants.announce(all, [first])
    expect(told, 'nothing new').to.have.length(2)
    timers.advance(150)
    wants.announce(all, [job()])
    expect(told.slice(2)).to.deep.equal([[1, OBJECTIVE_MS], [3, OBJECTIVE_MS]])
  })

  it('is taken back when room is offered that is not needed, and corrected when it is less urgent', () => {
    const { all: [agent], job, timers, told, wants } = setUp(['corkbook'])
    wants.announce([agent!], [job()])
    timers.advance(100)
    wants.answer(agent!, [job()])
    wants.answer(agent!, [])
    wants.answer(agent!, [])
    expect(told).to.deep.equal([[1, OBJECTIVE_MS], [1, OBJECTIVE_MS], [1, undefined]])
  })

  it('is not told to an agent whose worker leaves or is out of rotation', () => {
    const { all, job, told, wants } = setUp()
    all[0]!.worker = { ...all[0]!.worker!, leaving: true }
    all[1]!.health.out = true
    wants.announce(all, [job()])
    expect(told).to.deep.equal([])
  })
})
