import * as jobs from './jobs.ts'

/** Waiting work and the capacity that an entry has for it. */
export interface Backlog {
  /** The most urgent job first. */
  waiting: Iterable<jobs.JobState>
  /** Work of the job's unassigned tasks, in millicores times ms. */
  workOf (job: jobs.JobState): number
  /** Capacity available to the entry, in millicores. */
  millicores: number
}

/**
 * Returns the jobs to refuse so that the remaining ones, placed in order of urgency, can start in time. The new job is
 * refused rather than a waiting job of equal or higher priority, and preempts waiting jobs of lower priority. Without
 * these refusals an overload would make every job late.
 */
export const selectRefused = (
  added: jobs.JobState, { waiting, workOf, millicores }: Backlog, now: number
): jobs.JobState[] => {
  const preempted: jobs.JobState[] = []
  let work = 0
  for (const job of [...waiting, added].sort(jobs.compareUrgency)) {
    // Refusing other jobs doesn't help a job that is already overdue, and a job that has begun isn't refused.
    if (work > 0 && job.latestStart > now && work / millicores > job.latestStart - now) {
      const { priority } = job.job.queue
      if (priority <= added.job.queue.priority) return [added]
      if (!jobs.hasBegun(job)) {
        preempted.push(job)
        continue
      }
    }
    work += workOf(job)
  }
  return preempted
}
