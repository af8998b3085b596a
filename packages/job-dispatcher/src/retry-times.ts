import type * as interfaces from './interface.ts'
import type * as jobs from './jobs.ts'

/** Shortest and longest time in ms after which a refused caller should retry. */
export const MIN_MS = 1000
const MAX_MS = 30_000
/**
 * Share of the entry's capacity that is promised to retries: on the heaviest days new jobs take 0.86 of the capacity
 * outside bursts.
 */
const RETRY_SHARE = 0.1

/**
 * Computes the times after which refused callers should retry. Load pattern: a burst lasts 3 to 7 s; if all callers
 * that it makes refuse come back after the same time, they make a second one. Each caller gets an appointment after
 * those of the callers refused before it, so that the work that comes back never exceeds a share of the capacity.
 */
export interface RetryTimes {
  /** Time in ms for a job that is refused for overload, given the entry's share in millicores and its backlog. */
  next (job: jobs.JobState, shareMillicores: number, backlogMs: number, now: number): number
}

export const create = (): RetryTimes => {
  /** Monotonic ms up to which the share for retries is promised, by service. */
  const promisedUntil = new Map<interfaces.Queue['service'], number>()
  return {
    next: ({ work, job }, shareMillicores, backlogMs, now) => {
      const { service } = job.queue
      const from = Math.max(promisedUntil.get(service) ?? 0, now + MIN_MS + backlogMs)
      const until = from + (shareMillicores > 0 ? work / (shareMillicores * RETRY_SHARE) : 0)
      promisedUntil.set(service, Math.min(until, now + MAX_MS))
      return Math.min(MAX_MS, from - now)
    }
  }
}
