import type * as types from '@mustarddeck/types'
import * as hosts from './hosts.ts'
import type * as placement from './interface.ts'
import type * as queues from './queues.ts'
import type * as quotas from './quotas.ts'

/** Time in ms after the first worker appears, or one disappears, in which the view of the fleet may be incomplete. */
const SETTLE_MS = 2000
/** Bounds in ms of the retry-after of a refusal. */
const RETRY = { least: 100, most: 60_000 }
/** Part of the capacity assumed to be left for a level whatever the levels above it offer. */
const LEAST_SHARE = 0.05

interface Parts {
  hosts: hosts.Hosts
  queues: queues.Queues
  quotas: quotas.Quotas
  /** Number of slots that this entry can count on. */
  capacity: () => number
}

export interface Admission {
  /** The set of linked workers changed. */
  fleetChanged (now: number): void
  /** Refuses a job that could not start in time; undefined admits it. */
  check (
    job: placement.WaitingJob, type: queues.Type, targetWaitMs: number, now: number
  ): placement.Admission | undefined
}

const retryAfter = (waitMs: number): number => Math.ceil(Math.min(RETRY.most, Math.max(RETRY.least, waitMs)))

export const create = ({ hosts: workers, queues: queued, quotas: teams, capacity }: Parts): Admission => {
  let settledAt = Infinity

  const neverRuns = (type: queues.Type, now: number): boolean => {
    if (now < settledAt || workers.count() === 0) return false
    for (const { worker } of workers.all()) if (hosts.fits(worker.resources, type.rules.resources)) return false
    return true
  }
  /** Waiting work in ms that goes before a new job of the type: of all its teams, and of one team. */
  const workBefore = (type: queues.Type, { team, tasks }: placement.WaitingJob): [number, number, number] => {
    let [all, own, weights, weight] = [0, 0, 0, 1]
    for (const flow of type.active) {
      const before = queued.before(flow, tasks) * type.runTimes.mean()
      all += before
      weights += flow.weight
      if (flow.team === team) [own, weight] = [own + before, flow.weight]
    }
    return [all, own, own === 0 ? 1 : weight / weights]
  }

  /**
   * Expected time in ms until a new job starts. It is the smaller of two bounds: the time to serve all work that goes
   * before it, and the time to serve the work of its own team and type with their fair share.
   */
  const expectedWait = (type: queues.Type, job: placement.WaitingJob, now: number): number => {
    const [ofType, ofTeam, teamShare] = workBefore(type, job)
    if (workers.unused() > 0 && ofType === 0) return 0
    let [ahead, above, weights] = [ofType, 0, type.rules.weight]
    for (const other of queued.all()) {
      if (other.level > type.level || other === type) continue
      if (other.level < type.level) above += queued.load(other, now)
      else if (other.waiting > 0) weights += other.rules.weight
      ahead += other.waiting * other.runTimes.mean()
    }
    const left = Math.max(capacity() * LEAST_SHARE, capacity() - above)
    const share = left * type.rules.weight / weights
    return Math.min(ahead / left, ofType / share, ofTeam / share / teamShare)
  }
  const quotaWait = (type: queues.Type, team: types.TeamName): number => {
    const allowance = teams.allowance(team)
    if (allowance === Infinity) return 0
    let waiting = 0
    for (const flow of type.active) if (flow.team === team) waiting += flow.waiting
    return waiting * type.runTimes.mean() / Math.max(allowance, 0)
  }
  return {
    fleetChanged: (now) => { settledAt = now + SETTLE_MS },
    check: (job, type, targetWaitMs, now) => {
      const { team, maxWaitMs } = job
      if (neverRuns(type, now)) return { kind: 'refused', reason: 'never-runnable' }
      if (teams.allowance(team) === 0) return { kind: 'refused', reason: 'quota', retryAfterMs: RETRY.most }
      // A job of many tasks that is as large as those before it may wait as long as it would run by itself.
      const ownMs = job.tasks * type.runTimes.mean() / capacity()
      const target = Math.min(targetWaitMs + ownMs, maxWaitMs ?? Infinity)
      const underQuota = quotaWait(type, team)
      if (underQuota > target) {
        return { kind: 'refused', reason: 'quota', retryAfterMs: retryAfter(underQuota - target) }
      }
      const wait = expectedWait(type, job, now)
      if (wait <= target) return undefined
      return { kind: 'refused', reason: 'overload', retryAfterMs: retryAfter(wait - target) }
    }
  }
}
