import type * as runs from '@mustarddeck/runs'

/** Maximum number of keys that are kept; the oldest are evicted first. */
const MAX_KEYS = 8192

/**
 * Keys of ended jobs of which a task may have started. A caller whose connection broke submits its job again under the
 * same key, and must not be told that the job has not run.
 */
export interface BegunJobs {
  add (key: runs.JobKey): void
  has (key: runs.JobKey): boolean
}

export const create = (): BegunJobs => {
  const keys = new Set<runs.JobKey>()
  return {
    add: (key) => {
      keys.add(key)
      const [oldest] = keys
      if (keys.size > MAX_KEYS && oldest !== undefined) keys.delete(oldest)
    },
    has: (key) => keys.has(key)
  }
}
