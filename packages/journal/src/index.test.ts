import { expect } from 'chai'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as journal from './index.ts'

const OWNER = 'aaaaaaaa' as types.Incarnation

const start = (job: string, index = 0): messages.Start => ({
  kind: 'start',
  job: job as types.JobId,
  index,
  attempt: 0,
  total: 2,
  digest: 'd' as types.Digest,
  name: `t${index}` as types.TaskName,
  type: 'weigh-in' as types.TaskTypeName,
  payload: {},
  limitMs: 1000,
  resources: { cores: 1, memoryMb: 1, accelerators: 0 }
})

const create = (maxBytes = 1e6) => journal.create({ maxBytes })
const done: messages.TaskEnd = { kind: 'finished', result: 'x'.repeat(100), runMs: 1 }

describe('journal', () => {
  it('rejects a second start of a task, also after the task has ended', () => {
    const records = create()
    expect(records.record(start('aaaaaaaa.r0.1.0'), true).kind).to.equal('recorded')
    expect(records.record(start('aaaaaaaa.r0.1.0'), true)).to.include({ reason: 'duplicate' })
    records.end('aaaaaaaa.r0.1.0' as types.JobId, 0, done)
    expect(records.record(start('aaaaaaaa.r0.1.0'), true)).to.include({ reason: 'duplicate' })
    expect(records.record(start('aaaaaaaa.r0.1.0', 1), true).kind).to.equal('recorded')
  })

  // If a fence were dropped with the records, a resumed owner could start a job that was reported as not run.
  it('keeps fences and retired block numbers after the records are dropped', () => {
    const records = create()
    records.record(start('aaaaaaaa.r0.3.0'), true)
    records.retire(OWNER, 3)
    expect(records.record(start('aaaaaaaa.r0.2.0'), true)).to.include({ reason: 'retired' })
    records.drop(OWNER)
    expect(records.record(start('aaaaaaaa.r0.9.0'), true)).to.include({ reason: 'fenced' })
    expect(records.state(OWNER)).to.deep.equal({ retired: 3, dropped: true })
    expect(records.bytes()).to.equal(0)
  })

  // The recovery of a job of a registered view queries registered agents only.
  it('records starts of a registered view only after the agent has registered', () => {
    const records = create()
    expect(records.record(start('aaaaaaaa.r0.1.0'), false)).to.include({ reason: 'unregistered' })
    expect(records.record(start('aaaaaaaa.u.1.0'), false).kind).to.equal('recorded')
  })

  it('rejects starts at the memory limit and returns to zero bytes when records are removed', () => {
    const records = create(300)
    expect(records.record(start('aaaaaaaa.r0.1.0'), true).kind).to.equal('recorded')
    records.end('aaaaaaaa.r0.1.0' as types.JobId, 0, done)
    expect(records.record(start('aaaaaaaa.r0.1.1'), true)).to.include({ reason: 'memory-limit' })
    records.remove('aaaaaaaa.r0.1.0' as types.JobId, 0)
    expect(records.bytes()).to.equal(0)
  })
})
