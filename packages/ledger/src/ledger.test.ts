import { expect } from 'chai'
import type * as types from '@mustarddeck/types'
import * as ledger from './index.ts'

const VIEW: types.View = { kind: 'registered', departures: 0 }
const create = (maxBytes = 1e6) => ledger.create<ledger.Entry>({
  settings: { maxBytes, blockLifetimeMs: 100, blockRetentionMs: 50 },
  incarnation: 'aaaaaaaa' as types.Incarnation
})
const idOf = (issue: ledger.Issue | undefined, sequence: number) => `${issue?.prefix}.${sequence}` as types.JobId

describe('ledger', () => {
  // A refused id that is accepted later would run a job whose caller was told that it did not run.
  it('remembers a refused id until its block retires', () => {
    const book = create()
    const id = idOf(book.reserve(10, VIEW, 0), 3)
    expect(book.lookup(id, 0).kind).to.equal('open')
    book.refuse(id, 'overload')
    expect(book.lookup(id, 0)).to.deep.equal({ kind: 'refused', reason: 'overload' })
    expect(book.lookup(id, 120)).to.deep.equal({ kind: 'refused', reason: 'overload' })
  })

  it('closes and retires blocks by its own clock, and never a block with an open job', () => {
    const book = create()
    const issue = book.reserve(10, VIEW, 0)
    const job: ledger.Entry = { id: idOf(issue, 0), bytes: 100 }
    book.add(job)
    expect(book.lookup(idOf(issue, 1), 100).kind).to.equal('closed')
    expect(book.overdue(149)).to.deep.equal([])
    expect(book.overdue(150)).to.deep.equal([job])
    expect(book.retire(1000)).to.deep.equal([])
    job.outcome = { kind: 'expired', job: job.id }
    expect(book.retire(149)).to.deep.equal([])
    expect(book.retire(150)).to.deep.equal([{ incarnation: 'aaaaaaaa', block: 1 }])
    expect(book.lookup(idOf(issue, 0), 150).kind).to.equal('retired')
    expect(book.bytes()).to.equal(0)
  })

  // Ids with another view or beyond the block were never given out, so accepting them could run a job twice.
  it('does not accept ids that it never issued', () => {
    const book = create()
    const issue = book.reserve(10, VIEW, 0)
    expect(book.lookup(idOf(issue, 10), 0).kind).to.equal('unissued')
    expect(book.lookup('aaaaaaaa.u.1.0' as types.JobId, 0).kind).to.equal('unissued')
    expect(book.lookup('aaaaaaaa.r0.2.0' as types.JobId, 0).kind).to.equal('unissued')
    expect(book.lookup('bbbbbbbb.r0.1.0' as types.JobId, 0).kind).to.equal('foreign')
  })

  it('issues no ids at the byte limit', () => {
    const book = create(5000)
    expect(book.reserve(4096, VIEW, 0)).to.not.equal(undefined)
    expect(book.reserve(4096, VIEW, 0)).to.not.equal(undefined)
    expect(book.reserve(1, VIEW, 0)).to.equal(undefined)
    expect(book.allocate(VIEW, 0)).to.equal(undefined)
  })
})
