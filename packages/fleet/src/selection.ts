import * as crypto from 'node:crypto'

/** Time in ms of unsuccessful dialing after which another entry is selected in addition. */
const REPLACE_AFTER_MS = 1000

export interface Candidate {
  address: string
  isLinked: boolean
  /** Monotonic ms at which dialing began or a link was last established or lost; undefined while it isn't dialed. */
  dialedSince: number | undefined
}

/** Rank of an address for a process (rendezvous hashing): each process ranks the addresses in a different order. */
const rankOf = (self: string, address: string): string =>
  crypto.createHash('sha1').update(`${self} ${address}`).digest('hex')

export interface Selection {
  /**
   * Returns the addresses to keep links to: the shortest prefix of this process's ranking in which `count` addresses
   * are linked, not yet dialed or dialed for less than `REPLACE_AFTER_MS`. Processes choose independently, and all
   * addresses are chosen about equally often.
   */
  choose (candidates: Candidate[], now: number): Set<string>
}

export const create = (self: string, count: number): Selection => {
  const ranks = new Map<string, string>()
  const rank = (address: string): string => {
    let cached = ranks.get(address)
    if (cached === undefined) ranks.set(address, cached = rankOf(self, address))
    return cached
  }
  return {
    choose: (candidates, now) => {
      const inOrder = [...candidates].sort((left, right) => rank(left.address) < rank(right.address) ? -1 : 1)
      const chosen = new Set<string>()
      let viableCount = 0
      for (const { address, isLinked, dialedSince } of inOrder) {
        if (viableCount >= count) break
        chosen.add(address)
        if (isLinked || dialedSince === undefined || now - dialedSince < REPLACE_AFTER_MS) viableCount++
      }
      return chosen
    }
  }
}
