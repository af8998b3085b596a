import type * as clock from '@mustarddeck/clock'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

export type StoreFault = 'none' | 'down' | 'answer-lost' | 'stale'

/** The membership rows of the platform's table. A callback receives undefined when no answer came. */
export interface Platform {
  fault (fault: StoreFault): void
  /** Either row may be stale, but never older than what the same reader has seen of it. */
  read (reader: Reader, callback: (membership: types.Membership | undefined) => void): void
  register (member: types.Member, callback: (membership: types.Membership | undefined) => void): void
  depart (member: types.Member, callback: (membership: types.Membership | undefined) => void): void
  fence (incarnation: types.Incarnation, callback: (membership: types.Membership | undefined) => void): void
  /** Current state, for checks. */
  current (): types.Membership
}

/** Positions in the history of the row `membership` and of the rows of members that a process has seen. */
export interface Reader {
  core: number
  members: number
}

const MAX_DEPARTED = 100

export const create = ({ timers, random }: { timers: clock.Timers, random: random.Random }): Platform => {
  let fault: StoreFault = 'none'
  const history: types.Membership[] = [{ members: [], departures: 0, departed: [], fences: [] }]
  const current = (): types.Membership => history[history.length - 1]!

  const age = (): number => fault === 'stale' ? random.integer(0, 6) : random.float() < 0.1 ? 1 : 0
  const delayMs = (): number => 1 + random.exponential(random.float() < 0.05 ? 300 : 5)

  // The write takes effect between request and answer; each of the two can be lost on its own.
  const transact = (
    change: (membership: types.Membership) => types.Membership,
    callback: (membership: types.Membership | undefined) => void
  ): void => {
    timers.after(delayMs(), () => {
      if (fault === 'down') {
        timers.after(random.float() * 200, () => callback(undefined))
        return
      }
      const next = change(structuredClone(current()))
      history.push(next)
      const lost = fault === 'answer-lost' && random.float() < 0.5
      timers.after(delayMs(), () => callback(lost ? undefined : structuredClone(next)))
    })
  }
  const without = (membership: types.Membership, member: types.Member): types.Membership => {
    const index = membership.members.findIndex((other) =>
      other.worker === member.worker && other.incarnation === member.incarnation)
    if (index < 0) return membership
    membership.members.splice(index, 1)
    membership.departures++
    membership.departed.push({
      index: membership.departures, worker: member.worker, incarnation: member.incarnation
    })
    if (membership.departed.length > MAX_DEPARTED) membership.departed.shift()
    return membership
  }

  return {
    fault: (next) => { fault = next },
    read: (reader, callback) => {
      timers.after(delayMs(), () => {
        if (fault === 'down') return callback(undefined)
        reader.core = Math.max(reader.core, history.length - 1 - age())
        reader.members = Math.max(reader.members, history.length - 1 - age())
        const value = structuredClone({ ...history[reader.core]!, members: history[reader.members]!.members })
        timers.after(delayMs(), () => callback(value))
      })
    },
    register: (member, callback) => transact((membership) => {
      const known = membership.members.find((other) => other.worker === member.worker)
      if (known?.incarnation === member.incarnation) return membership
      const next = known ? without(membership, known) : membership
      next.members.push(member)
      return next
    }, callback),
    depart: (member, callback) => transact((membership) => without(membership, member), callback),
    fence: (incarnation, callback) => transact((membership) => {
      if (!membership.fences.includes(incarnation)) membership.fences.push(incarnation)
      return membership
    }, callback),
    current
  }
}
