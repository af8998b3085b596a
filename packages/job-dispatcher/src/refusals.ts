import type * as clock from '@mustarddeck/clock'
import type * as admission from './admission.ts'
import type * as begunJobs from './begun-jobs.ts'
import type * as interfaces from './interface.ts'
import type * as jobs from './jobs.ts'
import * as retryTimes from './retry-times.ts'

export interface Options {
  timers: clock.Clock
  /** Jobs of which an earlier attempt may have started. */
  begun: begunJobs.BegunJobs
  retries?: retryTimes.RetryTimes
  endJob (job: jobs.JobState, outcome: interfaces.Outcome, inputs?: admission.Inputs): void
  onRefusal (cause: admission.Cause): void
}

/** Ends jobs of which nothing has been ordered. */
export interface Refusals {
  refuse (job: jobs.JobState, reason: interfaces.NotRunReason): void
  /** Refuses the jobs that admission has chosen, with a retry time from the backlog. */
  refuseForOverload (refusals: admission.Refusal[]): void
}

export const create = (options: Options): Refusals => {
  const { timers, begun, retries = retryTimes.create(), endJob, onRefusal } = options

  // "Not run" would be untrue for a job that may have started when it was submitted before.
  const outcomeOf = (job: jobs.JobState, reason: interfaces.NotRunReason, retryAfterMs: number): interfaces.Outcome =>
    begun.has(job.job.key) ? { kind: 'unknown', reason: 'earlier-attempt' } : { kind: 'not-run', reason, retryAfterMs }

  return {
    refuse: (job, reason) => endJob(job, outcomeOf(job, reason, retryTimes.MIN_MS)),
    refuseForOverload: (refusals) => {
      for (const { job, inputs } of refusals) {
        if (job.ended) continue
        onRefusal(inputs.cause)
        const retryAfterMs = retries.next(job, inputs.shareMillicores, inputs.backlogMs, timers.monotonic())
        endJob(job, outcomeOf(job, 'overload', retryAfterMs), inputs)
      }
    }
  }
}
