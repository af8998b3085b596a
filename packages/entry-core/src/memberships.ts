import type * as types from '@mustarddeck/types'

/** The newest known membership. Reads may be stale and arrive in any order. */
export interface Memberships {
  /** Returns false if the read is older than what is known. */
  update (membership: types.Membership): boolean
  isMember (incarnation: types.Incarnation): boolean
  hasDeparted (incarnation: types.Incarnation): boolean
  /** Undefined while nothing was read. */
  departures (): number | undefined
}

export const create = (): Memberships => {
  let departures: number | undefined
  let members = new Set<types.Incarnation>()
  const departed = new Set<types.Incarnation>()

  return {
    update: (membership) => {
      if (departures !== undefined && membership.departures < departures) return false
      const listed = new Set(membership.members.map((member) => member.incarnation))
      // The rows of members may be staler than the departures: who is missing has departed only if the list says so,
      // unless the list does not reach back to what was known.
      const isListWhole = membership.departures - (departures ?? 0) <= membership.departed.length
      const target = isListWhole ? listed : departed
      for (const member of members) if (!listed.has(member)) target.add(member)
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
