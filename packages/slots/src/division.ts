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
  /** Unused slots that were asked back and have not been returned. */
  recalled: number
}

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

  const linked = (): Holder[] => [...holders.values()].filter((holder) => holder.connected)
  const best = (candidates: Holder[]): Holder =>
    candidates.reduce((first, holder) => compare(holder, first) < 0 ? holder : first)

  const divide = (): slots.Move[] => {
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
    return [...moves, ...recall(entries)]
  }

  /** Asks for as many unused slots as are wanted elsewhere and not on their way yet. */
  const recall = (entries: Holder[]): slots.Move[] => {
    let missing = 0
    for (const holder of entries) missing += wants(holder) - holder.recalled
    const donors = entries.filter((holder) => wants(holder) === 0 && holder.unused > holder.recalled)
      .sort((left, right) => right.unused - left.unused)
    const moves: slots.Move[] = []
    for (const donor of donors) {
      if (missing <= 0) break
      const count = Math.min(missing, donor.unused - donor.recalled)
      donor.recalled += count
      missing -= count
      moves.push({ kind: 'recall', link: donor.link, slots: count })
    }
    return moves
  }

  /** Moves even shares of unused slots to a new entry, so that its first task needs no further message. */
  const welcome = (newcomer: Holder): void => {
    const share = Math.floor(total / linked().length)
    newcomer.wanted = [Math.max(0, share - held(newcomer) - free)]
  }

  const keeps = (holder: Holder): boolean => {
    const rivals = linked().filter((other) => other !== holder && wants(other) > 0)
    if (rivals.length === 0) return true
    const rival = best(rivals)
    const [own, others] = [urgency(holder), urgency(rival)]
    // With equal urgency a move must leave the two closer than before, or slots would go back and forth.
    return own < others || (own === others && held(rival) + 1 >= held(holder))
  }

  return {
    connected: (link) => {
      const holder = { link, connected: true, unused: 0, running: 0, wanted: [], recalled: 0 }
      holders.set(link, holder)
      welcome(holder)
      return divide()
    },
    disconnected: (link) => {
      const holder = holders.get(link)
      if (!holder) return []
      free += holder.unused
      Object.assign(holder, { connected: false, unused: 0, recalled: 0, wanted: [] })
      if (holder.running === 0) holders.delete(link)
      return divide()
    },
    demand: (link, waiting) => {
      const holder = holders.get(link)
      if (!holder?.connected) return []
      holder.wanted = [...waiting]
      return divide()
    },
    start: (link) => {
      const holder = holders.get(link)
      if (closed || !holder || holder.unused === 0) return false
      holder.unused--
      holder.running++
      return true
    },
    end: (link) => {
      const holder = holders.get(link)
      if (!holder || holder.running === 0) return { renewed: false, moves: [] }
      const renewed = !closed && holder.connected && keeps(holder)
      holder.running--
      if (renewed) holder.unused++
      else free++
      if (!holder.connected && holder.running === 0) holders.delete(link)
      return { renewed, moves: divide() }
    },
    returned: (link, count) => {
      const holder = holders.get(link)
      if (!holder) return []
      const back = Math.min(count, holder.unused)
      holder.unused -= back
      free += back
      holder.recalled = 0
      return divide()
    },
    close: () => {
      closed = true
      for (const holder of holders.values()) Object.assign(holder, { unused: 0, recalled: 0, wanted: [] })
    },
    timer: () => [],
    deadline: () => undefined
  }
}
