import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import type * as types from '@mustarddeck/types'
import * as idempotency from './idempotency.ts'
import * as submit from './submit.ts'
import * as memoryTable from './testing/memory-table.ts'

const TEAM = 'payouts' as types.TeamName

const createKeys = (table: memoryTable.MemoryTable, name: string) => {
  let sequence = 0
  const id = (): types.JobId => `${name.padEnd(8, 'x')}.r0.1.${sequence++}` as types.JobId
  return idempotency.create({
    table,
    ids: { next: async () => ({ kind: 'ok', value: id() }), discard: () => {} },
    timers: clock.createSystem(),
    limitMs: 2000
  })
}

const readJob = async (bound: ReturnType<idempotency.Keys['bind']>): Promise<types.JobId | string> => {
  const result = await bound
  return result.kind === 'ok' ? result.value.job : result.error.reason
}

describe('idempotency keys', () => {
  // If a key had two ids, the job would run twice.
  it('binds one id to a key across entries, lost requests and lost responses', async () => {
    const faults: memoryTable.Fault[][] = [
      [], ['answer-lost'], ['request-lost'], ['request-lost', 'answer-lost'], ['answer-lost', 'request-lost']
    ]
    for (const sequence of faults) {
      for (const staleReads of [0, 2]) {
        const table = new memoryTable.MemoryTable()
        table.faults.push(...sequence)
        table.staleReads = staleReads
        const keys = [createKeys(table, 'one'), createKeys(table, 'two')]
        const jobs = await Promise.all([0, 1, 0, 1].map((index) => readJob(keys[index]!.bind(TEAM, 'k'))))
        expect(new Set(jobs).size, `${sequence} ${staleReads}`).to.equal(1)
        expect(await readJob(createKeys(table, 'three').bind(TEAM, 'k'))).to.equal(jobs[0])
      }
    }
  })

  it('writes many keys in one transaction, and a conflict of one does not delay the others', async () => {
    const table = new memoryTable.MemoryTable()
    await createKeys(table, 'one').bind(TEAM, 'k3')
    table.transactions = 0
    const keys = createKeys(table, 'two')
    const jobs = await Promise.all(Array.from({ length: 50 }, (_, index) => readJob(keys.bind(TEAM, `k${index}`))))
    expect(new Set(jobs).size).to.equal(50)
    expect(table.transactions).to.be.at.most(3)
  })

  it('scopes keys by team', async () => {
    const keys = createKeys(new memoryTable.MemoryTable(), 'one')
    expect(await readJob(keys.bind(TEAM, 'k'))).not.to.equal(await readJob(keys.bind('other' as types.TeamName, 'k')))
  })

  it('gives a non-final refusal while the store is down', async () => {
    const table = new memoryTable.MemoryTable()
    table.faults.push('unavailable')
    const bound = await createKeys(table, 'one').bind(TEAM, 'k')
    expect(bound).to.deep.equal({
      kind: 'error', error: { kind: 'not-run', reason: 'store-unavailable', final: false, retryAfterMs: 1000 }
    })
  })

  const submission = { team: TEAM } as types.Submission
  const refuse = (reason: types.RefusalReason) => async (given: types.Submission): Promise<types.Outcome> =>
    ({ kind: 'not-run', job: given.id!, reason, final: true })

  // A key must be usable again after a final refusal of its job, but a cancelled job must stay cancelled. The refusal
  // is reported as not final, because a delayed duplicate of the request may run the job under another id.
  it('rebinds a key only after a final refusal that is not a cancellation', async () => {
    const table = new memoryTable.MemoryTable()
    const keys = createKeys(table, 'one')
    const signal = new AbortController().signal
    const submitOnce = (run: (given: types.Submission) => Promise<types.Outcome>) =>
      submit.submitWithKey({ keys, requests: { submit: run } }, submission, 'k', 0, signal)
    const first = await submitOnce(refuse('overload'))
    expect(first).to.include({ kind: 'not-run', final: false })
    const again = await submitOnce(async (given) => given.id === first!.job
      ? refuse('overload')(given)
      : { kind: 'pending', job: given.id! })
    expect(again).to.include({ kind: 'pending' }).and.not.include({ job: first!.job })
    const cancelled = await submitOnce(refuse('cancelled'))
    expect(cancelled).to.deep.include({ reason: 'cancelled', job: again!.job, final: true })
    expect(await submitOnce(refuse('cancelled'))).to.deep.equal(cancelled)
  })
})
