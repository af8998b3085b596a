import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as health from './health.ts'

const TYPE = 'weigh-in' as types.TaskTypeName
const FAILURES = 100

const failAll = (checks: health.Health, worker: health.WorkerHealth): (string | undefined)[] =>
  Array.from({ length: FAILURES }, (_, at) => checks.record(worker, { type: TYPE, failed: true, runMs: 1 }, at))

describe('worker health', () => {
  // Without its only worker an entry starts nothing at all, and the rising run times of a load are no fault of it.
  it('keeps the only worker in rotation, and takes out one that has a peer', () => {
    const checks = health.create({ enabled: true })
    const [only, peer] = [health.createWorkerHealth(), health.createWorkerHealth()]
    checks.admit(only)
    expect(failAll(checks, only)).to.not.include('worker-out')
    checks.admit(peer)
    expect(failAll(checks, only)).to.include('worker-out')
  })

  // Where all work is urgent, a worker that is well again would otherwise stay out for good.
  it('lets urgent work be a trial when nothing less urgent came for long', () => {
    const checks = health.create({ enabled: true })
    const [peer, worker] = [health.createWorkerHealth(), health.createWorkerHealth()]
    for (const one of [peer, worker]) checks.admit(one)
    expect(failAll(checks, worker)).to.include('worker-out')
    const dueAt = worker.trialAt
    expect(checks.wantsTrial(worker, dueAt)).to.equal(true)
    expect(checks.wantsTrial(worker, dueAt, true)).to.equal(false)
    expect(checks.wantsTrial(worker, dueAt + 10_000, true)).to.equal(true)
  })
})
