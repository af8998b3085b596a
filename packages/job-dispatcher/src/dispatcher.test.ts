import * as runAgent from '@mustarddeck/run-agent'
import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import type * as jobDispatcher from './index.ts'
import * as smallFleet from './testing/small-fleet.ts'

const { QUEUE, TASK_AMOUNT, setUp } = smallFleet

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
      kind: 'ended', task: `${key}.0.0.0` as runs.TaskId, order: 1, run: 1, end: 'unstarted', ranMs: 700, reason: 'stopped early'
    })
    await pass(800)
    expect(result.answer).to.deep.equal({ kind: 'unknown', reason: 'patience' })
  })

  // The caller has submitted it again at another entry; the end of its connection may be noticed seconds later.
  it('starts nothing of a job whose caller gave up while the machine was suspended', async () => {
    const { entry, pass, site, submit } = await setUp({ workers: 1, slots: 1, runMs: 300 })
    const first = submit({ callerTimeoutMs: 1500 })
    const second = submit({ callerTimeoutMs: 1500, queue: { ...QUEUE, stretch: 5 } })
    await pass(50)
    entry.suspended(5000)
    await pass(1000)
    expect([first.result.answer?.kind, second.result.answer?.kind]).to.deep.equal(['unknown', 'not-run'])
    expect([...site.starts.keys()]).to.deep.equal([`${first.key}.0.0.0`])
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

  // The agent reports the end of a former run just before the order of the next one reaches it.
  it('does not start a task again when the end of its former run is reported late', async () => {
    const { cut, entry, pass, sent, submit } = await setUp({ workers: 1 })
    cut.add(1)
    const { key } = submit()
    const reportEnd = async (): Promise<void> => {
      await pass(10)
      const task = `${key}.0.0.0` as runs.TaskId
      entry.receive(1, { kind: 'ended', task, order: 1, run: 1, end: 'stopped', ranMs: 10 })
      await pass(10)
    }
    await reportEnd()
    await reportEnd()
    const numbers = sent.flatMap((message) => message.kind === 'start' ? message.tasks.map(({ run }) => run) : [])
    expect(numbers).to.deep.equal([1, 2])
  })

  // The entry of the first attempt is gone, and its agent, meanwhile full, is still stopping the run.
  it('does not start a task elsewhere while the agent that refused it still runs an earlier attempt', async () => {
    const { fleet, pass, site, submit } = await setUp({ runMs: 1500 })
    const [holder, other] = fleet
    let sequence = 0
    const startAt = ({ agent }: typeof fleet[number], link: number, key: string, count: number): void => {
      agent.linkUp(link, `entry-${link}`)
      const tasks = Array.from({ length: count }, (_, index) => (
        { task: `${key}.0.0.${index}` as runs.TaskId, order: 1, run: 1, amount: TASK_AMOUNT }))
      agent.receive(link, { kind: 'start', sequence: ++sequence, spec: 'pay', tasks })
    }
    startAt(holder!, 8, '0000000000000001', 1)
    startAt(other!, 9, '00000000000000fe', 2)
    await pass(300)
    holder!.agent.linkDown(8)
    const { key, result } = submit({ queue: { ...QUEUE, stretch: 5 } })
    expect(key).to.equal('0000000000000001')
    startAt(holder!, 9, '00000000000000ff', 2)
    await pass(3500)
    expect(site.violations).to.deep.equal([])
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })

  it('does not start a task elsewhere when its order has waited too long for the end of an earlier attempt', async () => {
    const { entry, fleet, pass, sent, submit } = await setUp()
    const { key } = submit({ callerTimeoutMs: 3000 })
    await pass(10)
    const holder = fleet.find(({ worker }) => worker.running().length > 0)!.link
    entry.receive(holder, {
      kind: 'ended', task: `${key}.0.0.0` as runs.TaskId, order: 1, run: 0, end: 'unstarted', ranMs: 0, reason: 'still-running'
    })
    await pass(100)
    const links = sent.flatMap(({ kind, link }) => kind === 'start' ? [link] : [])
    expect(links).to.deep.equal([holder, holder])
  })

  it('does not repeat an order over and over while its agent still runs an earlier attempt', async () => {
    const { fleet, pass, sent, submit } = await setUp({ workers: 1, runMs: 1000 })
    const tasks = [{ task: '0000000000000001.0.0.0' as runs.TaskId, order: 1, run: 1, amount: TASK_AMOUNT }]
    fleet[0]!.agent.linkUp(8, 'entry-2')
    fleet[0]!.agent.receive(8, { kind: 'start', sequence: 1, spec: 'pay', tasks })
    await pass(100)
    submit({ queue: { ...QUEUE, stretch: 5 } })
    await pass(500)
    expect(sent.filter(({ kind }) => kind === 'start').length).to.be.at.most(25)
  })

  it('does not start a task again when the end of its run in an earlier attempt of the job is reported late', async () => {
    const { cut, entry, fleet, pass, sent, submit, timers } = await setUp({ workers: 1 })
    const first = submit()
    await pass(20)
    first.abandon()
    cut.add(1)
    entry.agentDown(1, timers.monotonic())
    await pass(runAgent.LAPSE_AFTER_MS + 100)
    cut.add(2)
    entry.agentUp(2, 'i-1', 'incarnation')
    const worker = fleet[0]!.worker.worker()
    entry.receive(2, { kind: 'room', sequence: 0, sharers: 1, worker, free: worker.capacity })
    sent.length = 0
    entry.submit(first.job, () => {})
    await pass(1)
    entry.receive(2, { kind: 'ended', task: `${first.key}.0.0.0` as runs.TaskId, order: 1, run: 1, end: 'stopped', ranMs: 800 })
    await pass(30)
    expect(sent.filter(({ kind }) => kind === 'start')).to.have.length(1)
  })

  it('does not answer not-run when a worker still runs an earlier attempt of the job', async () => {
    const { cut, entry, pass, submit } = await setUp({ workers: 1, runMs: 100 })
    cut.add(1)
    const { key, result } = submit({ callerTimeoutMs: 600 })
    await pass(10)
    entry.receive(1, {
      kind: 'ended', task: `${key}.0.0.0` as runs.TaskId, order: 1, run: 0, end: 'unstarted', ranMs: 0, reason: 'still-running'
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

  // The agent keeps the order until the earlier run has ended, and refuses it then for another reason.
  it('does not answer not-run when an earlier attempt of the job has run while its order was deferred', async () => {
    const { fleet, pass, site, submit } = await setUp({ workers: 1, runMs: 400 })
    const { agent } = fleet[0]!
    const tasks = [{ task: '0000000000000001.0.0.0' as runs.TaskId, order: 77, run: 1, amount: TASK_AMOUNT }]
    agent.linkUp(8, 'entry-2')
    agent.receive(8, { kind: 'start', sequence: 1, spec: 'pay', tasks })
    await pass(100)
    const { result } = submit()
    await pass(10)
    agent.drain(() => {})
    await pass(5000)
    expect(site.starts.get('0000000000000001.0.0.0' as runs.TaskId)).to.equal(1)
    expect(result.answer).to.have.property('kind', 'unknown')
  })

  it('runs a task elsewhere in the end when the agent that refused it as still running is gone', async () => {
    const { cut, entry, fleet, pass, site, submit, timers } = await setUp()
    const { key } = submit({ callerTimeoutMs: 5000 })
    await pass(10)
    const holder = fleet.find(({ worker }) => worker.running().length > 0)!
    cut.add(holder.link)
    holder.agent.linkDown(0)
    const task = `${key}.0.0.0` as runs.TaskId
    const tell = (order: number): void => entry.receive(holder.link, {
      kind: 'ended', task, order, run: 0, end: 'unstarted', ranMs: 0, reason: 'still-running'
    })
    entry.receive(holder.link, { kind: 'room', sequence: 1, sharers: 1, free: { millicores: 0, memoryMb: 0, accelerators: 0 } })
    tell(1)
    await pass(5)
    entry.agentDown(holder.link, timers.monotonic())
    await pass(3000)
    expect(site.violations).to.deep.equal([])
    expect(site.starts.get(task)).to.equal(2)
  })

  // The run belongs to another entry, which has not noticed that its caller left, and the order waits at the agent.
  it('does not start a task elsewhere when the link fails over which its agent deferred the order', async () => {
    const { cut, entry, fleet, pass, site, submit, timers } = await setUp({ runMs: 4000 })
    const [holder, other] = fleet
    const startAt = ({ agent }: typeof fleet[number], link: number, key: string, count: number): void => {
      agent.linkUp(link, `entry-${link}`)
      const tasks = Array.from({ length: count }, (_, index) => (
        { task: `${key}.0.0.${index}` as runs.TaskId, order: 1, run: 1, amount: TASK_AMOUNT }))
      agent.receive(link, { kind: 'start', sequence: 1, spec: 'pay', tasks })
    }
    startAt(holder!, 8, '0000000000000001', 1)
    startAt(other!, 9, '00000000000000fe', 2)
    await pass(300)
    const { key } = submit({ queue: { ...QUEUE, stretch: 5 } })
    expect(key).to.equal('0000000000000001')
    await pass(50)
    cut.add(holder!.link)
    holder!.agent.linkDown(0)
    entry.agentDown(holder!.link, timers.monotonic())
    await pass(2000)
    expect(site.violations).to.deep.equal([])
  })
})
