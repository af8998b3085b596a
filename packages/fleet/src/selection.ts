import * as crypto from 'node:crypto'

/** Time in ms without a link after which another entry is linked in place of one that is dialed. */
const REPLACE_AFTER_MS = 1000

export interface Candidate {
  address: string
  isLinked: boolean
  /** Monotonic ms since which it is dialed or, after a link, dialed again; undefined if it is not. */
  dialedSince: number | undefined
}

/** Rank of an address for a process; another process ranks the same addresses in another order. */
const rankOf = (self: string, address: string): string =>
  crypto.createHash('sha1').update(`${self} ${address}`).digest('hex')

export interface Selection {
  /**
   * Returns the addresses to keep links to: the first in this process's order of which `most` are linked or have been
   * dialed for a short time only. Each process chooses by itself, and all addresses are chosen about equally often.
   */
  choose (candidates: Candidate[], now: number): Set<string>
}

export const create = (self: string, most: number): Selection => {
  const ranks = new Map<string, string>()
  const rank = (address: string): string => {
    let known = ranks.get(address)
    if (known === undefined) ranks.set(address, known = rankOf(self, address))
    return known
  }
  return {
    choose: (candidates, now) => {
      const inOrder = [...candidates].sort((left, right) => rank(left.address) < rank(right.address) ? -1 : 1)
      const chosen = new Set<string>()
      let hopeful = 0
      for (const { address, isLinked, dialedSince } of inOrder) {
        if (hopeful >= most) break
        chosen.add(address)
        if (isLinked || dialedSince === undefined || now - dialedSince < REPLACE_AFTER_MS) hopeful++
      }
      return chosen
    }
  }
}
