import type * as types from '@mustarddeck/types'
import type * as placement from './interface.ts'

/** Number of buckets of the sliding window over which the minimum share is tracked. */
const WINDOW_BUCKETS = 16

/**
 * Divides team quotas among entries without messages. One task is assigned to each entry, up to the quota; the rest is
 * divided in proportion to held slots. A slot can move to another entry while a task that it allowed still runs, so an
 * entry uses the smallest share that it held during the longest time limit of a task.
 */
export interface Quotas {
  configure (rules: types.Rules): void
  /** Records the share of the fleet's slots that this entry holds. */
  observe (share: number, now: number): void
  mayStart (team: types.TeamName): boolean
  /** Number of tasks that this entry may run at a time for the team; Infinity without a quota. */
  allowance (team: types.TeamName): number
  started (team: types.TeamName): void
  ended (team: types.TeamName): void
}

export const create = ({ index, count }: placement.Position): Quotas => {
  const limits = new Map<types.TeamName, number>()
  const running = new Map<types.TeamName, number>()
  let windowMs = 1000
  /** Smallest share in each bucket of the window, newest last. */
  let bucketMinima: { from: number, share: number }[] = []
  let smallestShare = 0

  const observe = (share: number, now: number): void => {
    const newest = bucketMinima.at(-1)
    if (!newest || now - newest.from >= windowMs / WINDOW_BUCKETS) bucketMinima.push({ from: now, share })
    else newest.share = Math.min(newest.share, share)
    // A bucket counts until all of it is older than the window.
    bucketMinima = bucketMinima.filter(({ from }) => from > now - windowMs * (1 + 1 / WINDOW_BUCKETS))
    smallestShare = Math.min(...bucketMinima.map((part) => part.share))
  }
  const allowance = (team: types.TeamName): number => {
    const limit = limits.get(team)
    if (limit === undefined) return Infinity
    const spare = Math.max(0, limit - count)
    return (index < limit ? 1 : 0) + Math.floor(spare * smallestShare + 1e-9)
  }
  return {
    configure: ({ teams, taskTypes }) => {
      limits.clear()
      for (const { name, maxRunning } of teams) if (maxRunning !== undefined) limits.set(name, maxRunning)
      windowMs = Math.max(1000, ...taskTypes.map((type) => type.timeLimitMs))
    },
    observe,
    mayStart: (team) => !limits.has(team) || (running.get(team) ?? 0) < allowance(team),
    allowance,
    started: (team) => { running.set(team, (running.get(team) ?? 0) + 1) },
    ended: (team) => {
      const remaining = (running.get(team) ?? 0) - 1
      if (remaining > 0) running.set(team, remaining)
      else running.delete(team)
    }
  }
}
