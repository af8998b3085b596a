import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as runAgent from '@mustarddeck/run-agent'
import type * as runs from '@mustarddeck/runs'
import * as standIn from '@mustarddeck/worker-stand-in'
import { expect } from 'chai'
import * as fleetDiscovery from './fleet-discovery.ts'
import * as jobDispatcher from './index.ts'

/** One-way latency of a link in ms. */
const LINK_MS = 1
const AMOUNT = { millicores: 1600, memoryMb: 64, accelerators: 0 }
const SLOTS = 5
const ANNOUNCE_MS = 500
const CALLER_TIMEOUT_MS = 1500
const QUEUE: jobDispatcher.Queue = {
  name: 'settle' as jobDispatcher.QueueName, service: 'corkbook', priority: 0, maxAttempts: 3, stretch: 20, objectiveMs: 500
}

/** Several entries that share workers, and callers that submit a job again until they get a final answer. */
const setUp = async ({ workers = 6, entries = 2, runMs = 100 } = {}) => {
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const site = standIn.createSite()
  const log = logging.create({ level: 'error' })
  const pass = (ms: number): Promise<void> => standIn.advance(timers, ms)
  const deadly = new Set<runs.TaskId>()
  const killed = new Set<number>()

  const fleet = Array.from({ length: workers }, (_, index) => {
    const worker = standIn.create({
      id: `i-${index}`,
      capacity: { millicores: AMOUNT.millicores * SLOTS, memoryMb: 10_000, accelerators: 0 },
      resourcesOf: () => AMOUNT,
      runMsOf: () => runMs,
      isDeadly: (task) => deadly.has(task),
      site,
      timers
    })
    const send = (entry: number, message: runs.FromAgent): void => {
      timers.after(LINK_MS, () => { if (!killed.has(entry)) dispatchers[entry]!.receive(index, message) })
    }
    const agent = runAgent.create({
      calls: worker.calls, timers, log, send, onRunEnd: () => {}, onWorkerCrash: () => {}
    })
    return { agent, worker }
  })
  const dispatchers = Array.from({ length: entries }, (_, index) => jobDispatcher.create({
    timers,
    log,
    zone: 'khangai-a',
    lapseAfterMs: runAgent.LAPSE_AFTER_MS,
    send: (link, message) => {
      timers.after(LINK_MS, () => { if (!killed.has(index)) fleet[link]!.agent.receive(index, message) })
    },
    onJobEnd: () => {},
    shareCrashes: (crashes) => dispatchers.forEach((other, otherIndex) => {
      if (otherIndex !== index && !killed.has(index)) timers.after(LINK_MS, () => other.crashesShared(crashes))
    }),
    onRefusedOrder: () => {}
  }))
  for (const [link, { agent, worker }] of fleet.entries()) {
    const announce = (): void => {
      agent.workerAnnounced(worker.worker(), undefined)
      timers.after(ANNOUNCE_MS, announce)
    }
    announce()
    for (const [entry, dispatcher] of dispatchers.entries()) {
      agent.linkUp(entry, `entry-${entry}`)
      dispatcher.agentUp(link, worker.worker().id, 'incarnation')
    }
  }
  await pass(fleetDiscovery.START_MS)

  const kill = (entry: number): void => {
    killed.add(entry)
    for (const { agent } of fleet) agent.linkDown(entry)
  }
  let nextKey = 1
  /** Submits a job; the outcome is final once it is `completed` or `failed`. */
  const submit = ({ queue = QUEUE, tasks = 1, isDeadly = (_index: number): boolean => false, entry = 0 } = {}) => {
    const key = (nextKey++).toString(16).padStart(16, '0') as runs.JobKey
    const ids = Array.from({ length: tasks }, (_, index) => `${key}.0.0.${index}` as runs.TaskId)
    ids.forEach((id, index) => { if (isDeadly(index)) deadly.add(id) })
    const job: jobDispatcher.Job = {
      key,
      queue,
      spec: 'pay',
      callerTimeoutMs: CALLER_TIMEOUT_MS,
      steps: [{
        after: [],
        maxPerWorker: Infinity,
        tasks: ids.map((id) => ({ id, amount: AMOUNT, estimateMs: runMs, label: undefined, rack: undefined }))
      }]
    }
    return resubmit({ ids, job }, entry)
  }
  const resubmit = ({ ids, job }: { ids: runs.TaskId[], job: jobDispatcher.Job }, entry: number) => {
    const result = { ids, job, outcome: undefined as jobDispatcher.Outcome['kind'] | undefined, attempts: 0 }
    const attempt = (at: number): void => {
      result.attempts++
      const again = (): void => {
        if (result.outcome) return
        attempt((at + 1) % entries)
      }
      if (killed.has(at)) return again()
      // The connection breaks when the entry is killed.
      const cancelAgain = timers.after(CALLER_TIMEOUT_MS, again)
      dispatchers[at]!.submit(job, ({ kind }) => {
        if (killed.has(at)) return
        if (kind === 'completed' || kind === 'failed') result.outcome = kind
        else {
          cancelAgain()
          timers.after(ANNOUNCE_MS, again)
        }
      })
    }
    attempt(entry)
    return result
  }
  const crashesOf = ({ ids }: { ids: runs.TaskId[] }): number =>
    ids.reduce((sum, id) => sum + (site.crashes.get(id) ?? 0), 0)
  return { crashesOf, fleet, kill, pass, resubmit, site, submit }
}

describe('tasks that crash the workers that start them', () => {
  it('are given up after two crashes', async () => {
    const { crashesOf, pass, site, submit } = await setUp({ entries: 1 })
    const deadly = submit({ isDeadly: () => true })
    await pass(15_000)
    expect([deadly.outcome, crashesOf(deadly)]).to.deep.equal(['failed', 2])
    expect(site.violations).to.deep.equal([])
  })

  // A caller may come again at another entry before the crash under the latest run is known.
  it('are given up also when their job comes again at another entry after its entry was killed', async () => {
    const { crashesOf, kill, pass, submit } = await setUp({ entries: 3 })
    const deadly = submit({ isDeadly: () => true })
    await pass(50)
    kill(0)
    await pass(2000)
    kill(1)
    await pass(15_000)
    expect(deadly.outcome).to.equal('failed')
    expect(crashesOf(deadly)).to.be.at.most(3)
  })

  it('are answered as failed at an entry that has only heard of their crashes', async () => {
    const { crashesOf, pass, resubmit, site, submit } = await setUp()
    const deadly = submit({ isDeadly: () => true })
    await pass(10_000)
    const starts = site.starts.get(deadly.ids[0]!)
    const again = resubmit(deadly, 1)
    await pass(1)
    expect([again.outcome, again.attempts]).to.deep.equal(['failed', 1])
    await pass(5000)
    expect(site.starts.get(deadly.ids[0]!)).to.equal(starts)
    expect(crashesOf(deadly)).to.be.at.most(3)
  })

  it('do not make tasks fail that ran beside them', async () => {
    const { crashesOf, pass, site, submit } = await setUp({ workers: 4, entries: 1 })
    const innocent = Array.from({ length: 4 }, () => submit({ tasks: 4 }))
    const deadly = submit({ tasks: 3, isDeadly: (index) => index === 1 })
    innocent.push(...Array.from({ length: 4 }, () => submit({ tasks: 4 })))
    await pass(20_000)
    expect(innocent.map(({ outcome }) => outcome)).to.deep.equal(innocent.map(() => 'completed'))
    expect(deadly.outcome).to.equal('failed')
    expect(crashesOf(deadly)).to.be.at.most(3)
    expect(site.violations).to.deep.equal([])
  })

  it('leave most workers to other queues while many of them arrive', async () => {
    const { fleet, pass, submit } = await setUp({ workers: 12, entries: 1 })
    const other = { ...QUEUE, name: 'other' as jobDispatcher.QueueName, objectiveMs: 200, stretch: 2 }
    const innocent: Array<ReturnType<typeof submit>> = []
    for (let ms = 0; ms < 16_000; ms += 400) {
      submit({ isDeadly: () => true })
      const job = submit({ queue: other, tasks: 2 })
      if (ms >= 8000) innocent.push(job)
      await pass(400)
    }
    await pass(1500)
    const inTime = innocent.filter(({ outcome, attempts }) => outcome === 'completed' && attempts === 1)
    expect(inTime.length / innocent.length).to.be.at.least(0.9)
    expect(fleet.filter(({ worker }) => worker.isDown()).length).to.be.at.most(3)
  })

  it('crash few workers at a time after the first crash of each', async () => {
    const { crashesOf, fleet, pass, submit } = await setUp({ workers: 8, entries: 1 })
    const deadly = submit({ tasks: 8, isDeadly: () => true })
    await pass(4000)
    const before = crashesOf(deadly)
    for (let ms = 0; ms < 12_000; ms += 100) {
      await pass(100)
      expect(fleet.filter(({ worker }) => worker.isDown()).length).to.be.at.most(1)
    }
    expect(before).to.be.at.most(8)
    expect(deadly.outcome).to.equal('failed')
  })
})
