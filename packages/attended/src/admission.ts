import * as jobs from './jobs.ts'

/** Work that waits, and the rate at which an entry gets work done. */
export interface Backlog {
  waiting: Iterable<jobs.JobState>
  /** Work of the job that has not started, in ms of a thousandth of a core. */
  workOf (job: jobs.JobState): number
  /** Thousandths of a core that the entry can count on. */
  millicores: number
}

/**
 * Returns the jobs that are to be refused so that a new job and all others that wait can start in time, in the order in
 * which they are placed. The new job gives way to those that are as urgent, and less urgent ones give way to it.
 * Refusing them keeps an overload from making all late.
 */
export const refusals = (
  added: jobs.JobState, { waiting, workOf, millicores }: Backlog, now: number
): jobs.JobState[] => {
  const givesWay: jobs.JobState[] = []
  let work = 0
  for (const job of [...waiting, added].sort(jobs.compareUrgency)) {
    // What has begun or is overdue already cannot be helped by refusing another job.
    if (work > 0 && job.latestStart > now && work / millicores > job.latestStart - now) {
      const { priority } = job.job.queue
      if (priority <= added.job.queue.priority) return [added]
      if (!jobs.hasBegun(job)) {
        givesWay.push(job)
        continue
      }
    }
    work += workOf(job)
  }
  return givesWay
}
