import type * as types from '@mustarddeck/types'

/** Merges reads of the membership, which may be stale and arrive in any order. */
export interface MembershipTracker {
  /** Returns false, without a change, if the read is older than an earlier one. */
  update (membership: types.Membership): boolean
  isMember (incarnation: types.Incarnation): boolean
  hasDeparted (incarnation: types.Incarnation): boolean
  /** Number of departures in the newest read; undefined before the first read. */
  departures (): number | undefined
}

export const create = (): MembershipTracker => {
  let departures: number | undefined
  let members = new Set<types.Incarnation>()
  const departed = new Set<types.Incarnation>()

  return {
    update: (membership) => {
      if (departures !== undefined && membership.departures < departures) return false
      const listed = new Set(membership.members.map((member) => member.incarnation))
      // The member rows may be staler than the departures, so a missing member has departed only if the list of
      // departures has it. A list that doesn't reach back to the last read proves nothing: missing then means departed.
      const listsEveryDeparture = membership.departures - (departures ?? 0) <= membership.departed.length
      const missingAgents = listsEveryDeparture ? listed : departed
      for (const member of members) if (!listed.has(member)) missingAgents.add(member)
      for (const { incarnation } of membership.departed) departed.add(incarnation)
      for (const incarnation of departed) listed.delete(incarnation)
      members = listed
      departures = membership.departures
      return true
    },
    isMember: (incarnation) => members.has(incarnation),
    hasDeparted: (incarnation) => departed.has(incarnation),
    departures: () => departures
  }
}
