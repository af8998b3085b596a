import type * as types from '@mustarddeck/types'
import type * as policies from './policy.ts'
import type * as queueing from './queues.ts'

/** Largest share of slots reserved in total while there is a flood. */
const MAX_FLOOD_RESERVE = 0.02

export interface Options {
  queues: queueing.Queues
  policy: policies.Policy
  /** Slots that the entry can rely on. */
  capacity (): number
  /** Target wait in ms of a level. */
  targetWait (level: number): number
  /** True while a flood takes all slots that other work leaves free. */
  hasFlood (): boolean
}

/** Slots that less urgent work leaves free for more urgent priority classes. */
export interface Reserves {
  configure (rules: types.Rules): void
  /**
   * Unused slots that work of the level leaves to more urgent classes. The number shrinks as that work waits longer, so
   * that reserved slots do not stay idle during a lasting backlog. A flood is such a backlog from its start, so it only
   * has to leave a small fixed reserve.
   */
  reservedAgainst (level: number): number
  /** Unused slots that the entry keeps when an agent recalls slots. */
  retained (): number
}

export const create = ({ queues, policy, capacity, targetWait, hasFlood }: Options): Reserves => {
  let classes: types.Rules['priorityClasses'] = []

  /** Share of slots that is reserved for classes more urgent than the level. */
  const reserveShareAgainst = (level: number): number => {
    const flooding = level === queues.levels() - 1
    let share = 0
    for (const { rank, reserve } of classes) if (rank < level || flooding) share += reserve
    return share
  }
  return {
    configure: (rules) => { classes = rules.priorityClasses },
    reservedAgainst: (level) => {
      if (!policy.reserves || level === 0) return 0
      const share = reserveShareAgainst(level)
      if (share === 0) return 0
      if (hasFlood()) return Math.floor(Math.min(share, MAX_FLOOD_RESERVE) * capacity())
      let waitingWorkMs = 0
      for (const type of queues.active) if (type.level <= level) waitingWorkMs += type.waiting * type.runTimes.mean()
      const relativeWait = waitingWorkMs / capacity() / targetWait(level) / policy.reserveWaitRatio
      return Math.round(share * capacity() * Math.max(0, 1 - relativeWait))
    },
    retained: () => {
      if (!policy.reserves) return 0
      const share = reserveShareAgainst(queues.levels() - 1)
      return Math.floor(capacity() * (hasFlood() ? Math.min(share, MAX_FLOOD_RESERVE) : share / 2))
    }
  }
}
