import type * as types from '@mustarddeck/types'

/** Number of outcomes after which the weight of an older one has fallen to about a third. */
const TALLY_MEMORY = 300

interface Tally {
  ended: number
  hits: number
}

/** Outcomes of one worker by task type. */
export type Tallies = Map<types.TaskTypeName, Tally>

/** Shares of outcomes with some property, such as failure, by task type on all workers. */
export interface Shares {
  add (own: Tallies, type: types.TaskTypeName, hit: boolean): void
  /** Estimated share on all workers but the one with the tallies `own`. */
  ofPeers (own: Tallies, type: types.TaskTypeName): number
}

const addTo = (tallies: Tallies, type: types.TaskTypeName, hit: boolean): void => {
  const tally = tallies.get(type) ?? { ended: 0, hits: 0 }
  tally.ended += 1 - tally.ended / TALLY_MEMORY
  tally.hits += (hit ? 1 : 0) - tally.hits / TALLY_MEMORY
  tallies.set(type, tally)
}

/** `prior`: hits and outcomes of a type on the other workers, added to those counted. */
export const create = (prior: Readonly<Tally>): Shares => {
  const totals: Tallies = new Map()
  return {
    add: (own, type, hit) => {
      addTo(totals, type, hit)
      addTo(own, type, hit)
    },
    ofPeers: (own, type) => {
      const [total, part] = [totals.get(type), own.get(type)]
      const ended = Math.max(0, (total?.ended ?? 0) - (part?.ended ?? 0))
      const hits = Math.min(ended, Math.max(0, (total?.hits ?? 0) - (part?.hits ?? 0)))
      return (hits + prior.hits) / (ended + prior.ended)
    }
  }
}
