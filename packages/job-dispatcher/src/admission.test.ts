import * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as admission from './admission.ts'
import * as fleet from './agents.ts'
import * as runEstimates from './estimates.ts'
import type * as jobDispatcher from './index.ts'
import * as jobs from './jobs.ts'
import * as presentAdmission from './testing/present-admission.ts'
import * as smallFleet from './testing/small-fleet.ts'
import * as waitingJobs from './waiting-jobs.ts'

const { QUEUE, setUp } = smallFleet
const queueOf = (priority: number, objectiveMs: number): jobDispatcher.Queue =>
  ({ ...QUEUE, name: `queue-${priority}` as jobDispatcher.QueueName, priority, objectiveMs })

describe('admission', () => {
  it('judges waiting jobs again when a more urgent burst comes', async () => {
    const { pass, submit } = await setUp()
    submit({ tasks: 6 })
    const waiting = submit({ tasks: 6, queue: queueOf(1, 150) }).result
    expect(waiting.answer).to.equal(undefined)
    const urgent = submit({ tasks: 6, queue: queueOf(0, 150) }).result
    expect(waiting.answer).to.deep.include({ kind: 'not-run', reason: 'overload' })
    await pass(500)
    expect(urgent.answer).to.deep.equal({ kind: 'completed' })
  })

  // Callers waited until the latest start of their jobs for a refusal that was certain when the worker left.
  it('judges waiting jobs again when a worker leaves or its link fails', async () => {
    for (const isLost of [true, false]) {
      const { entry, fleet, pass, submit, timers } = await setUp({ runMs: 400 })
      submit({ tasks: 6 })
      await pass(10)
      const queue = queueOf(0, 250)
      const waiting = [submit({ tasks: 3, queue }).result, submit({ tasks: 3, queue }).result]
      expect(waiting.map(({ answer }) => answer)).to.deep.equal([undefined, undefined])
      if (isLost) entry.agentDown(1, timers.monotonic())
      else {
        const worker = { ...fleet[0]!.worker.worker(), leaving: true }
        entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, worker, free: worker.capacity })
      }
      expect(waiting.map(({ answer }) => answer?.kind)).to.deep.equal([undefined, 'not-run'])
      await pass(900)
      expect(waiting[0]!.answer).to.deep.equal({ kind: 'completed' })
    }
  })

  it('never refuses a job that has begun', async () => {
    const { entry, pass, submit, timers } = await setUp({ workers: 2, slots: 2, runMs: 300 })
    submit({ tasks: 2 })
    const begun = submit({ tasks: 3 }).result
    await pass(10)
    entry.agentDown(1, timers.monotonic())
    submit({ tasks: 2 })
    await pass(4000)
    expect(begun.answer?.kind).to.be.oneOf(['completed', 'unknown'])
  })

  // An answer after the objective is worth a fifth; a refusal at the latest start left capacity idle soon after it.
  it('serves a job that has become late when capacity is idle before the deadline of its caller', async () => {
    const { fleet, pass, submit, timers } = await setUp({ workers: 2, slots: 1, runMs: 200 })
    for (const { worker } of fleet) worker.faults.tasks = 'hang'
    submit({ tasks: 2 })
    await pass(10)
    for (const { worker } of fleet) worker.faults.tasks = 'succeed'
    const submittedAt = timers.monotonic()
    const late = submit({ queue: queueOf(0, 150), callerTimeoutMs: 3000 }).result
    await pass(1500)
    expect(late.answer).to.deep.equal({ kind: 'completed' })
    expect(late.at - submittedAt).to.be.above(200 * QUEUE.stretch + 150)
  })

  // An entry with few links would otherwise refuse, while its workers are idle, what needs most of them.
  it('serves a job that needs more than all linked workers while they are idle', async () => {
    const { pass, submit } = await setUp({ workers: 1, slots: 3, runMs: 200 })
    for (const priority of [0, 1]) {
      const { result } = submit({ tasks: 7, queue: queueOf(priority, 60) })
      await pass(1000)
      expect(result.answer).to.deep.equal({ kind: 'completed' })
    }
  })

  it('starts a less urgent job when all its tasks can start, and a small one before it', async () => {
    const { pass, site, submit } = await setUp({ workers: 4, slots: 3, runMs: 200 })
    submit({ tasks: 9 })
    await pass(10)
    const large = submit({ tasks: 4, queue: queueOf(1, 400) }).key
    const small = submit({ tasks: 2, queue: queueOf(1, 400) }).key
    await pass(50)
    const started = [...site.starts.keys()]
    expect(started.filter((id) => id.startsWith(large))).to.deep.equal([])
    expect(started.filter((id) => id.startsWith(small))).to.have.length(2)
    await pass(400)
    expect(site.starts.get(`${large}.0.0.3` as runs.TaskId)).to.equal(1)
  })

  // A worker that is late with its report must not cause refusals while the fleet is idle.
  it('keeps jobs waiting while no worker is reported', async () => {
    const { entry, fleet, pass, submit } = await setUp({ workers: 1 })
    entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, free: { millicores: 0, memoryMb: 0, accelerators: 0 } })
    const { result } = submit({ tasks: 2 })
    await pass(250)
    expect(result.answer).to.equal(undefined)
    const worker = fleet[0]!.worker.worker()
    entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, worker, free: worker.capacity })
    await pass(500)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })

  // The former policy copied and sorted all waiting jobs at each arrival.
  it('passes over the waiting jobs once in 20 ms at most, however many jobs arrive', () => {
    const agents = fleet.create()
    const capacity = { millicores: 64_000, memoryMb: 128_000, accelerators: 0 }
    const worker: runs.Worker = {
      id: 'i-1' as runs.WorkerId, bornMs: 1, service: QUEUE.service, zone: 'khangai-a', capacity, labels: [], leaving: false
    }
    agents.update(agents.up(1, 'agent-1', 'incarnation'), { kind: 'room', sequence: 0, sharers: 4, worker, free: capacity })
    const waiting = waitingJobs.create()
    const counted = { passes: 0 }
    const view: admission.View = {
      agents,
      estimates: runEstimates.create({ timers: clock.createVirtual({ start: new Date(0) }) }),
      knowsFleet: () => true,
      waiting: {
        get size () { return waiting.size },
        add: waiting.add,
        delete: waiting.delete,
        mostUrgent: waiting.mostUrgent,
        [Symbol.iterator]: () => {
          counted.passes++
          return waiting[Symbol.iterator]()
        }
      }
    }
    const passesOf = (policy: admission.Admission): number => {
      counted.passes = 0
      for (let index = 0; index < 500; index++) {
        const key = `${index}` as runs.JobKey
        const id = `${key}.0.0.0` as runs.TaskId
        const task = { id, amount: smallFleet.TASK_AMOUNT, estimateMs: 200, label: undefined, rack: undefined }
        const steps = [{ tasks: [task], after: [], maxPerWorker: Infinity }]
        const job = { key, queue: queueOf(1, 1e6), spec: '', steps, callerTimeoutMs: 2e6 }
        policy.admit(jobs.create(job, index / 10, () => 200, () => {}), index / 10)
      }
      return counted.passes
    }
    expect(passesOf(presentAdmission.create(view))).to.equal(500)
    expect(passesOf(admission.create(view))).to.be.at.most(3)
  })
})
