import type * as jobDispatcher from '@mustarddeck/job-dispatcher'
import type * as runs from '@mustarddeck/runs'

/** Maximum number of outcomes that are kept, and of cancelled jobs; the oldest are evicted first. */
const MAX_JOBS = 8192
/** Maximum number of cancelled jobs that other entries are told of when a link to them comes up. */
const MAX_ANNOUNCED = 1000

/** Outcomes that stay, for requests that arrive again after the job has ended or was cancelled. */
export interface EndedJobs {
  /** Records the outcome if the job must not run again. */
  add (key: runs.JobKey, outcome: jobDispatcher.Outcome): void
  /** Records that the job was cancelled, also if it runs elsewhere or has not arrived anywhere yet. */
  addCancelled (key: runs.JobKey): void
  get (key: runs.JobKey): jobDispatcher.Outcome | undefined
  /** Keys of the jobs that were cancelled last. */
  cancelled (): runs.JobKey[]
}

const createBounded = <Value>() => {
  const values = new Map<runs.JobKey, Value>()
  return {
    values,
    add: (key: runs.JobKey, value: Value): void => {
      values.set(key, value)
      const [oldest] = values.keys()
      if (values.size > MAX_JOBS && oldest !== undefined) values.delete(oldest)
    }
  }
}

export const create = (): EndedJobs => {
  const outcomes = createBounded<jobDispatcher.Outcome>()
  // Kept apart, so that cancellations of jobs that don't exist evict no outcomes.
  const cancelled = createBounded<true>()

  return {
    add: (key, outcome) => {
      if (outcome.kind === 'cancelled') cancelled.add(key, true)
      else if (outcome.kind !== 'not-run' && outcome.kind !== 'unknown') outcomes.add(key, outcome)
    },
    addCancelled: (key) => cancelled.add(key, true),
    get: (key) => outcomes.values.get(key) ?? (cancelled.values.has(key) ? { kind: 'cancelled' } : undefined),
    cancelled: () => [...cancelled.values.keys()].slice(-MAX_ANNOUNCED)
  }
}
