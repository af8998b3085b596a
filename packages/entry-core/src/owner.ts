import type * as ledgers from '@mustarddeck/ledger'
import type * as types from '@mustarddeck/types'
import type * as contexts from './context.ts'
import type * as jobs from './job.ts'
import type * as ownedJobs from './owned-jobs.ts'
import type * as successions from './succession.ts'
import type * as waiting from './waiters.ts'

/** What a caller wants with a job. */
export type Operation =
  | { kind: 'submit', submission: types.Submission }
  | { kind: 'inquire' }
  | { kind: 'cancel' }

/** Answers for ids of this process: its own incarnations and those that it inherited. */
export interface Owner {
  owns (job: types.JobId): boolean
  /** Replies to the waiter now or adds it to those who wait for the job. */
  handle (operation: Operation, waiter: waiting.Waiter, waitMs: number): void
}

export const create = ({ context, ledger, owned, waiters, succession, isDraining }: {
  context: contexts.Context
  ledger: ledgers.Ledger<jobs.Job>
  owned: ownedJobs.OwnedJobs
  waiters: waiting.Waiters
  succession: successions.Succession
  isDraining: () => boolean
}): Owner => {
  const notRun = (job: types.JobId, reason: types.RefusalReason, final = true): types.Outcome =>
    ({ kind: 'not-run', job, reason, final })

  const refuse = (job: types.JobId, reason: types.RefusalReason): types.Outcome => {
    ledger.refuse(job, reason)
    context.log('refuse', { job, reason })
    return notRun(job, reason)
  }
  const joinJob = (operation: Operation, waiter: waiting.Waiter, job: jobs.Job, waitMs: number): void => {
    if (waiter.digest !== undefined && waiter.digest !== job.digest) {
      return waiter.reply({ kind: 'conflict', job: job.id })
    }
    if (job.outcome) return waiter.reply(job.outcome)
    if (waitMs <= 0 && operation.kind !== 'cancel') return waiter.reply({ kind: 'pending', job: job.id })
    waiters.add(waiter, context.now() + waitMs)
    if (operation.kind === 'cancel') owned.cancel(job)
  }
  const submitOpen = (submission: types.Submission, waiter: waiting.Waiter, waitMs: number): void => {
    const id = waiter.job
    if (isDraining()) return waiter.reply(refuse(id, 'draining'))
    const incarnation = id.slice(0, id.indexOf('.'))
    if (incarnation !== ledger.incarnation()) return waiter.reply(refuse(id, 'owner-fenced'))
    const refusal = owned.admit(id, submission)
    if (refusal) return waiter.reply(refusal)
    if (waitMs <= 0) return waiter.reply({ kind: 'pending', job: id })
    waiters.add(waiter, context.now() + waitMs)
  }
  const handleOpen = (operation: Operation, waiter: waiting.Waiter, waitMs: number): void => {
    switch (operation.kind) {
      case 'submit': return submitOpen(operation.submission, waiter, waitMs)
      case 'inquire': return waiter.reply(notRun(waiter.job, 'not-submitted', false))
      // A submission that arrives after its cancellation must not run.
      case 'cancel': return waiter.reply(refuse(waiter.job, 'cancelled'))
    }
  }
  return {
    owns: (job) => ledger.lookup(job, context.now()).kind !== 'foreign' || succession.inherits(job),
    handle: (operation, waiter, waitMs) => {
      const id = waiter.job
      const found = ledger.lookup(id, context.now())
      switch (found.kind) {
        case 'job': return joinJob(operation, waiter, found.job, waitMs)
        case 'open': return handleOpen(operation, waiter, waitMs)
        case 'refused': return waiter.reply(notRun(id, found.reason))
        case 'closed': return waiter.reply(notRun(id, 'block-closed'))
        case 'retired': return waiter.reply({ kind: 'expired', job: id })
        // The number may be given out later, so that nothing final can be said of it.
        case 'unissued': return waiter.reply({ kind: 'conflict', job: id })
        case 'foreign': return waiter.reply(succession.outcome(id, waiter.digest))
      }
    }
  }
}
