import type * as jobs from './jobs.ts'

/** Work that waits, and the rate at which an entry gets work done. */
export interface Backlog {
  waiting: Iterable<jobs.JobState>
  /** Work of the job that has not started, in ms of a thousandth of a core. */
  workOf (job: jobs.JobState): number
  /** Thousandths of a core that the entry can count on. */
  millicores: number
}

/**
 * True if the job and all that wait can still start in time, when the one that has to start first goes first. Refusing
 * the job that breaks this keeps an overload from making all others late.
 */
export const isFeasible = (job: jobs.JobState, { waiting, workOf, millicores }: Backlog, now: number): boolean => {
  const inOrder = [...waiting, job].sort((left, right) => left.latestStart - right.latestStart)
  let work = 0
  for (const each of inOrder) {
    // What has begun or is overdue already cannot be helped by refusing another job.
    if (work > 0 && each.latestStart > now && work / millicores > each.latestStart - now) return false
    work += workOf(each)
  }
  return true
}
