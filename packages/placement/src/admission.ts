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

export const create = ({ hosts: workers, queues: all, quotas: teams, capacity }: Parts): Admission => {
  let settledAt = Infinity

  const neverRuns = (type: queues.Type, now: number): boolean => {
    if (now < settledAt) return false
    for (const { worker } of workers.all()) if (hosts.fits(worker.resources, type.rules.resources)) return false
    return true
  }
  const work = (type: queues.Type): number => type.waiting * type.runTimes.mean()

  /**
   * Expected time in ms until a new job of the flow starts. It is the smaller of two bounds: the time to serve all work
   * at its level and above, and the time to serve the waiting work of its own type with the type's fair share.
   */
  const expectedWait = (type: queues.Type, team: types.TeamName, now: number): number => {
    if (workers.unused() > 0 && type.waiting === 0) return 0
    let [ahead, above, weights] = [0, 0, type.rules.weight]
    for (const other of all.all()) {
      if (other.level > type.level) continue
      if (other.level < type.level) above += all.load(other, now)
      else if (other !== type && other.waiting > 0) weights += other.rules.weight
      ahead += work(other)
    }
    const left = Math.max(capacity() * LEAST_SHARE, capacity() - above)
    const own = work(type) / (left * type.rules.weight / weights)
    return Math.min(ahead / left, own, ofTeam(type, team, left))
  }
  /** Time in ms to serve the team's waiting tasks of the type with the team's share of the type's slots. */
  const ofTeam = (type: queues.Type, team: types.TeamName, slots: number): number => {
    let [weights, own, waiting] = [0, 1, 0]
    for (const flow of type.active) {
      weights += flow.weight
      if (flow.team === team) [own, waiting] = [flow.weight, waiting + flow.waiting]
    }
    return waiting === 0 ? 0 : waiting * type.runTimes.mean() * weights / own / slots
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
    check: ({ team, maxWaitMs }, type, targetWaitMs, now) => {
      if (neverRuns(type, now)) return { kind: 'refused', reason: 'never-runnable' }
      if (teams.allowance(team) === 0) return { kind: 'refused', reason: 'quota', retryAfterMs: RETRY.most }
      const target = Math.min(targetWaitMs, maxWaitMs ?? Infinity)
      const underQuota = quotaWait(type, team)
      if (underQuota > target) {
        return { kind: 'refused', reason: 'quota', retryAfterMs: retryAfter(underQuota - target) }
      }
      const wait = expectedWait(type, team, now)
      if (wait <= target) return undefined
      return { kind: 'refused', reason: 'overload', retryAfterMs: retryAfter(wait - target) }
    }
  }
}
