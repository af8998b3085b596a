import type * as clock from '@mustarddeck/clock'
import type * as interfaces from './interface.ts'
import * as ranking from './ranking.ts'

/**
 * Time in ms after a change of the linked entries during which a registrar may not know of jobs that others hold: they
 * link to it later than this entry.
 */
const SETTLE_MS = 1000
/** Time in ms within which an entry whose link was reset has another one. */
const RELINK_MS = 300

export interface Options {
  timers: clock.Clock
  address: string
  lapseAfterMs: number
}

/** Entry whose link is up. */
export interface Member {
  incarnation: interfaces.Incarnation
  address: string
  /** Of two links to the same entry either serves. */
  links: number[]
  since: number
}

/** The entries that this one is linked to, and from them the registrar of each job. */
export interface Members {
  up (link: number, incarnation: interfaces.Incarnation, address: string): Member
  /** Returns the entry if this was its only link. */
  down (link: number): Member | undefined
  get (link: number): Member | undefined
  linkTo (incarnation: interfaces.Incarnation): number | undefined
  /** One link to each entry. */
  links (): number[]
  /** Returns the link to the job's registrar, or undefined if this entry is the registrar. */
  registrar (key: string): number | undefined
  /** Returns the link to the entry that is the registrar when this one is lost. */
  deputy (key: string): number | undefined
  /** False while a holder of the job may not have told its registrar, as that has lately become so. */
  isSettled (key: string): boolean
  /** True if the entry has been lost lately, so that tasks which it ordered may still be on a worker. */
  mayStillRun (incarnation: interfaces.Incarnation): boolean
  /**
   * True while other entries may be about to link: this process has started or lost its last link, or it stood still
   * lately and has no link to an entry that had one.
   */
  isWaitingForLinks (): boolean
  /** Called after the process stood still. Returns true if there are entries that may have taken over its jobs. */
  suspended (): boolean
}

export const create = ({ timers, address: ownAddress, lapseAfterMs }: Options): Members => {
  const members = new Map<interfaces.Incarnation, Member>()
  const byLink = new Map<number, Member>()
  /** Entries that were lost, with the monotonic ms of the loss. */
  const lost = new Map<interfaces.Incarnation, { address: string, at: number }>()
  let resumedAt = timers.monotonic()
  let unlinkedSince = timers.monotonic()
  let linkedAt = -Infinity
  /** Entries whose links were closed when the process resumed. */
  const awaited = new Set<interfaces.Incarnation>()

  const forgetLongLost = (): void => {
    const keepMs = Math.max(SETTLE_MS, lapseAfterMs)
    for (const [incarnation, { at }] of lost) if (timers.monotonic() - at > keepMs) lost.delete(incarnation)
  }
  /** Returns the entry with the highest rank for the key, if it is above the given one. */
  const highestAbove = (key: string, lowest: number): { member: Member | undefined, rank: number } => {
    let member: Member | undefined
    let rank = lowest
    for (const candidate of members.values()) {
      const candidateRank = ranking.rankOf(key, candidate.address)
      if (candidateRank > rank) [member, rank] = [candidate, candidateRank]
    }
    return { member, rank }
  }
  const registrarOf = (key: string) => highestAbove(key, ranking.rankOf(key, ownAddress))
  return {
    up: (link, incarnation, address) => {
      lost.delete(incarnation)
      awaited.delete(incarnation)
      linkedAt = timers.monotonic()
      let member = members.get(incarnation)
      if (member) member.links.push(link)
      else members.set(incarnation, member = { incarnation, address, links: [link], since: linkedAt })
      byLink.set(link, member)
      return member
    },
    down: (link) => {
      const member = byLink.get(link)
      if (!member) return undefined
      byLink.delete(link)
      member.links.splice(member.links.indexOf(link), 1)
      if (member.links.length > 0) return undefined
      members.delete(member.incarnation)
      if (members.size === 0) unlinkedSince = timers.monotonic()
      forgetLongLost()
      lost.set(member.incarnation, { address: member.address, at: timers.monotonic() })
      return member
    },
    get: (link) => byLink.get(link),
    linkTo: (incarnation) => members.get(incarnation)?.links[0],
    links: () => [...members.values()].map(({ links }) => links[0]!),
    registrar: (key) => registrarOf(key).member?.links[0],
    deputy: (key) => highestAbove(key, -1).member?.links[0],
    isSettled: (key) => {
      const now = timers.monotonic()
      const { member, rank } = registrarOf(key)
      if (now - (member?.since ?? Math.max(resumedAt, linkedAt)) < SETTLE_MS) return false
      for (const { address, at } of lost.values()) {
        if (now - at < SETTLE_MS && ranking.rankOf(key, address) > rank) return false
      }
      return true
    },
    mayStillRun: (incarnation) => {
      const lostAt = lost.get(incarnation)?.at
      return lostAt !== undefined && timers.monotonic() - lostAt < lapseAfterMs
    },
    isWaitingForLinks: () => {
      const now = timers.monotonic()
      return (awaited.size > 0 && now - resumedAt < SETTLE_MS) ||
        (members.size === 0 && now - unlinkedSince < RELINK_MS)
    },
    suspended: () => {
      const now = timers.monotonic()
      // Entries that have not come back since the last time are gone.
      if (now - resumedAt >= SETTLE_MS) awaited.clear()
      for (const incarnation of members.keys()) awaited.add(incarnation)
      resumedAt = now
      unlinkedSince = now
      return awaited.size > 0
    }
  }
}
