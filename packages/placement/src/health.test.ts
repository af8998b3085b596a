import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as health from './health.ts'

const TYPE = 'weigh-in' as types.TaskTypeName
const FAILURES = 100

const failAll = (healthTests: health.Health, worker: health.WorkerHealth): (string | undefined)[] =>
  Array.from({ length: FAILURES }, (_, at) => healthTests.record(worker, { type: TYPE, failed: true, runMs: 1 }, at))

describe('worker health', () => {
  // Without its only worker an entry could start nothing, and run times that rise with the load are not its fault.
  it('keeps the only worker in rotation, and takes out a failing one that has a peer', () => {
    const healthTests = health.create({ enabled: true })
    const [onlyWorker, peer] = [health.createWorkerHealth(), health.createWorkerHealth()]
    healthTests.admit(onlyWorker)
    expect(failAll(healthTests, onlyWorker)).to.not.include('worker-out')
    healthTests.admit(peer)
    expect(failAll(healthTests, onlyWorker)).to.include('worker-out')
  })

  // A step may be judged after one of its workers has restarted, or is gone.
  it('reports nothing about a removed worker by later evidence', () => {
    const healthTests = health.create({ enabled: true })
    // Two remain, so that the rule for the only worker does not apply.
    const [worker, ...peers] = Array.from({ length: 3 }, health.createWorkerHealth) as [health.WorkerHealth]
    for (const one of [worker, ...peers]) healthTests.admit(one)
    const slowness = { evidence: 100, isUnusual: true }
    healthTests.remove(worker)
    expect(healthTests.revise(worker, slowness, 0)).to.equal(undefined)
    healthTests.admit(worker)
    expect(healthTests.revise(worker, slowness, 0)).to.equal('worker-out')
  })

  // If all work is urgent, a recovered worker would otherwise never return to rotation.
  it('uses urgent work for a trial when no less urgent work arrived for a long time', () => {
    const healthTests = health.create({ enabled: true })
    const [peer, worker] = [health.createWorkerHealth(), health.createWorkerHealth()]
    for (const one of [peer, worker]) healthTests.admit(one)
    expect(failAll(healthTests, worker)).to.include('worker-out')
    const dueAt = worker.trialAt
    expect(healthTests.isTrialDue(worker, dueAt)).to.equal(true)
    expect(healthTests.isTrialDue(worker, dueAt, true)).to.equal(false)
    expect(healthTests.isTrialDue(worker, dueAt + 10_000, true)).to.equal(true)
  })
})
