import type * as log from '@mustarddeck/log'
import type * as admission from './admission.ts'
import type * as interfaces from './interface.ts'
import type * as jobs from './jobs.ts'

const RESULTS: ReadonlyArray<interfaces.Outcome['kind']> = ['completed', 'cancelled']

/** Logs the end of a job; without a result as a warning, since the log drops lines of lower levels first. */
export const write = (
  log: log.Log, { job, tasks }: jobs.JobState, outcome: interfaces.Outcome, tookMs: number, inputs?: admission.Inputs
): void => {
  const writeLog = RESULTS.includes(outcome.kind) ? log.info : log.warn
  writeLog('job-end', {
    job: job.key,
    queue: job.queue.name,
    outcome: outcome.kind,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    tookMs: Math.round(tookMs),
    tasks: tasks.length,
    ...inputs,
    retryAfterMs: 'retryAfterMs' in outcome ? Math.round(outcome.retryAfterMs) : undefined
  })
}
