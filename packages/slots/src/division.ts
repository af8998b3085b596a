import type * as types from '@mustarddeck/types'
import type * as slots from './interface.ts'

/** State of one entry that is linked, or that still has running tasks. */
interface Holder {
  link: types.LinkId
  connected: boolean
  /** Granted slots without a running task; a start that uses one may be under way. */
  unused: number
  running: number
  /** Requested slots by rank; grants reduce it. */
  demand: number[]
  /** Times in ms at which slots became unused, the latest last; a start that uses them may be under way. */
  idleSince: number[]
  /** Time in ms since which the entry has had demand. */
  demandSince: number
  /** Unused slots that were recalled and have not been returned. */
  recalled: number
  /** Unused slots that the entry did not return on a recall, since it keeps them in reserve. */
  retained: number
  /** Time in ms at which `retained` was set. */
  retainedAt: number
}

/** Time in ms after which slots that an entry retained are recalled again. */
const RECALL_RETRY_MS = 5000
/** Time in ms for which an unused slot is not recalled, since a start that uses it may be under way. */
const MIN_IDLE_MS = 3

const heldSlots = (holder: Holder): number => holder.unused + holder.running
const demandedSlots = (holder: Holder): number => holder.demand.reduce((sum, count) => sum + count, 0)
/** Rank of the most urgent requested slot, or Infinity. */
const mostUrgentRank = (holder: Holder): number => {
  const rank = holder.demand.findIndex((count) => count > 0)
  return rank < 0 ? Infinity : rank
}
/** Sorts holders by claim to the next slot: the more urgent demand first, then the one with fewer slots. */
const compareClaims = (left: Holder, right: Holder): number => {
  const [first, second] = [mostUrgentRank(left), mostUrgentRank(right)]
  return first === second ? heldSlots(left) - heldSlots(right) : first - second
}
/** Unused slots left to an entry while demand is recent, since recalling its only unused slot mostly fails. */
const MIN_UNUSED_LEFT = 1
/** Time in ms after which unmet demand counts as a lasting backlog, for which every unused slot is recalled. */
const LASTING_DEMAND_MS = 3000

/** Unused slots that can be recalled from the entry; `minLeft` of them stay. */
const recallable = ({ unused, idleSince, recalled, retained }: Holder, minLeft: number): number =>
  Math.max(0, unused - Math.max(idleSince.length, retained, minLeft) - recalled)
/** True if all demand of the entry is for a flood, which is work above its fair share. */
const isFloodDemand = (holder: Holder): boolean => mostUrgentRank(holder) === holder.demand.length - 1
/** Deducts `count` granted slots from the demand, the most urgent first. */
const reduceDemand = (holder: Holder, count: number): void => {
  for (let remaining = count; remaining > 0; remaining--) {
    const rank = holder.demand.findIndex((count) => count > 0)
    if (rank < 0) return
    holder.demand[rank]!--
  }
}

/**
 * Divides the `slots` slots of one worker. All slots are granted while an entry is linked, since an entry with an
 * unused grant can start a task at once without a message. Demand is met from slots of ended tasks and from unused
 * grants of other entries.
 */
export const create = ({ slots: total }: { slots: number }): slots.SlotDivision => {
  const holders = new Map<types.LinkId, Holder>()
  let freeSlots = total
  let closed = false
  /** Time in ms of the latest distribution. */
  let latestTime = 0

  const connectedHolders = (): Holder[] => [...holders.values()].filter((holder) => holder.connected)
  const mostEntitled = (candidates: Holder[]): Holder =>
    candidates.reduce((first, holder) => compareClaims(holder, first) < 0 ? holder : first)

  /** True if the demand has been unmet for so long that every unused slot of others is recalled. */
  const hasLastingDemand = (holder: Holder, now: number): boolean =>
    demandedSlots(holder) > 0 && now >= holder.demandSince + LASTING_DEMAND_MS

  const distribute = (now: number): slots.SlotMessage[] => {
    latestTime = now
    for (const holder of holders.values()) if (now >= holder.retainedAt + RECALL_RETRY_MS) holder.retained = 0
    const entries = connectedHolders()
    if (closed || entries.length === 0) return []
    const grants = new Map<Holder, number>()
    for (; freeSlots > 0; freeSlots--) {
      const holder = mostEntitled(entries)
      holder.unused++
      reduceDemand(holder, 1)
      grants.set(holder, (grants.get(holder) ?? 0) + 1)
    }
    const moves: slots.SlotMessage[] = [...grants].map(([{ link }, count]) => ({ kind: 'grant', link, slots: count }))
    return [...moves, ...recall(entries, now)]
  }

  /** Recalls unused slots for demand of other entries that outstanding recalls don't cover. */
  const recall = (entries: Holder[], now: number): slots.SlotMessage[] => {
    const demanding = entries.filter((holder) => demandedSlots(holder) > 0)
    const flood = demanding.length > 0 && demanding.every(isFloodDemand)
    const minLeft = flood || demanding.some((holder) => hasLastingDemand(holder, now)) ? 0 : MIN_UNUSED_LEFT
    let unmetSlots = 0
    for (const holder of entries) unmetSlots += demandedSlots(holder) - holder.recalled
    const donors = entries.filter((holder) => demandedSlots(holder) === 0 && recallable(holder, minLeft) > 0)
      .sort((left, right) => right.unused - left.unused)
    const moves: slots.SlotMessage[] = []
    for (const donor of donors) {
      if (unmetSlots <= 0) break
      const count = Math.min(unmetSlots, recallable(donor, minLeft))
      donor.recalled += count
      unmetSlots -= count
      moves.push({ kind: 'recall', link: donor.link, slots: count, ...flood ? { flood } : {} })
    }
    return moves
  }

  /** Sets an even share as the demand of a new entry, so that its first task needs no further message. */
  const demandEvenShare = (newcomer: Holder): void => {
    const share = Math.floor(total / connectedHolders().length)
    newcomer.demand = [Math.max(0, share - heldSlots(newcomer) - freeSlots), 0]
  }

  /** True if a slot whose task ended stays with its entry. */
  const keepsSlot = (holder: Holder): boolean => {
    const entries = connectedHolders()
    const otherDemanding = entries.filter((other) => other !== holder && demandedSlots(other) > 0)
    if (otherDemanding.length === 0) return true
    const strongest = mostEntitled(otherDemanding)
    // An entry without demand keeps its even share, which it would soon have to request again.
    if (demandedSlots(holder) === 0) return heldSlots(holder) <= Math.ceil(total / entries.length)
    const [ownRank, otherRank] = [mostUrgentRank(holder), mostUrgentRank(strongest)]
    // At equal urgency the slot moves only if that makes the shares more even; otherwise slots would oscillate.
    return ownRank < otherRank || (ownRank === otherRank && heldSlots(strongest) + 1 >= heldSlots(holder))
  }

  return {
    connected: (link, now) => {
      const counts = { unused: 0, running: 0, recalled: 0, retained: 0, retainedAt: 0, demandSince: 0 }
      const holder: Holder = { link, connected: true, ...counts, demand: [], idleSince: [] }
      holders.set(link, holder)
      demandEvenShare(holder)
      return distribute(now)
    },
    disconnected: (link, now) => {
      const holder = holders.get(link)
      if (!holder) return []
      freeSlots += holder.unused
      Object.assign(holder, { connected: false, unused: 0, recalled: 0, demand: [], idleSince: [] })
      if (holder.running === 0) holders.delete(link)
      return distribute(now)
    },
    demand: (link, waiting, now) => {
      const holder = holders.get(link)
      if (!holder?.connected) return []
      if (demandedSlots(holder) === 0) holder.demandSince = now
      holder.demand = [...waiting]
      return distribute(now)
    },
    start: (link) => {
      const holder = holders.get(link)
      if (closed || !holder || holder.unused === 0) return false
      holder.unused--
      holder.running++
      holder.idleSince.shift()
      return true
    },
    end: (link, now) => {
      const holder = holders.get(link)
      if (!holder || holder.running === 0) return { renewed: false, moves: [] }
      const renewed = !closed && holder.connected && keepsSlot(holder)
      holder.running--
      if (renewed) {
        holder.unused++
        holder.idleSince.push(now)
      } else freeSlots++
      if (!holder.connected && holder.running === 0) holders.delete(link)
      return { renewed, moves: distribute(now) }
    },
    returned: (link, count, now) => {
      const holder = holders.get(link)
      if (!holder) return []
      const returnedSlots = Math.min(count, holder.unused)
      holder.unused -= returnedSlots
      freeSlots += returnedSlots
      if (returnedSlots < holder.recalled) Object.assign(holder, { retained: holder.unused, retainedAt: now })
      holder.recalled = 0
      return distribute(now)
    },
    close: () => {
      closed = true
      for (const holder of holders.values()) Object.assign(holder, { unused: 0, recalled: 0, demand: [] })
    },
    timer: (now) => {
      for (const holder of holders.values()) holder.idleSince = holder.idleSince.filter((at) => at + MIN_IDLE_MS > now)
      return distribute(now)
    },
    deadline: () => {
      const entries = connectedHolders()
      const demanding = entries.filter((holder) => demandedSlots(holder) > 0)
      if (demanding.length === 0) return undefined
      // Without these times, demand would stay unmet if no task ends and no message arrives.
      const times = [
        ...entries.map((holder) => (holder.idleSince[0] ?? Infinity) + MIN_IDLE_MS),
        ...entries.filter((holder) => holder.retained > 0).map((holder) => holder.retainedAt + RECALL_RETRY_MS),
        ...demanding.map((holder) => holder.demandSince + LASTING_DEMAND_MS).filter((at) => at > latestTime)
      ]
      const nextAt = Math.min(...times)
      return nextAt === Infinity ? undefined : nextAt
    }
  }
}
