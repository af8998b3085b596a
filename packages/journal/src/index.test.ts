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
  it('refuses a second start of a task, also after it ended', () => {
    const records = create()
    expect(records.record(start('aaaaaaaa.r0.1.0'), true).kind).to.equal('recorded')
    expect(records.record(start('aaaaaaaa.r0.1.0'), true)).to.include({ reason: 'duplicate' })
    records.end('aaaaaaaa.r0.1.0' as types.JobId, 0, done)
    expect(records.record(start('aaaaaaaa.r0.1.0'), true)).to.include({ reason: 'duplicate' })
    expect(records.record(start('aaaaaaaa.r0.1.0', 1), true).kind).to.equal('recorded')
  })

  // A fence that is forgotten with its records would let a resumed owner start a job that was reported as not run.
  it('keeps fences and retired marks after the records are dropped', () => {
    const records = create()
    records.record(start('aaaaaaaa.r0.3.0'), true)
    records.retire(OWNER, 3)
    expect(records.record(start('aaaaaaaa.r0.2.0'), true)).to.include({ reason: 'retired' })
    records.drop(OWNER)
    expect(records.record(start('aaaaaaaa.r0.9.0'), true)).to.include({ reason: 'fenced' })
    expect(records.state(OWNER)).to.deep.equal({ retired: 3, dropped: true })
    expect(records.bytes()).to.equal(0)
  })

  // The recovery of a registered job asks registered agents only.
  it('starts jobs of a registered view only after the registration', () => {
    const records = create()
    expect(records.record(start('aaaaaaaa.r0.1.0'), false)).to.include({ reason: 'unregistered' })
    expect(records.record(start('aaaaaaaa.u.1.0'), false).kind).to.equal('recorded')
  })

  it('returns to zero bytes and refuses starts at the limit', () => {
    const records = create(300)
    expect(records.record(start('aaaaaaaa.r0.1.0'), true).kind).to.equal('recorded')
    records.end('aaaaaaaa.r0.1.0' as types.JobId, 0, done)
    expect(records.record(start('aaaaaaaa.r0.1.1'), true)).to.include({ reason: 'memory-limit' })
    records.remove('aaaaaaaa.r0.1.0' as types.JobId, 0)
    expect(records.bytes()).to.equal(0)
  })
})
