import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as ledger from './index.ts'

const VIEW: types.MembershipView = { kind: 'registered', departures: 0 }
const create = (maxBytes = 1e6) => ledger.create<ledger.TrackedJob>({
  settings: { maxBytes, blockLifetimeMs: 100, blockRetentionMs: 50 },
  incarnation: 'aaaaaaaa' as types.Incarnation
})
const idOf = (block: ledger.IssuedBlock | undefined, sequence: number) => `${block?.prefix}.${sequence}` as types.JobId

describe('ledger', () => {
  // Accepting a refused id later would run a job after its caller received not-run.
  it('keeps an id refused until its block retires', () => {
    const subject = create()
    const id = idOf(subject.reserve(10, VIEW, 0), 3)
    expect(subject.lookup(id, 0).kind).to.equal('open')
    subject.refuse(id, 'overload')
    expect(subject.lookup(id, 0)).to.deep.equal({ kind: 'refused', reason: 'overload' })
    expect(subject.lookup(id, 120)).to.deep.equal({ kind: 'refused', reason: 'overload' })
  })

  it('closes and retires blocks by its own clock, but never retires a block with an unfinished job', () => {
    const subject = create()
    const block = subject.reserve(10, VIEW, 0)
    const job: ledger.TrackedJob = { id: idOf(block, 0), bytes: 100 }
    subject.add(job)
    expect(subject.lookup(idOf(block, 1), 100).kind).to.equal('closed')
    expect(subject.overdueJobs(149)).to.deep.equal([])
    expect(subject.overdueJobs(150)).to.deep.equal([job])
    expect(subject.retireBlocks(1000)).to.deep.equal([])
    job.outcome = { kind: 'expired', job: job.id }
    expect(subject.retireBlocks(149)).to.deep.equal([])
    expect(subject.retireBlocks(150)).to.deep.equal([{ incarnation: 'aaaaaaaa', block: 1 }])
    expect(subject.lookup(idOf(block, 0), 150).kind).to.equal('retired')
    expect(subject.bytes()).to.equal(0)
  })

  // Ids with another view or beyond the block's count were never issued, so accepting them could run a job twice.
  it('does not accept ids that it never issued', () => {
    const subject = create()
    const block = subject.reserve(10, VIEW, 0)
    expect(subject.lookup(idOf(block, 10), 0).kind).to.equal('unissued')
    expect(subject.lookup('aaaaaaaa.u.1.0' as types.JobId, 0).kind).to.equal('unissued')
    expect(subject.lookup('aaaaaaaa.r0.2.0' as types.JobId, 0).kind).to.equal('unissued')
    expect(subject.lookup('bbbbbbbb.r0.1.0' as types.JobId, 0).kind).to.equal('unowned')
  })

  it('issues no ids at the memory limit', () => {
    const subject = create(5000)
    expect(subject.reserve(4096, VIEW, 0)).to.not.equal(undefined)
    expect(subject.reserve(4096, VIEW, 0)).to.not.equal(undefined)
    expect(subject.reserve(1, VIEW, 0)).to.equal(undefined)
    expect(subject.allocate(VIEW, 0)).to.equal(undefined)
  })
})
