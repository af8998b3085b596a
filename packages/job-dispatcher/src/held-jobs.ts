import type * as runs from '@mustarddeck/runs'
import type * as jobs from './jobs.ts'

/** Jobs that are open, or that have ended while tasks of them may still be on a worker. */
export interface HeldJobs {
  add (job: jobs.JobState): void
  /** Removes the job if it has ended and none of its tasks can be on a worker any more. */
  revise (job: jobs.JobState): void
  has (key: runs.JobKey): boolean
  keys (): runs.JobKey[]
}

export const create = (): HeldJobs => {
  /** A job that was submitted again may be open while tasks of its former attempt are being stopped. */
  const byKey = new Map<runs.JobKey, Set<jobs.JobState>>()

  return {
    add: (job) => {
      const { key } = job.job
      const attempts = byKey.get(key)
      if (attempts) attempts.add(job)
      else byKey.set(key, new Set([job]))
    },
    revise: (job) => {
      if (!job.ended || job.outstanding > 0) return
      const { key } = job.job
      const attempts = byKey.get(key)
      attempts?.delete(job)
      if (attempts?.size === 0) byKey.delete(key)
    },
    has: (key) => byKey.has(key),
    keys: () => [...byKey.keys()]
  }
}
