import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as runs from '@mustarddeck/runs'
import * as standIn from '@mustarddeck/worker-stand-in'
import { expect } from 'chai'
import * as agents from './index.ts'

const LINK = 1
const ONE = { millicores: 1600, memoryMb: 64, accelerators: 0 }
const task = (index: number): runs.TaskId => `00000000000000a1.0.0.${index}` as runs.TaskId

const setUp = async ({ runMs = 200 } = {}) => {
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const site = standIn.createSite()
  const worker = standIn.create({
    id: 'i-1',
    capacity: { millicores: 4800, memoryMb: 1000, accelerators: 0 },
    amountOf: () => ONE,
    runMsOf: () => runMs,
    site,
    timers
  })
  const told: runs.FromAgent[] = []
  const runEnds: runs.RunEnd[] = []
  const log = logging.create({ level: 'error' })
  const startAgent = () => {
    const agent = agents.create({
      calls: worker.calls,
      timers,
      log,
      send: (_link, message) => told.push(message),
      onRunEnd: (end) => runEnds.push(end)
    })
    agent.linkUp(LINK, 'entry-1')
    agent.announced(worker.worker(), undefined)
    return agent
  }
  const agent = startAgent()
  const pass = (ms: number): Promise<void> => standIn.advance(timers, ms)
  await pass(50)
  let sequence = 0
  const order = (...indexes: number[]): void => agent.receive(LINK, {
    kind: 'start',
    sequence: ++sequence,
    spec: 'weigh',
    tasks: indexes.map((index) => ({ task: task(index), run: 1, amount: ONE }))
  })
  const ends = () => told.flatMap((message) => message.kind === 'ended' ? [[message.task, message.end, message.reason]] : [])
  const room = () => told.findLast((message) => message.kind === 'room')
  return { agent, ends, order, pass, room, runEnds, site, startAgent, told, worker }
}

describe('agent of a worker', () => {
  it('starts what fits, refuses the rest at once, and tells each end', async () => {
    const { ends, order, pass, room, runEnds, site } = await setUp()
    order(0, 1, 2, 3)
    await pass(20)
    expect(ends()).to.deep.equal([[task(3), 'unstarted', 'no-room']])
    await pass(300)
    expect(ends().slice(1).map(([, end]) => end)).to.deep.equal(['done', 'done', 'done'])
    expect(runEnds).to.deep.equal(['done', 'done', 'done'])
    expect(room()?.free.millicores).to.equal(4800)
    expect(site.broken).to.deep.equal([])
  })

  // The worker carries out such orders seconds later, when their room would have been given away.
  it('keeps the room of an unanswered order until it is sure not to start', async () => {
    const { ends, order, pass, site, worker } = await setUp({ runMs: 5000 })
    worker.faults.lateMs = 400
    order(0, 1, 2)
    await pass(5)
    worker.faults.lateMs = 0
    order(3)
    await pass(60)
    expect(ends()).to.deep.equal([[task(3), 'unstarted', 'no-room']])
    await pass(840)
    expect(ends().slice(1).map(([, end]) => end)).to.deep.equal(['unstarted', 'unstarted', 'unstarted'])
    order(4, 5, 6)
    await pass(1000)
    expect(site.broken).to.deep.equal([])
    expect(worker.running()).to.have.members([task(4), task(5), task(6)])
  })

  it('settles an unanswered order well before callers notice', async () => {
    const { ends, order, pass, worker } = await setUp({ runMs: 5000 })
    worker.faults.lateMs = 3000
    order(0)
    await pass(5)
    worker.faults.lateMs = 0
    await pass(100)
    expect(ends().map(([, end]) => end)).to.deep.equal(['unstarted'])
  })

  it('stops the runs of an entry that it has lost', async () => {
    const { agent, order, pass, worker } = await setUp({ runMs: 5000 })
    order(0, 1)
    await pass(50)
    expect(worker.running()).to.have.length(2)
    agent.linkDown(LINK)
    await pass(100)
    expect(worker.running()).to.deep.equal([])
  })

  it('counts runs of its former life against the room until they have ended', async () => {
    const { agent, order, pass, room, startAgent, told, worker } = await setUp({ runMs: 5000 })
    order(0, 1, 2)
    await pass(50)
    agent.stop()
    told.length = 0
    startAgent()
    await pass(10)
    expect(room()?.worker).to.equal(undefined)
    await pass(300)
    expect(worker.running()).to.deep.equal([])
    expect(room()?.free.millicores).to.equal(4800)
  })

  it('lets the leases of a dead agent lapse before an entry takes the runs for ended', async () => {
    const { agent, order, pass, worker } = await setUp({ runMs: 5000 })
    order(0)
    await pass(300)
    agent.stop()
    await pass(agents.LAPSE_AFTER_MS)
    expect(worker.running()).to.deep.equal([])
  })

  it('takes a new life under the same id for the end of all runs, and lets no order of before take effect', async () => {
    const { agent, ends, order, pass, site, worker } = await setUp({ runMs: 5000 })
    order(0)
    await pass(100)
    worker.faults.lateMs = 450
    order(1)
    await pass(5)
    worker.faults.lateMs = 0
    worker.restart()
    agent.announced(worker.worker(), undefined)
    await pass(700)
    expect(ends().map(([id, end]) => [id, end])).to.deep.equal([[task(0), 'lapsed'], [task(1), 'lapsed']])
    expect(worker.running()).to.deep.equal([])
    order(2, 3, 4)
    await pass(300)
    expect(worker.running()).to.have.length(3)
    expect(site.broken).to.deep.equal([])
  })

  it('starts nothing on a worker that leaves or stays silent', async () => {
    const { agent, ends, order, pass, worker } = await setUp()
    agent.announced({ ...worker.worker(), leaving: true }, undefined)
    order(0)
    agent.announced(worker.worker(), undefined)
    worker.faults.silent = true
    await pass(600)
    order(1)
    expect(ends()).to.deep.equal([[task(0), 'unstarted', 'not-ready'], [task(1), 'unstarted', 'not-ready']])
  })

  it('says that the runs of a silent worker have lapsed only when they have', async () => {
    const { ends, order, pass, worker } = await setUp({ runMs: 5000 })
    order(0)
    await pass(100)
    worker.faults.silent = true
    while (worker.running().length > 0) {
      expect(ends()).to.deep.equal([])
      await pass(10)
    }
    // The lease may have been extended without an answer until the worker counted as silent.
    await pass(350 + 150)
    expect(ends().map(([, end]) => end)).to.deep.equal(['lapsed'])
  })

  it('is empty when it has drained', async () => {
    const { agent, order, pass, room } = await setUp()
    order(0)
    let empty = false
    agent.drain(() => { empty = true })
    await pass(100)
    expect([empty, room()?.worker]).to.deep.equal([false, undefined])
    await pass(300)
    expect(empty).to.equal(true)
  })
})
