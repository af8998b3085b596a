import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import type * as types from '@mustarddeck/types'
import * as idempotency from './idempotency.ts'
import * as submit from './submit.ts'
import * as memoryTable from './testing/memory-table.ts'

const TEAM = 'payouts' as types.TeamName

const entry = (table: memoryTable.MemoryTable, name: string) => {
  let sequence = 0
  const id = (): types.JobId => `${name.padEnd(8, 'x')}.r0.1.${sequence++}` as types.JobId
  return idempotency.create({
    table,
    ids: { next: async () => ({ kind: 'ok', value: id() }), discard: () => {} },
    timers: clock.createSystem(),
    limitMs: 2000
  })
}

const jobOf = async (bound: ReturnType<idempotency.Keys['bind']>): Promise<types.JobId | string> => {
  const result = await bound
  return result.kind === 'ok' ? result.value.job : result.error.reason
}

describe('idempotency keys', () => {
  // Two ids for one key would run the job twice.
  it('binds one id to a key, whichever entry is asked and whatever the store loses', async () => {
    const faults: memoryTable.Fault[][] = [
      [], ['answer-lost'], ['request-lost'], ['request-lost', 'answer-lost'], ['answer-lost', 'request-lost']
    ]
    for (const sequence of faults) {
      for (const staleReads of [0, 2]) {
        const table = new memoryTable.MemoryTable()
        table.faults.push(...sequence)
        table.staleReads = staleReads
        const keys = [entry(table, 'one'), entry(table, 'two')]
        const jobs = await Promise.all([0, 1, 0, 1].map((at) => jobOf(keys[at]!.bind(TEAM, 'k'))))
        expect(new Set(jobs).size, `${sequence} ${staleReads}`).to.equal(1)
        expect(await jobOf(entry(table, 'three').bind(TEAM, 'k'))).to.equal(jobs[0])
      }
    }
  })

  it('writes many keys in one transaction, and a conflict of one does not hold up the others', async () => {
    const table = new memoryTable.MemoryTable()
    await entry(table, 'one').bind(TEAM, 'k3')
    table.transactions = 0
    const keys = entry(table, 'two')
    const jobs = await Promise.all(Array.from({ length: 50 }, (_, at) => jobOf(keys.bind(TEAM, `k${at}`))))
    expect(new Set(jobs).size).to.equal(50)
    expect(table.transactions).to.be.at.most(3)
  })

  it('keeps the keys of teams apart', async () => {
    const keys = entry(new memoryTable.MemoryTable(), 'one')
    expect(await jobOf(keys.bind(TEAM, 'k'))).not.to.equal(await jobOf(keys.bind('other' as types.TeamName, 'k')))
  })

  it('refuses without a final word while the store is down', async () => {
    const table = new memoryTable.MemoryTable()
    table.faults.push('unavailable')
    const bound = await entry(table, 'one').bind(TEAM, 'k')
    expect(bound).to.deep.equal({
      kind: 'error', error: { kind: 'not-run', reason: 'store-unavailable', final: false, retryAfterMs: 1000 }
    })
  })

  const submission = { team: TEAM } as types.Submission
  const refuse = (reason: types.RefusalReason) => async (given: types.Submission): Promise<types.Outcome> =>
    ({ kind: 'not-run', job: given.id!, reason, final: true })

  // A key whose job was refused for good must be usable again, but a cancelled job must stay cancelled. A refusal
  // called final would be false if a delayed duplicate of the request ran the job under another id.
  it('binds another id only after a final refusal that was not a cancellation', async () => {
    const table = new memoryTable.MemoryTable()
    const keys = entry(table, 'one')
    const signal = new AbortController().signal
    const once = (run: (given: types.Submission) => Promise<types.Outcome>) =>
      submit.withKey({ keys, requests: { submit: run } }, submission, 'k', 0, signal)
    const first = await once(refuse('overload'))
    expect(first).to.include({ kind: 'not-run', final: false })
    const again = await once(async (given) => given.id === first!.job
      ? refuse('overload')(given)
      : { kind: 'pending', job: given.id! })
    expect(again).to.include({ kind: 'pending' }).and.not.include({ job: first!.job })
    const cancelled = await once(refuse('cancelled'))
    expect(cancelled).to.deep.include({ reason: 'cancelled', job: again!.job, final: true })
    expect(await once(refuse('cancelled'))).to.deep.equal(cancelled)
  })
})
