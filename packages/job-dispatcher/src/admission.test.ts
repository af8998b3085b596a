import { expect } from 'chai'
import type * as jobDispatcher from './index.ts'
import * as smallFleet from './testing/small-fleet.ts'

const { QUEUE, setUp } = smallFleet
const queueOf = (priority: number, objectiveMs: number): jobDispatcher.Queue =>
  ({ ...QUEUE, name: `queue-${priority}` as jobDispatcher.QueueName, priority, objectiveMs })

describe('admission', () => {
  // Callers waited until the latest start of their jobs for a refusal that was certain when the worker left.
  it('judges waiting jobs again when a worker leaves or its link fails', async () => {
    for (const isLost of [true, false]) {
      const { entry, fleet, pass, submit, timers } = await setUp({ runMs: 400 })
      submit({ tasks: 6 })
      await pass(10)
      const queue = queueOf(0, 250)
      const waiting = Array.from({ length: 3 }, () => submit({ tasks: 3, queue }).result)
      expect(waiting.map(({ answer }) => answer)).to.deep.equal([undefined, undefined, undefined])
      if (isLost) entry.agentDown(1, timers.monotonic())
      else {
        const worker = { ...fleet[0]!.worker.worker(), leaving: true }
        entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, worker, free: worker.capacity })
      }
      expect(waiting.map(({ answer }) => answer?.kind)).to.deep.equal([undefined, undefined, 'not-run'])
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

  // An entry with few links would otherwise refuse, while its workers are idle, what needs most of them.
  it('serves a job that needs more than all linked workers while they are idle', async () => {
    const { pass, submit } = await setUp({ workers: 1, slots: 3, runMs: 200 })
    for (const priority of [0, 1]) {
      const { result } = submit({ tasks: 7, queue: queueOf(priority, 60) })
      await pass(1000)
      expect(result.answer).to.deep.equal({ kind: 'completed' })
    }
  })

  // A worker that is late with its report must not cause refusals while the fleet is idle.
  it('keeps jobs waiting while no worker is reported', async () => {
    const { entry, fleet, pass, submit } = await setUp({ workers: 1 })
    entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, free: { millicores: 0, memoryMb: 0, accelerators: 0 } })
    const { result } = submit({ tasks: 2 })
    await pass(150)
    expect(result.answer).to.equal(undefined)
    const worker = fleet[0]!.worker.worker()
    entry.receive(1, { kind: 'room', sequence: 1, sharers: 1, worker, free: worker.capacity })
    await pass(500)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })
})
