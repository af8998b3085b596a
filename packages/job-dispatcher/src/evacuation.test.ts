import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import type * as jobDispatcher from './index.ts'
import * as smallFleet from './testing/small-fleet.ts'

const { QUEUE, TASK_AMOUNT } = smallFleet
const ZONES = ['zone-a', 'zone-b']
const A = new Set(['zone-a'])
const NONE = new Set<string>()

/** Workers alternate between two zones; those of the first one have the label `fast`. */
const setUp = async (options: Parameters<typeof smallFleet.setUp>[0] = {}) => {
  const small = await smallFleet.setUp({
    workers: 4,
    placeOf: (index) => ({ zone: ZONES[index % 2]!, labels: index % 2 === 0 ? ['fast'] : [] }),
    ...options
  })
  const { entry, fleet, pass, sent, site } = small
  /** Tells the entry and all agents, as the messages between processes do. */
  const evacuate = (zones: ReadonlySet<string>): void => {
    entry.evacuate(zones)
    for (const { agent } of fleet) agent.evacuate(zones)
  }
  /** Number of running tasks on the workers of the zone. */
  const running = (zone: string): number => fleet
    .filter(({ describe }) => describe().zone === zone)
    .reduce((sum, { worker }) => sum + worker.running().length, 0)
  const orders = (): number[] => sent.flatMap((message) => message.kind === 'start' ? [message.link] : [])
  const starts = (key: runs.JobKey): number => [...site.starts.keys()].filter((task) => task.startsWith(key)).length
  const submitSteps = (labels: Array<string | undefined>, callerTimeoutMs: number) => {
    const key = 'f'.repeat(16) as runs.JobKey
    const steps = labels.map((label, index) => ({
      after: index === 0 ? [] : [index - 1],
      maxPerWorker: Infinity,
      tasks: [{ id: `${key}.0.${index}.0` as runs.TaskId, amount: TASK_AMOUNT, estimateMs: 200, label, rack: undefined }]
    }))
    const result = { answer: undefined as jobDispatcher.Outcome | undefined }
    entry.submit({ key, queue: QUEUE, spec: 'pay', steps, callerTimeoutMs }, (answer) => { result.answer = answer })
    return result
  }
  return { ...small, evacuate, orders, pass, running, starts, submitSteps }
}

describe('evacuation of a zone, at an entry', () => {
  it('places nothing there, and lets the runs there end', async () => {
    const { evacuate, pass, running, site, submit } = await setUp()
    const first = submit({ tasks: 12 }).result
    await pass(50)
    expect([running('zone-a'), running('zone-b')]).to.deep.equal([6, 6])
    evacuate(A)
    const second = submit({ tasks: 6, queue: { ...QUEUE, objectiveMs: 1000 } }).result
    await pass(200)
    expect(first.answer).to.deep.equal({ kind: 'completed' })
    expect([running('zone-a'), running('zone-b')]).to.deep.equal([0, 6])
    await pass(200)
    expect(second.answer).to.deep.equal({ kind: 'completed' })
    expect(site.violations).to.deep.equal([])
  })

  it('refuses a job that fits only workers there as not run, and starts none of its tasks', async () => {
    const { evacuate, pass, starts, submit } = await setUp()
    evacuate(A)
    const { key, result } = submit({ label: 'fast' })
    expect(result.answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
    expect(result.answer).to.have.property('retryAfterMs').that.is.above(0)
    expect(submit({ label: 'gpu' }).result.answer).to.deep.include({ kind: 'not-run', reason: 'never-runnable' })
    await pass(500)
    expect(starts(key)).to.equal(0)
  })

  it('refuses every job while all zones are evacuated, and serves again when they return', async () => {
    const { evacuate, pass, submit } = await setUp()
    evacuate(new Set(ZONES))
    await pass(10)
    expect(submit().result.answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
    evacuate(NONE)
    const { result } = submit()
    await pass(210)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })

  // Otherwise the caller waits for the latest start of its job, and gets the wrong reason.
  it('refuses waiting jobs that fit only workers there at once, and places the others', async () => {
    const { entry, evacuate, observed, pass, submit } = await setUp({ runMs: 300 })
    submit({ tasks: 12 })
    await pass(20)
    const queue = { ...QUEUE, objectiveMs: 2000 }
    const [bound, free] = [submit({ label: 'fast', queue }).result, submit({ queue }).result]
    await pass(20)
    evacuate(A)
    expect(bound.answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
    expect(free.answer).to.equal(undefined)
    await pass(600)
    expect(free.answer).to.deep.equal({ kind: 'completed' })
    expect(entry.heldKeys()).to.deep.equal([])
    expect(observed.filter((line) => line.startsWith('order '))).to.deep.equal([])
  })

  it('uses the workers at once when their zone returns to service', async () => {
    const { evacuate, pass, running, submit } = await setUp({ runMs: 300 })
    evacuate(A)
    await pass(50)
    const results = [submit({ tasks: 6 }).result, submit({ tasks: 6, queue: { ...QUEUE, objectiveMs: 2000 } }).result]
    await pass(50)
    expect([running('zone-a'), running('zone-b')]).to.deep.equal([0, 6])
    evacuate(NONE)
    await pass(10)
    expect([running('zone-a'), running('zone-b')]).to.deep.equal([6, 6])
    await pass(310)
    expect(results.map(({ answer }) => answer?.kind)).to.deep.equal(['completed', 'completed'])
  })

  // Without this, half of the capacity stands for twice as many jobs as can start in time.
  it('does not count the workers there as capacity for new jobs', async () => {
    const { evacuate, pass, submit } = await setUp()
    evacuate(A)
    await pass(10)
    const queue = { ...QUEUE, objectiveMs: 150 }
    submit({ tasks: 6, queue })
    const waiting = [submit({ tasks: 3, queue }).result, submit({ tasks: 6, queue }).result]
    expect(submit({ tasks: 3, queue }).result.answer).to.deep.include({ kind: 'not-run', reason: 'overload' })
    await pass(700)
    expect(waiting.map(({ answer }) => answer?.kind)).to.deep.equal(['completed', 'completed'])
  })

  it('keeps a job that has begun until its caller stops waiting, although its next step fits only workers there', async () => {
    const { evacuate, pass, submitSteps } = await setUp()
    const result = submitSteps([undefined, 'fast'], 1500)
    await pass(50)
    evacuate(A)
    await pass(1300)
    expect(result.answer).to.equal(undefined)
    await pass(150)
    expect(result.answer).to.deep.equal({ kind: 'unknown', reason: 'patience' })
  })

  it('finishes such a job when the zone returns in time', async () => {
    const { evacuate, pass, submitSteps } = await setUp()
    const result = submitSteps([undefined, 'fast'], 1500)
    await pass(50)
    evacuate(A)
    await pass(500)
    evacuate(NONE)
    await pass(220)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })

  // Work that cannot be started before the zone returns takes no capacity from other jobs.
  it('does not refuse other jobs because of such a job', async () => {
    const { evacuate, pass, submit, submitSteps } = await setUp({ workers: 2, slots: 1 })
    submitSteps([undefined, 'fast'], 3000)
    await pass(50)
    evacuate(A)
    await pass(500)
    const queue = { ...QUEUE, objectiveMs: 10 }
    const { result } = submit({ queue })
    await pass(220)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })

  it('refuses a job of which a later step fits only workers there, before anything of it starts', async () => {
    const { evacuate, submitSteps } = await setUp()
    evacuate(A)
    expect(submitSteps([undefined, 'fast'], 1500).answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
  })

  it('sends no demand to agents there', async () => {
    const { evacuate, pass, sent, submit } = await setUp({ runMs: 300 })
    evacuate(A)
    await pass(50)
    submit({ tasks: 6 })
    submit({ tasks: 6, queue: { ...QUEUE, objectiveMs: 2000 } })
    sent.length = 0
    await pass(100)
    expect(new Set(sent.flatMap((message) => message.kind === 'want' ? [message.link] : []))).to.deep.equal(new Set([2, 4]))
  })

  describe('when the agents know of it first', () => {
    // Message to the entry lost or late: the agent's refusal must not count against the task, the job or the worker.
    it('starts the refused tasks in other zones, without a failed run or a worse health', async () => {
      const { entry, fleet, observed, pass, running, site, submit } = await setUp()
      for (const { agent } of fleet) agent.evacuate(A)
      const queue = { ...QUEUE, maxAttempts: 1 }
      // Sent before the report of the agent arrives.
      const results = Array.from({ length: 6 }, () => submit({ queue }).result)
      await pass(50)
      expect(observed.filter((line) => line === 'order evacuated')).to.have.length.above(0)
      expect([running('zone-a'), running('zone-b')]).to.deep.equal([0, 6])
      await pass(210)
      expect(results.map(({ answer }) => answer?.kind)).to.deep.equal(results.map(() => 'completed'))
      expect(observed.filter((line) => line === 'order evacuated')).to.have.length.below(4)
      for (const { agent } of fleet) agent.evacuate(NONE)
      await pass(10)
      submit({ tasks: 12 })
      await pass(50)
      expect([running('zone-a'), running('zone-b')], 'no worker is out of rotation').to.deep.equal([6, 6])
      expect(site.violations).to.deep.equal([])
      expect(entry.heldKeys()).to.have.length(1)
    })

    it('passes over the other agents of the zone, which may not know of it yet', async () => {
      const { fleet, orders, pass, submit } = await setUp()
      fleet[0]!.agent.evacuate(A)
      await pass(10)
      submit({ tasks: 6 })
      await pass(20)
      expect(new Set(orders())).to.deep.equal(new Set([2, 4]))
    })

    it('refuses jobs that fit only workers there, also those that wait', async () => {
      const { fleet, pass, submit } = await setUp({ runMs: 300 })
      submit({ tasks: 12 })
      await pass(20)
      const waiting = submit({ label: 'fast', queue: { ...QUEUE, objectiveMs: 2000 } }).result
      for (const { agent } of fleet) agent.evacuate(A)
      await pass(30)
      expect(waiting.answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
      expect(submit({ label: 'fast' }).result.answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
    })

    it('refuses a job as not run whose only order was refused for this reason', async () => {
      const { fleet, pass, starts, submit } = await setUp({ workers: 2 })
      fleet[0]!.agent.evacuate(A)
      const { key, result } = submit({ label: 'fast' })
      expect(result.answer).to.equal(undefined)
      await pass(10)
      expect(result.answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
      await pass(500)
      expect(starts(key)).to.equal(0)
    })

    it('uses the workers at once when the agents know that the zone has returned', async () => {
      const { fleet, pass, running, submit } = await setUp({ runMs: 300 })
      for (const { agent } of fleet) agent.evacuate(A)
      // Refused, as the reports of the agents are on their way.
      submit({ tasks: 12, queue: { ...QUEUE, objectiveMs: 2000 } })
      await pass(50)
      expect([running('zone-a'), running('zone-b')]).to.deep.equal([0, 6])
      for (const { agent } of fleet) agent.evacuate(NONE)
      await pass(10)
      expect([running('zone-a'), running('zone-b')]).to.deep.equal([6, 6])
    })

    // The agents of the zone that never heard of the evacuation have nothing to report when it ends.
    it('uses all workers of the zone again when the agent that reported the evacuation takes it back or is gone', async () => {
      for (const isGone of [false, true]) {
        const { entry, fleet, pass, running, submit, timers } = await setUp()
        fleet[0]!.agent.evacuate(A)
        await pass(20)
        if (isGone) entry.agentDown(1, timers.monotonic())
        else fleet[0]!.agent.evacuate(NONE)
        await pass(10)
        submit({ tasks: isGone ? 9 : 12 })
        await pass(20)
        expect([running('zone-a'), running('zone-b')], `gone: ${isGone}`).to.deep.equal([isGone ? 3 : 6, 6])
      }
    })
  })

  describe('when the entry knows of it first', () => {
    it('sends no more orders there', async () => {
      const { entry, orders, pass, submit } = await setUp()
      entry.evacuate(A)
      submit({ tasks: 6 })
      await pass(50)
      expect(new Set(orders())).to.deep.equal(new Set([2, 4]))
    })

    // An agent that has not heard of it still reports the capacity that its runs release.
    it('sends no orders there when runs end there', async () => {
      const { entry, orders, pass, sent, submit } = await setUp()
      submit({ tasks: 12 })
      await pass(20)
      const { result } = submit({ tasks: 6, queue: { ...QUEUE, objectiveMs: 2000 } })
      entry.evacuate(A)
      sent.length = 0
      await pass(450)
      expect(new Set(orders())).to.deep.equal(new Set([2, 4]))
      expect(result.answer).to.deep.equal({ kind: 'completed' })
    })

    it('waits for the agents when the zone returns, which are refusing orders until they know', async () => {
      const { entry, evacuate, fleet, observed, pass, running, submit } = await setUp({ runMs: 300 })
      evacuate(A)
      await pass(20)
      submit({ tasks: 12, queue: { ...QUEUE, objectiveMs: 2000 } })
      await pass(20)
      entry.evacuate(NONE)
      await pass(20)
      expect([running('zone-a'), running('zone-b')]).to.deep.equal([0, 6])
      fleet[0]!.agent.evacuate(NONE)
      await pass(10)
      expect(running('zone-a'), 'one agent knows').to.equal(3)
      fleet[2]!.agent.evacuate(NONE)
      await pass(10)
      expect(running('zone-a'), 'both know').to.equal(6)
      expect(observed.filter((line) => line.startsWith('order '))).to.deep.equal([])
    })

    it('sends a task whose order was refused to a worker in another zone when the worker that it fits returns late', async () => {
      const { entry, fleet, pass, running, submit } = await setUp()
      fleet[0]!.agent.evacuate(A)
      fleet[2]!.agent.evacuate(A)
      entry.evacuate(A)
      entry.evacuate(NONE)
      submit({ tasks: 6 })
      await pass(30)
      expect([running('zone-a'), running('zone-b')]).to.deep.equal([0, 6])
    })
  })

  // An entry that has just started knows few agents; the others may be in other zones.
  it('refuses no job for it while agents are still linking, but then does', async () => {
    const { entry, fleet, linkUp, pass, submit } = await setUp({ linked: false })
    entry.evacuate(A)
    linkUp(fleet[0]!)
    await pass(50)
    const [free, bound] = [submit({ callerTimeoutMs: 6000 }).result, submit({ label: 'fast', callerTimeoutMs: 6000 }).result]
    await pass(100)
    expect([free.answer, bound.answer]).to.deep.equal([undefined, undefined])
    linkUp(fleet[1]!)
    await pass(300)
    expect(free.answer).to.deep.equal({ kind: 'completed' })
    await pass(3000)
    expect(bound.answer).to.deep.include({ kind: 'not-run', reason: 'evacuated' })
  })

  // The orders that a paused entry had sent, or sends as it resumes, reach agents that know better.
  it('starts nothing there by the orders of an entry that stands still while the zone is evacuated', async () => {
    const { cut, fleet, pass, running, submit } = await setUp()
    for (const { link } of fleet) cut.add(link)
    for (const { agent } of fleet) agent.evacuate(A)
    await pass(5000)
    cut.clear()
    const { result } = submit({ tasks: 12, queue: { ...QUEUE, objectiveMs: 3000 } })
    await pass(30)
    expect([running('zone-a'), running('zone-b')]).to.deep.equal([0, 6])
    await pass(420)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })
})
