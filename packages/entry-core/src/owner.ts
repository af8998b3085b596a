import type * as ledgers from '@mustarddeck/ledger'
import type * as types from '@mustarddeck/types'
import type * as contexts from './context.ts'
import type * as jobs from './job.ts'
import type * as ownedJobs from './owned-jobs.ts'
import type * as handovers from './handovers.ts'
import type * as waiterRegistries from './waiters.ts'

/** A caller's operation on a job. */
export type Operation =
  | { kind: 'submit', submission: types.Submission }
  | { kind: 'inquire' }
  | { kind: 'cancel' }

/** Handles operations on jobs of this process's incarnations and of those inherited by a handover. */
export interface Owner {
  owns (job: types.JobId): boolean
  /** Replies to the waiter at once or registers it for at most `waitMs`. */
  handle (operation: Operation, waiter: waiterRegistries.Waiter, waitMs: number): void
}

export const create = ({ context, ledger, owned, waiters, handover, isDraining }: {
  context: contexts.Context
  ledger: ledgers.Ledger<jobs.Job>
  owned: ownedJobs.OwnedJobs
  waiters: waiterRegistries.WaiterRegistry
  handover: handovers.Handovers
  isDraining: () => boolean
}): Owner => {
  const notRun = (job: types.JobId, reason: types.RefusalReason, final = true): types.Outcome =>
    ({ kind: 'not-run', job, reason, final })

  const refuse = (job: types.JobId, reason: types.RefusalReason): types.Outcome => {
    ledger.refuse(job, reason)
    context.log('refuse', { job, reason })
    return notRun(job, reason)
  }
  const joinJob = (operation: Operation, waiter: waiterRegistries.Waiter, job: jobs.Job, waitMs: number): void => {
    if (waiter.digest !== undefined && waiter.digest !== job.digest) {
      return waiter.reply({ kind: 'conflict', job: job.id })
    }
    if (job.outcome) return waiter.reply(job.outcome)
    if (waitMs <= 0 && operation.kind !== 'cancel') return waiter.reply({ kind: 'pending', job: job.id })
    waiters.add(waiter, context.now() + waitMs)
    if (operation.kind === 'cancel') owned.cancel(job)
  }
  const submitNew = (submission: types.Submission, waiter: waiterRegistries.Waiter, waitMs: number): void => {
    const id = waiter.job
    if (isDraining()) return waiter.reply(refuse(id, 'draining'))
    const incarnation = id.slice(0, id.indexOf('.'))
    if (incarnation !== ledger.incarnation()) return waiter.reply(refuse(id, 'owner-fenced'))
    const refusal = owned.admit(id, submission)
    if (refusal) return waiter.reply(refusal)
    if (waitMs <= 0) return waiter.reply({ kind: 'pending', job: id })
    waiters.add(waiter, context.now() + waitMs)
  }
  const handleOpenId = (operation: Operation, waiter: waiterRegistries.Waiter, waitMs: number): void => {
    switch (operation.kind) {
      case 'submit': return submitNew(operation.submission, waiter, waitMs)
      case 'inquire': return waiter.reply(notRun(waiter.job, 'not-submitted', false))
      // Refuses the id for good: a submission that arrives after its cancellation must not run.
      case 'cancel': return waiter.reply(refuse(waiter.job, 'cancelled'))
    }
  }
  return {
    owns: (job) => ledger.lookup(job, context.now()).kind !== 'unowned' || handover.hasInherited(job),
    handle: (operation, waiter, waitMs) => {
      const id = waiter.job
      const found = ledger.lookup(id, context.now())
      switch (found.kind) {
        case 'job': return joinJob(operation, waiter, found.job, waitMs)
        case 'open': return handleOpenId(operation, waiter, waitMs)
        case 'refused': return waiter.reply(notRun(id, found.reason))
        case 'closed': return waiter.reply(notRun(id, 'block-closed'))
        case 'retired': return waiter.reply({ kind: 'expired', job: id })
        // The id may be issued later, so the reply must not be final.
        case 'unissued': return waiter.reply({ kind: 'conflict', job: id })
        case 'unowned': return waiter.reply(handover.outcome(id, waiter.digest))
      }
    }
  }
}
