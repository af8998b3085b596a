import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'

/**
 * Jobs with tasks to place, the most urgent first. Load pattern: in a flood hundreds of jobs wait, and every end of a
 * task looks for the most urgent of them. The order of two jobs never changes, so each job is inserted once by binary
 * search, and no event sorts.
 */
export interface WaitingJobs extends Iterable<jobs.JobState> {
  readonly size: number
  /** Adds the job unless it is already waiting. */
  add (job: jobs.JobState): void
  delete (job: jobs.JobState): void
  /** Returns the most urgent accepted job whose tasks run on the service's workers. */
  mostUrgent (service: interfaces.Queue['service'], accepts?: (job: jobs.JobState) => boolean): jobs.JobState | undefined
}

export const create = (): WaitingJobs => {
  const members = new Set<jobs.JobState>()
  const inOrder: jobs.JobState[] = []

  /** Index of the first job that is not more urgent than this one. */
  const lowerBound = (job: jobs.JobState): number => {
    let low = 0
    let high = inOrder.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (jobs.compareUrgency(inOrder[middle]!, job) < 0) low = middle + 1
      else high = middle
    }
    return low
  }
  /** Index of the first job that is less urgent than this one. */
  const upperBound = (job: jobs.JobState): number => {
    let index = lowerBound(job)
    while (index < inOrder.length && jobs.compareUrgency(inOrder[index]!, job) === 0) index++
    return index
  }
  return {
    get size () { return members.size },
    [Symbol.iterator]: () => inOrder.values(),
    add: (job) => {
      if (members.has(job)) return
      members.add(job)
      inOrder.splice(upperBound(job), 0, job)
    },
    delete: (job) => {
      if (members.delete(job)) inOrder.splice(inOrder.indexOf(job, lowerBound(job)), 1)
    },
    mostUrgent: (service, accepts = () => true) =>
      inOrder.find((state) => state.job.queue.service === service && accepts(state))
  }
}
