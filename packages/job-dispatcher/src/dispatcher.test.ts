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
const TASK_AMOUNT = { millicores: 1600, memoryMb: 64, accelerators: 0 }
const QUEUE: jobDispatcher.Queue = {
  name: 'settle' as jobDispatcher.QueueName, service: 'corkbook', priority: 0, maxAttempts: 3, stretch: 1.6, objectiveMs: 60
}

const setUp = async ({ workers = 2, slots = 3, runMs = 200, linked = true } = {}) => {
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const site = standIn.createSite()
  const log = logging.create({ level: 'error' })
  const pass = (ms: number): Promise<void> => standIn.advance(timers, ms)
  const cut = new Set<number>()
  const observed: string[] = []

  const fleet = Array.from({ length: workers }, (_, index) => {
    const link = index + 1
    const worker = standIn.create({
      id: `i-${link}`,
      capacity: { millicores: TASK_AMOUNT.millicores * slots, memoryMb: 10_000, accelerators: 0 },
      resourcesOf: () => TASK_AMOUNT,
      runMsOf: () => runMs,
      site,
      timers
    })
    const toEntry = (message: runs.FromAgent): void => {
      timers.after(LINK_MS, () => { if (!cut.has(link)) entry.receive(link, message) })
    }
    const send = (_link: number, message: runs.FromAgent): void => toEntry(message)
    const agent = runAgent.create({
      calls: worker.calls, timers, log, send, onRunEnd: () => {}, onWorkerCrash: () => {}
    })
    return { agent, link, worker }
  })
  const entry = jobDispatcher.create({
    timers,
    log,
    zone: 'khangai-a',
    lapseAfterMs: runAgent.LAPSE_AFTER_MS,
    send: (link, message) => {
      timers.after(LINK_MS, () => { if (!cut.has(link)) fleet[link - 1]!.agent.receive(0, message) })
    },
    onJobEnd: (job, { kind }, tookMs) => observed.push(`${job.key} ${kind} ${Math.round(tookMs)}`),
    shareCrashes: () => {},
    onRefusedOrder: (reason) => observed.push(`order ${reason}`)
  })
  const linkUp = ({ agent, link, worker }: typeof fleet[number]): void => {
    entry.agentUp(link, worker.worker().id, 'incarnation')
    agent.linkUp(0, 'entry-1')
    agent.workerAnnounced(worker.worker(), undefined)
  }
  if (linked) {
    fleet.forEach(linkUp)
    // The entry knows its part of the fleet from then on.
    await pass(fleetDiscovery.START_MS)
  }

  let nextKey = 1
  const submit = ({
    tasks = 1, callerTimeoutMs = 5000, queue = QUEUE, label = undefined as string | undefined
  } = {}) => {
    const key = (nextKey++).toString(16).padStart(16, '0') as runs.JobKey
    const job: jobDispatcher.Job = {
      key,
      queue,
      spec: 'pay',
      callerTimeoutMs,
      steps: [{
        after: [],
        maxPerWorker: Infinity,
        tasks: Array.from({ length: tasks }, (_, index) => ({
          id: `${key}.0.0.${index}` as runs.TaskId, amount: TASK_AMOUNT, estimateMs: runMs, label, rack: undefined
        }))
      }]
    }
    const result = { key, answer: undefined as jobDispatcher.Outcome | undefined, at: 0, job }
    const answer: jobDispatcher.Answer = (outcome) => Object.assign(result, { answer: outcome, at: timers.monotonic() })
    entry.submit(job, answer)
    return { ...result, result, abandon: () => entry.abandon(key, answer) }
  }
  return { cut, entry, fleet, linkUp, observed, pass, site, submit, timers }
}

describe('dispatcher of jobs with waiting callers', () => {
  it('answers when all tasks of a job have ended', async () => {
    const { observed, pass, site, submit } = await setUp()
    const { key, result } = submit({ tasks: 5 })
    await pass(250)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
    expect(observed).to.have.length(1)
    expect(observed[0]).to.match(new RegExp(`^${key} completed 2\\d\\d$`))
    expect([...site.starts.values()]).to.deep.equal([1, 1, 1, 1, 1])
  })

  it('refuses a job that cannot start in time, and starts none of its tasks', async () => {
    const { pass, site, submit } = await setUp({ runMs: 1000 })
    submit({ tasks: 6 })
    const { result } = submit()
    await pass(700)
    expect(result.answer).to.deep.include({ kind: 'not-run', reason: 'overload' })
    expect(result.answer).to.have.property('retryAfterMs').that.is.above(0)
    expect(site.starts.has(`${result.key}.0.0.0` as runs.TaskId)).to.equal(false)
  })

  // Without the refusal an overload makes every job late.
  it('refuses immediately a job that would delay waiting jobs past their objective', async () => {
    const { pass, submit } = await setUp()
    const queue = { ...QUEUE, objectiveMs: 150 }
    submit({ tasks: 6 })
    const waiting = [submit({ tasks: 3, queue }).result, submit({ tasks: 6, queue }).result]
    expect(submit({ tasks: 3, queue }).result.answer).to.deep.include({ kind: 'not-run', reason: 'overload' })
    await pass(700)
    expect(waiting.map(({ answer }) => answer?.kind)).to.deep.equal(['completed', 'completed'])
  })

  it('preempts waiting jobs of a lower priority queue, and refuses them immediately', async () => {
    const { pass, submit } = await setUp()
    const urgent = { ...QUEUE, objectiveMs: 150 }
    const other = { ...QUEUE, name: 'other' as jobDispatcher.QueueName, priority: 1 }
    const first = [submit({ tasks: 6, queue: other }).result, submit({ tasks: 6, queue: other }).result]
    const added = submit({ tasks: 6, queue: urgent }).result
    expect(first.map(({ answer }) => answer?.kind)).to.deep.equal([undefined, 'not-run'])
    await pass(700)
    expect([first[0]!.answer?.kind, added.answer?.kind]).to.deep.equal(['completed', 'completed'])
  })

  it('places the more urgent of two queues first', async () => {
    const { pass, submit, timers } = await setUp()
    const other = { ...QUEUE, name: 'other' as jobDispatcher.QueueName, priority: 1, objectiveMs: 1000 }
    submit({ tasks: 6 })
    const late = submit({ tasks: 6, queue: other }).result
    const early = submit({ tasks: 6, queue: { ...QUEUE, objectiveMs: 2000 } }).result
    const submittedAt = timers.monotonic()
    await pass(1000)
    expect(early.at - submittedAt).to.be.below(450)
    expect(late.at).to.be.above(early.at)
  })

  // After a full restart, callers reconnect before all agents do.
  it('keeps jobs waiting for agents that have not connected yet', async () => {
    const { linkUp, fleet, pass, submit } = await setUp({ linked: false })
    const results = [submit().result, submit().result]
    await pass(100)
    fleet.forEach(linkUp)
    await pass(400)
    expect(results.map(({ answer }) => answer?.kind)).to.deep.equal(['completed', 'completed'])
  })

  // After a loss of power, slow entries accept the links of the fleet one after the other.
  it('does not judge by the first agent while the others are still connecting', async () => {
    const { linkUp, fleet, pass, submit } = await setUp({ linked: false, workers: 6 })
    linkUp(fleet[0]!)
    await pass(400)
    const results = Array.from({ length: 6 }, () => submit({ tasks: 3, callerTimeoutMs: 1500 }).result)
    await pass(700)
    fleet.slice(1).forEach(linkUp)
    await pass(1000)
    expect(results.map(({ answer }) => answer?.kind)).to.deep.equal(results.map(() => 'completed'))
  })

  it('refuses immediately a job that no worker can ever run', async () => {
    const { submit } = await setUp()
    expect(submit({ label: 'gpu' }).result.answer).to.deep.include({ kind: 'not-run', reason: 'never-runnable' })
  })

  it('fails a job when a task has used up the attempts of its queue, and stops the other tasks', async () => {
    const { fleet, pass, submit } = await setUp()
    for (const { worker } of fleet) worker.faults.tasks = 'fail'
    const { result } = submit()
    await pass(150)
    expect(result.answer).to.deep.include({ kind: 'failed' })
  })

  it('retries a task on another worker after a failure', async () => {
    const { fleet, pass, submit } = await setUp()
    fleet[0]!.worker.faults.tasks = 'fail'
    const results = Array.from({ length: 3 }, () => submit({ tasks: 2 }).result)
    await pass(700)
    expect(results.map(({ answer }) => answer?.kind)).to.deep.equal(['completed', 'completed', 'completed'])
  })

  it('restarts a hung task on another worker after stopping it', async () => {
    const { fleet, pass, site, submit } = await setUp()
    for (let count = 0; count < 40; count++) {
      submit()
      await pass(250)
    }
    for (const { worker } of fleet.slice(0, 1)) worker.faults.tasks = 'hang'
    const results = Array.from({ length: 4 }, () => submit().result)
    await pass(2000)
    expect(results.map(({ answer }) => answer?.kind)).to.deep.equal(Array(4).fill('completed'))
    expect(site.violations).to.deep.equal([])
  })

  it('restarts the tasks of a lost agent on another worker only when they have certainly ended', async () => {
    const { cut, entry, fleet, pass, site, submit, timers } = await setUp({ runMs: 1500 })
    const { result } = submit({ tasks: 2, queue: { ...QUEUE, stretch: 5 } })
    await pass(100)
    const lost = fleet.find(({ worker }) => worker.running().length > 0)!
    cut.add(lost.link)
    await pass(450)
    const trustedUntil = timers.monotonic()
    entry.agentDown(lost.link, trustedUntil)
    lost.agent.stop()
    await pass(2800)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
    expect(site.violations).to.deep.equal([])
  })

  // The report of the start may have been lost with the link.
  it('does not answer not-run when the order went to an agent that was lost', async () => {
    const { cut, entry, fleet, pass, submit, timers } = await setUp({ workers: 1, runMs: 3000 })
    const { result } = submit({ callerTimeoutMs: 2500 })
    await pass(2)
    cut.add(fleet[0]!.link)
    entry.agentDown(fleet[0]!.link, timers.monotonic())
    await pass(2500)
    expect(result.answer).to.deep.equal({ kind: 'unknown', reason: 'patience' })
  })

  // The worker's list may not contain the stopped run, so that the agent reports it as not started.
  it('does not answer not-run when a run was overdue', async () => {
    const { cut, entry, fleet, pass, submit } = await setUp({ workers: 1, runMs: 100 })
    fleet[0]!.worker.faults.tasks = 'hang'
    const { key, result } = submit({ callerTimeoutMs: 1500 })
    await pass(300)
    cut.add(1)
    entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, free: { millicores: 0, memoryMb: 0, accelerators: 0 } })
    await pass(400)
    entry.receive(1, {
      kind: 'ended', task: `${key}.0.0.0` as runs.TaskId, run: 1, end: 'unstarted', ranMs: 700, reason: 'stopped early'
    })
    await pass(800)
    expect(result.answer).to.deep.equal({ kind: 'unknown', reason: 'patience' })
  })

  it('stops a job whose caller has disconnected', async () => {
    const { fleet, pass, submit } = await setUp({ runMs: 3000 })
    const { abandon } = submit({ tasks: 4 })
    await pass(50)
    abandon()
    await pass(100)
    expect(fleet.flatMap(({ worker }) => worker.running())).to.deep.equal([])
  })

  // A run of the first submission may still be on its worker when the caller submits the job again.
  it('never runs a task twice at the same time when its job is submitted again', async () => {
    const { entry, pass, site, submit } = await setUp({ runMs: 500 })
    const first = submit({ tasks: 3 })
    await pass(50)
    first.abandon()
    let again: jobDispatcher.Outcome | undefined
    entry.submit(first.job, (outcome) => { again = outcome })
    await pass(1200)
    expect(again).to.deep.equal({ kind: 'completed' })
    expect(site.violations).to.deep.equal([])
  })

  // The caller's connection broke after its job had started, and it submits the job again during an overload.
  it('does not answer not-run when an earlier attempt of the job has started on this entry', async () => {
    const { entry, pass, submit } = await setUp({ workers: 1, slots: 1, runMs: 500 })
    const first = submit()
    await pass(50)
    first.abandon()
    await pass(200)
    submit()
    const answers: jobDispatcher.Outcome[] = []
    entry.submit(first.job, (outcome) => { answers.push(outcome) })
    await pass(1000)
    expect(answers).to.deep.equal([{ kind: 'unknown', reason: 'earlier-attempt' }])
  })

  it('does not answer not-run when a worker still runs an earlier attempt of the job', async () => {
    const { cut, entry, pass, submit } = await setUp({ workers: 1, runMs: 100 })
    cut.add(1)
    const { key, result } = submit({ callerTimeoutMs: 600 })
    await pass(10)
    entry.receive(1, {
      kind: 'ended', task: `${key}.0.0.0` as runs.TaskId, run: 0, end: 'unstarted', ranMs: 0, reason: 'still-running'
    })
    entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, free: { millicores: 0, memoryMb: 0, accelerators: 0 } })
    await pass(600)
    expect(result.answer).to.have.property('kind', 'unknown')
  })

  it('answers a caller before its deadline, with an unknown outcome if a task has started', async () => {
    const { pass, submit, timers } = await setUp({ runMs: 3000 })
    const submittedAt = timers.monotonic()
    const { result } = submit({ callerTimeoutMs: 1000 })
    await pass(1000)
    expect(result.answer).to.deep.equal({ kind: 'unknown', reason: 'patience' })
    expect(result.at - submittedAt).to.be.below(1000)
  })

  // A caller whose connection closes without an answer cannot know whether its job has run.
  it('answers every job before leaving, and stops running tasks', async () => {
    const { entry, pass, site, submit } = await setUp({ workers: 1, slots: 1, runMs: 2000 })
    const queue = { ...QUEUE, objectiveMs: 5000 }
    const [running, waiting] = [submit().result, submit({ queue }).result]
    await pass(50)
    entry.leave()
    expect(running.answer).to.deep.equal({ kind: 'unknown', reason: 'leaving' })
    expect(waiting.answer).to.deep.include({ kind: 'not-run', reason: 'draining' })
    expect(submit().result.answer).to.deep.include({ kind: 'not-run', reason: 'draining' })
    await pass(50)
    expect(site.running.size).to.equal(0)
  })

  it('refuses a job that cannot end before the entry leaves', async () => {
    const { entry, submit } = await setUp({ runMs: 2000 })
    entry.drain(500)
    expect(submit().result.answer).to.deep.include({ kind: 'not-run', reason: 'draining' })
  })
})
