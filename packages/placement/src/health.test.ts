import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as health from './health.ts'

const TYPE = 'weigh-in' as types.TaskTypeName
const FAILURES = 100

const failAll = (checks: health.Health, patient: health.Patient): (string | undefined)[] =>
  Array.from({ length: FAILURES }, (_, at) => checks.record(patient, { type: TYPE, failed: true, runMs: 1 }, at))

describe('worker health', () => {
  // Without its only worker an entry starts nothing at all, and the rising run times of a load are no fault of it.
  it('keeps the only worker in rotation, and takes out one that has a peer', () => {
    const checks = health.create({ enabled: true })
    const [only, peer] = [health.createPatient(), health.createPatient()]
    checks.admit(only)
    expect(failAll(checks, only)).to.not.include('worker-out')
    checks.admit(peer)
    expect(failAll(checks, only)).to.include('worker-out')
  })
})
