import type * as types from '@mustarddeck/types'
import type * as policies from './policy.ts'
import type * as queueing from './queues.ts'

/** Bound of all reserves, as a share of slots, against a type that floods. */
const MAX_FLOOD_RESERVE = 0.02

export interface Options {
  queues: queueing.Queues
  policy: policies.Policy
  /** Slots that the entry can count on. */
  capacity (): number
  /** Target wait in ms of a level. */
  targetWait (level: number): number
  /** True while a flood takes all slots that other work leaves. */
  isPressed (): boolean
}

/** Slots that are left free for classes more urgent than the work at hand. */
export interface Reserves {
  configure (rules: types.Rules): void
  /**
   * Unused slots that work of the level leaves to more urgent classes. They shrink as that work waits longer, so that a
   * reserve never idles beside a lasting backlog. A flood is one from the start, and would take what other work left.
   */
  against (level: number): number
  /** Unused slots that the entry does not give back to others. */
  kept (): number
}

export const create = ({ queues, policy, capacity, targetWait, isPressed }: Options): Reserves => {
  let classes: types.Rules['priorityClasses'] = []

  /** Share of slots that is reserved for classes more urgent than the level. */
  const shareAgainst = (level: number): number => {
    const flooding = level === queues.levels() - 1
    let share = 0
    for (const { rank, reserve } of classes) if (rank < level || flooding) share += reserve
    return share
  }
  return {
    configure: (rules) => { classes = rules.priorityClasses },
    against: (level) => {
      if (!policy.reserves || level === 0) return 0
      const share = shareAgainst(level)
      if (share === 0) return 0
      if (isPressed()) return Math.floor(Math.min(share, MAX_FLOOD_RESERVE) * capacity())
      let work = 0
      for (const type of queues.active) if (type.level <= level) work += type.waiting * type.runTimes.mean()
      const wait = work / capacity() / targetWait(level) / policy.reserveWait
      return Math.round(share * capacity() * Math.max(0, 1 - wait))
    },
    kept: () => {
      if (!policy.reserves) return 0
      const share = shareAgainst(queues.levels() - 1)
      return Math.floor(capacity() * (isPressed() ? Math.min(share, MAX_FLOOD_RESERVE) : share / 2))
    }
  }
}
