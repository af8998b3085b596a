import type * as types from '@mustarddeck/types'
import type * as placement from './interface.ts'

/** Number of parts of the window over which the smallest share is taken. */
const BUCKETS = 16

/**
 * Divides team quotas among entries without messages. Every entry may run one task of a team, as long as there are no
 * more entries than the quota; the rest is divided in proportion to slots held. A slot can move while tasks run that
 * were started on the strength of it, so an entry counts only the share that it has held for the longest run time.
 */
export interface Quotas {
  configure (rules: types.Rules): void
  /** `share`: slots held over slots of the fleet. */
  observe (share: number, now: number): void
  mayStart (team: types.TeamName): boolean
  /** Largest number of tasks that this entry may run for the team; Infinity without a quota. */
  allowance (team: types.TeamName): number
  started (team: types.TeamName): void
  ended (team: types.TeamName): void
}

export const create = ({ index, count }: placement.Position): Quotas => {
  const limits = new Map<types.TeamName, number>()
  const running = new Map<types.TeamName, number>()
  let windowMs = 1000
  /** Smallest share in each part of the window, newest last. */
  let minima: { from: number, share: number }[] = []
  let smallest = 0

  const observe = (share: number, now: number): void => {
    const newest = minima.at(-1)
    if (!newest || now - newest.from >= windowMs / BUCKETS) minima.push({ from: now, share })
    else newest.share = Math.min(newest.share, share)
    // A part counts until the whole of it is older than the window.
    minima = minima.filter(({ from }) => from > now - windowMs * (1 + 1 / BUCKETS))
    smallest = Math.min(...minima.map((part) => part.share))
  }
  const allowance = (team: types.TeamName): number => {
    const limit = limits.get(team)
    if (limit === undefined) return Infinity
    const spare = Math.max(0, limit - count)
    return (index < limit ? 1 : 0) + Math.floor(spare * smallest + 1e-9)
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
      const left = (running.get(team) ?? 0) - 1
      if (left > 0) running.set(team, left)
      else running.delete(team)
    }
  }
}
