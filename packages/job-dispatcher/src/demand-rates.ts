import * as placement from '@mustarddeck/placement'
import type * as jobs from './jobs.ts'

/** Time constant in ms of the measured demand; bursts last 3 s at least. */
const TIME_CONSTANT_MS = 2000

/** Work that arrives at this entry, by the rank of its jobs. Other entries are assumed to have the same demand. */
export interface DemandRates {
  add (job: jobs.JobState, now: number): void
  /** Demand for work of the rank or more urgent work as a share of the given millicores; at most 1. */
  upTo (rank: number, millicores: number, now: number): number
}

export const create = (): DemandRates => {
  const byRank = new Map<number, placement.decayingSum.DecayingSum>()
  return {
    add: ({ rank, work }, now) => {
      let sum = byRank.get(rank)
      if (!sum) byRank.set(rank, sum = placement.decayingSum.create(TIME_CONSTANT_MS))
      sum.add(work, now)
    },
    upTo: (rank, millicores, now) => {
      let work = 0
      for (const [other, sum] of byRank) if (other <= rank) work += sum.value(now)
      return millicores > 0 ? Math.min(1, work / TIME_CONSTANT_MS / millicores) : 1
    }
  }
}
