import type * as types from '@mustarddeck/types'
import * as hosts from './hosts.ts'
import type * as placement from './interface.ts'
import type * as queues from './queues.ts'
import type * as quotas from './quotas.ts'

/** Time in ms after a worker connects or disconnects during which the list of workers may be incomplete. */
const FLEET_SETTLE_MS = 2000
/** Limits in ms of the retry delay given with a refusal. */
const RETRY_AFTER_MS = { min: 100, max: 60_000 }
/** Smallest share of the capacity assumed available to a level, whatever load the more urgent levels offer. */
const MIN_CAPACITY_SHARE = 0.05

interface Parts {
  hosts: hosts.Hosts
  queues: queues.Queues
  quotas: quotas.Quotas
  /** Number of slots that this entry can rely on. */
  capacity: () => number
}

export interface Admission {
  /** Reports that a worker connected or disconnected. */
  fleetChanged (now: number): void
  /** Returns the refusal of a job that could not start in time, undefined if it is admitted. */
  check (
    job: placement.WaitingJob, type: queues.Type, targetWaitMs: number, now: number
  ): placement.Admission | undefined
}

const retryAfter = (waitMs: number): number =>
  Math.ceil(Math.min(RETRY_AFTER_MS.max, Math.max(RETRY_AFTER_MS.min, waitMs)))

export const create = ({ hosts: workers, queues: allQueues, quotas: teams, capacity }: Parts): Admission => {
  let fleetCompleteAt = Infinity

  const isNeverRunnable = (type: queues.Type, now: number): boolean => {
    if (now < fleetCompleteAt || workers.count() === 0) return false
    for (const { worker } of workers.all()) if (hosts.fits(worker.resources, type.rules.resources)) return false
    return true
  }
  /** Work in ms of the type served before a new job: of all teams and of its own, and the share of its own team. */
  const workAhead = (type: queues.Type, { team, tasks }: placement.WaitingJob): [number, number, number] => {
    let [ofType, ofTeam, weights, weight] = [0, 0, 0, 1]
    for (const flow of type.active) {
      const workMs = allQueues.tasksAhead(flow, tasks) * type.runTimes.mean()
      ofType += workMs
      weights += flow.weight
      if (flow.team === team) [ofTeam, weight] = [ofTeam + workMs, flow.weight]
    }
    return [ofType, ofTeam, ofTeam === 0 ? 1 : weight / weights]
  }

  /**
   * Expected time in ms until a new job starts. It is the smallest of three bounds: the time to serve all work ahead of
   * it with all remaining capacity, the work of its type with the type's fair share, and the work of its team and type
   * with the team's fair share.
   */
  const expectedWait = (type: queues.Type, job: placement.WaitingJob, now: number): number => {
    const [ofType, ofTeam, teamShare] = workAhead(type, job)
    if (workers.unused() > 0 && ofType === 0) return 0
    let [aheadMs, loadAbove, weights] = [ofType, 0, type.rules.weight]
    for (const other of allQueues.all()) {
      if (other.level > type.level || other === type) continue
      if (other.level < type.level) loadAbove += allQueues.load(other, now)
      else if (other.waiting > 0) weights += other.rules.weight
      aheadMs += other.waiting * other.runTimes.mean()
    }
    const remainingCapacity = Math.max(capacity() * MIN_CAPACITY_SHARE, capacity() - loadAbove)
    const share = remainingCapacity * type.rules.weight / weights
    return Math.min(aheadMs / remainingCapacity, ofType / share, ofTeam / share / teamShare)
  }
  /** Expected wait in ms for the team's waiting tasks of the type to run under its quota. */
  const quotaWait = (type: queues.Type, team: types.TeamName): number => {
    const allowance = teams.allowance(team)
    if (allowance === Infinity) return 0
    let waiting = 0
    for (const flow of type.active) if (flow.team === team) waiting += flow.waiting
    return waiting * type.runTimes.mean() / Math.max(allowance, 0)
  }
  return {
    fleetChanged: (now) => { fleetCompleteAt = now + FLEET_SETTLE_MS },
    check: (job, type, targetWaitMs, now) => {
      const { team, maxWaitMs } = job
      if (isNeverRunnable(type, now)) return { kind: 'refused', reason: 'never-runnable' }
      if (teams.allowance(team) === 0) return { kind: 'refused', reason: 'quota', retryAfterMs: RETRY_AFTER_MS.max }
      // A large job may also wait as long as it would run alone, since jobs of its size are ahead of it.
      const ownMs = job.tasks * type.runTimes.mean() / capacity()
      const maxWait = Math.min(targetWaitMs + ownMs, maxWaitMs ?? Infinity)
      const quotaWaitMs = quotaWait(type, team)
      if (quotaWaitMs > maxWait) {
        return { kind: 'refused', reason: 'quota', retryAfterMs: retryAfter(quotaWaitMs - maxWait) }
      }
      const waitMs = expectedWait(type, job, now)
      if (waitMs <= maxWait) return undefined
      return { kind: 'refused', reason: 'overload', retryAfterMs: retryAfter(waitMs - maxWait) }
    }
  }
}
