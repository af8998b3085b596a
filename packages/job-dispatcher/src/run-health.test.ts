import * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as fleet from './agents.ts'
import * as runEstimates from './estimates.ts'
import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'
import * as runHealths from './run-health.ts'

const DECLARED_MS = 100
const AMOUNT = { millicores: 1000, memoryMb: 64, accelerators: 0 }
const QUEUE: interfaces.Queue = {
  name: 'settle' as interfaces.QueueName, service: 'corkbook', priority: 0, maxAttempts: 3, stretch: 4, objectiveMs: 1000
}

const setUp = () => {
  const timers = clock.createVirtual()
  const lines: Array<{ event: string } & Record<string, unknown>> = []
  const counted: string[] = []
  const write = (event: string, fields: Record<string, unknown> = {}): void => { lines.push({ event, ...fields }) }
  const entryLog: log.Log = { debug: () => {}, info: write, warn: write, error: write, with: () => entryLog }
  const agents = fleet.create()
  const estimates = runEstimates.create({ timers })
  const health = runHealths.create({
    timers,
    log: entryLog,
    agents,
    estimates,
    onRotation: (event) => counted.push(event),
    onLateRun: (kind) => counted.push(kind)
  })
  const all = [1, 2, 3].map((link) => {
    const agent = agents.up(link, `agent-${link}`, 'incarnation')
    const worker: runs.Worker = {
      id: `i-${link}` as runs.WorkerId,
      bornMs: 1,
      service: 'corkbook',
      zone: 'khangai-a',
      capacity: AMOUNT,
      labels: ['a', 'rack-1'],
      leaving: false
    }
    agents.update(agent, { kind: 'room', sequence: 0, sharers: 1, worker, free: AMOUNT })
    return agent
  })
  let order = 0
  /** Orders the only task of a new job on the agent. */
  const start = (agent: fleet.Agent): jobs.TaskState => {
    const key = (++order).toString(16).padStart(16, '0') as runs.JobKey
    const id = `${key}.0.0.0` as runs.TaskId
    const task = { id, amount: AMOUNT, estimateMs: DECLARED_MS, label: undefined, rack: undefined }
    const steps = [{ after: [], maxPerWorker: Infinity, tasks: [task] }]
    const state = jobs.create(
      { key, queue: QUEUE, spec: '', callerTimeoutMs: 1500, steps }, timers.monotonic(), () => DECLARED_MS, () => {})
    estimates.addStep([task])
    const [started] = state.tasks as [jobs.TaskState]
    const place = runEstimates.placeOf(task, agent.name, agent.worker!)
    Object.assign(started, { phase: 'ordered', agent, place, order, orderedAt: timers.monotonic() })
    agent.tasks.set(id, started)
    return started
  }
  return { all, counted, health, lines, start, timers }
}

describe('health of workers by their runs', () => {
  it('logs and counts what was expected and seen when runs hang on a worker', () => {
    const { all: [faulty, ...others], counted, health, lines, start, timers } = setUp()
    for (let count = 0; count < 20; count++) for (const agent of others) health.done(start(agent), agent, DECLARED_MS)
    const hung = [start(faulty!), start(faulty!), start(faulty!)]
    timers.advance(600)
    const overdue = hung.map((state) => health.isOverdue(state, faulty!, 1500))
    expect(overdue).to.deep.equal([true, true, true])
    expect(counted.filter((event) => event === 'worker-out')).to.have.length(1)
    expect(counted.filter((event) => event === 'stopped')).to.have.length(3)
    const line = lines.find(({ event }) => event === 'worker-out')
    expect(line).to.include({ agent: 'agent-1', queue: 'settle', cause: 'late-run', ranMs: 600 })
    expect(line!['expectedMs']).to.be.within(80, 120)
    expect(line!['slowdown']).to.be.within(4, 8)
  })

  // An end that arrives after the restart of its worker says nothing about the new incarnation.
  it('leaves out runs of a former incarnation of the worker', () => {
    const { all: [agent], counted, health, start } = setUp()
    const states = [start(agent!), start(agent!), start(agent!), start(agent!)]
    agent!.worker = { ...agent!.worker!, bornMs: 2 }
    for (const state of states) health.done(state, agent!, 50 * DECLARED_MS)
    expect(agent!.health.slownessEvidence).to.equal(0)
    expect(counted).to.deep.equal([])
  })
})
