import type * as types from '@mustarddeck/types'
import type * as slots from './interface.ts'

interface Holder {
  link: types.LinkId
  connected: boolean
  /** Granted slots that no task uses, as far as the agent knows. */
  unused: number
  running: number
  /** Slots that the entry wants, by rank; grants reduce it. */
  wanted: number[]
  /** Times in ms at which slots became unused, the latest last; the entry may have started a task meanwhile. */
  fresh: number[]
  /** Time in ms since which the entry has wanted slots. */
  wantedSince: number
  /** Unused slots that were asked back and have not been returned. */
  recalled: number
  /** Unused slots that the entry did not return when it was asked, since it keeps them in reserve. */
  kept: number
  /** Time in ms at which `kept` was learnt. */
  keptAt: number
}

/** Time in ms after which an entry is asked again for slots that it kept. */
const KEPT_MS = 5000
/** Time in ms after which an unused slot is asked back: a start that uses it may be under way until then. */
const FRESH_MS = 3

const held = (holder: Holder): number => holder.unused + holder.running
const wants = (holder: Holder): number => holder.wanted.reduce((sum, count) => sum + count, 0)
/** Rank of the most urgent wanted slot, or Infinity. */
const urgency = (holder: Holder): number => {
  const rank = holder.wanted.findIndex((count) => count > 0)
  return rank < 0 ? Infinity : rank
}
/** Negative if `left` should get a slot before `right`: the more urgent first, then the one with fewer slots. */
const compare = (left: Holder, right: Holder): number => {
  const [first, second] = [urgency(left), urgency(right)]
  return first === second ? held(left) - held(right) : first - second
}
/** Unused slots left to an entry while wants are young: asking for a single one is mostly in vain. */
const LEFT = 1
/** Time in ms after which wants that are still unmet are a lasting backlog, and no unused slot is left. */
const LASTING_MS = 3000

/** Slots that the entry may be asked to give back. */
const spare = ({ unused, fresh, recalled, kept }: Holder, left: number): number =>
  Math.max(0, unused - Math.max(fresh.length, kept, left) - recalled)
/** True if all that the entry wants is for work above its fair share. */
const isFlood = (holder: Holder): boolean => urgency(holder) === holder.wanted.length - 1
const satisfy = (holder: Holder, count: number): void => {
  for (let left = count; left > 0; left--) {
    const rank = holder.wanted.findIndex((wanted) => wanted > 0)
    if (rank < 0) return
    holder.wanted[rank]!--
  }
}

/**
 * Divides the `slots` slots of one worker. Every slot is granted, since an entry that holds a grant can start a task
 * at once and without a message. Wanted slots come from tasks that end and from unused grants of other entries.
 */
export const create = ({ slots: total }: { slots: number }): slots.Slots => {
  const holders = new Map<types.LinkId, Holder>()
  let free = total
  let closed = false
  /** Time in ms of the latest call. */
  let time = 0

  const linked = (): Holder[] => [...holders.values()].filter((holder) => holder.connected)
  const best = (candidates: Holder[]): Holder =>
    candidates.reduce((first, holder) => compare(holder, first) < 0 ? holder : first)

  /** True if the entry has wanted slots for so long that no unused slot is left to others. */
  const isLasting = (holder: Holder, now: number): boolean =>
    wants(holder) > 0 && now >= holder.wantedSince + LASTING_MS

  const divide = (now: number): slots.Move[] => {
    time = now
    for (const holder of holders.values()) if (now >= holder.keptAt + KEPT_MS) holder.kept = 0
    const entries = linked()
    if (closed || entries.length === 0) return []
    const grants = new Map<Holder, number>()
    for (; free > 0; free--) {
      const holder = best(entries)
      holder.unused++
      satisfy(holder, 1)
      grants.set(holder, (grants.get(holder) ?? 0) + 1)
    }
    const moves: slots.Move[] = [...grants].map(([{ link }, count]) => ({ kind: 'grant', link, slots: count }))
    return [...moves, ...recall(entries, now)]
  }

  /** Asks for as many unused slots as are wanted elsewhere and not on their way yet. */
  const recall = (entries: Holder[], now: number): slots.Move[] => {
    const wanting = entries.filter((holder) => wants(holder) > 0)
    const flood = wanting.length > 0 && wanting.every(isFlood)
    const left = flood || wanting.some((holder) => isLasting(holder, now)) ? 0 : LEFT
    let missing = 0
    for (const holder of entries) missing += wants(holder) - holder.recalled
    const donors = entries.filter((holder) => wants(holder) === 0 && spare(holder, left) > 0)
      .sort((left, right) => right.unused - left.unused)
    const moves: slots.Move[] = []
    for (const donor of donors) {
      if (missing <= 0) break
      const count = Math.min(missing, spare(donor, left))
      donor.recalled += count
      missing -= count
      moves.push({ kind: 'recall', link: donor.link, slots: count, ...flood ? { flood } : {} })
    }
    return moves
  }

  /** Moves even shares of unused slots to a new entry, so that its first task needs no further message. */
  const welcome = (newcomer: Holder): void => {
    const share = Math.floor(total / linked().length)
    newcomer.wanted = [Math.max(0, share - held(newcomer) - free), 0]
  }

  /** Whether a slot whose task ended stays with its entry. */
  const keeps = (holder: Holder): boolean => {
    const entries = linked()
    const rivals = entries.filter((other) => other !== holder && wants(other) > 0)
    if (rivals.length === 0) return true
    const rival = best(rivals)
    // An entry within its even share keeps it while it asks for nothing: it would soon have to ask for it back.
    if (wants(holder) === 0) return held(holder) <= Math.ceil(total / entries.length)
    const [own, others] = [urgency(holder), urgency(rival)]
    // With equal urgency a move must leave the two closer than before, or slots would go back and forth.
    return own < others || (own === others && held(rival) + 1 >= held(holder))
  }

  return {
    connected: (link, now) => {
      const counts = { unused: 0, running: 0, recalled: 0, kept: 0, keptAt: 0, wantedSince: 0 }
      const holder: Holder = { link, connected: true, ...counts, wanted: [], fresh: [] }
      holders.set(link, holder)
      welcome(holder)
      return divide(now)
    },
    disconnected: (link, now) => {
      const holder = holders.get(link)
      if (!holder) return []
      free += holder.unused
      Object.assign(holder, { connected: false, unused: 0, recalled: 0, wanted: [], fresh: [] })
      if (holder.running === 0) holders.delete(link)
      return divide(now)
    },
    demand: (link, waiting, now) => {
      const holder = holders.get(link)
      if (!holder?.connected) return []
      if (wants(holder) === 0) holder.wantedSince = now
      holder.wanted = [...waiting]
      return divide(now)
    },
    start: (link) => {
      const holder = holders.get(link)
      if (closed || !holder || holder.unused === 0) return false
      holder.unused--
      holder.running++
      holder.fresh.shift()
      return true
    },
    end: (link, now) => {
      const holder = holders.get(link)
      if (!holder || holder.running === 0) return { renewed: false, moves: [] }
      const renewed = !closed && holder.connected && keeps(holder)
      holder.running--
      if (renewed) {
        holder.unused++
        holder.fresh.push(now)
      } else free++
      if (!holder.connected && holder.running === 0) holders.delete(link)
      return { renewed, moves: divide(now) }
    },
    returned: (link, count, now) => {
      const holder = holders.get(link)
      if (!holder) return []
      const back = Math.min(count, holder.unused)
      holder.unused -= back
      free += back
      if (back < holder.recalled) Object.assign(holder, { kept: holder.unused, keptAt: now })
      holder.recalled = 0
      return divide(now)
    },
    close: () => {
      closed = true
      for (const holder of holders.values()) Object.assign(holder, { unused: 0, recalled: 0, wanted: [] })
    },
    timer: (now) => {
      for (const holder of holders.values()) holder.fresh = holder.fresh.filter((at) => at + FRESH_MS > now)
      return divide(now)
    },
    deadline: () => {
      const entries = linked()
      const wanting = entries.filter((holder) => wants(holder) > 0)
      if (wanting.length === 0) return undefined
      // Without these, wants would stay unmet when no task ends and no message comes.
      const times = [
        ...entries.map((holder) => (holder.fresh[0] ?? Infinity) + FRESH_MS),
        ...entries.filter((holder) => holder.kept > 0).map((holder) => holder.keptAt + KEPT_MS),
        ...wanting.map((holder) => holder.wantedSince + LASTING_MS).filter((at) => at > time)
      ]
      const next = Math.min(...times)
      return next === Infinity ? undefined : next
    }
  }
}
