import type * as types from '@mustarddeck/types'
import type * as slots from './interface.ts'

interface Holder {
  connected: boolean
  /** Granted slots that no task uses. */
  unused: number
  running: number
  waiting: number[]
  /** Unused slots that were asked back and have not been returned. */
  recalled: number
}

/** Divides `slots` slots evenly among linked entries and moves them to where the most urgent work waits. */
export const create = ({ slots: total }: { slots: number }): slots.Slots => {
  const holders = new Map<types.LinkId, Holder>()
  let closed = false

  const held = (holder: Holder): number => holder.unused + holder.running
  const free = (): number => {
    let sum = total
    for (const holder of holders.values()) sum -= held(holder)
    return sum
  }
  const linked = (): [types.LinkId, Holder][] => [...holders].filter(([, holder]) => holder.connected)
  const wants = (holder: Holder): boolean =>
    holder.waiting.reduce((sum, count) => sum + count, 0) > holder.unused
  /** Rank of the most urgent waiting work, or Infinity. */
  const urgency = (holder: Holder): number => {
    const rank = holder.waiting.findIndex((count) => count > 0)
    return rank < 0 || !wants(holder) ? Infinity : rank
  }
  /** Negative if `left` should get a slot before `right`. */
  const compare = (left: Holder, right: Holder): number => {
    const [first, second] = [urgency(left), urgency(right)]
    return first === second ? held(left) - held(right) : first - second
  }

  const divide = (): slots.Move[] => {
    if (closed) return []
    const grants = new Map<types.LinkId, number>()
    const entries = linked()
    for (let left = entries.length > 0 ? free() : 0; left > 0; left--) {
      const [link, holder] = entries.reduce((best, entry) => compare(entry[1], best[1]) < 0 ? entry : best)
      holder.unused++
      grants.set(link, (grants.get(link) ?? 0) + 1)
    }
    const moves: slots.Move[] = [...grants].map(([link, count]) => ({ kind: 'grant', link, slots: count }))
    return [...moves, ...recall(entries)]
  }

  const recall = (entries: [types.LinkId, Holder][]): slots.Move[] => {
    const waiting = entries.filter(([, holder]) => wants(holder))
    if (waiting.length === 0) return []
    const share = Math.floor(total / waiting.length)
    let missing = waiting.reduce((sum, [, holder]) => sum + Math.max(0, share - held(holder)), 0) -
      entries.reduce((sum, [, holder]) => sum + holder.recalled, 0)
    const moves: slots.Move[] = []
    for (const [link, holder] of entries) {
      const count = wants(holder) ? 0 : Math.min(missing, holder.unused - holder.recalled)
      if (count <= 0) continue
      holder.recalled += count
      missing -= count
      moves.push({ kind: 'recall', link, slots: count })
    }
    return moves
  }

  return {
    connected: (link) => {
      holders.set(link, { connected: true, unused: 0, running: 0, waiting: [], recalled: 0 })
      return divide()
    },
    disconnected: (link) => {
      const holder = holders.get(link)
      if (!holder) return []
      Object.assign(holder, { connected: false, unused: 0, recalled: 0 })
      if (holder.running === 0) holders.delete(link)
      return divide()
    },
    demand: (link, waiting) => {
      const holder = holders.get(link)
      if (!holder) return []
      holder.waiting = waiting
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
      holder.running--
      if (!holder.connected && holder.running === 0) holders.delete(link)
      if (closed) return { renewed: false, moves: [] }
      const renewed = holder.connected &&
        !linked().some(([, other]) => other !== holder && compare(other, holder) < 0 && wants(other))
      if (renewed) holder.unused++
      return { renewed, moves: renewed ? [] : divide() }
    },
    returned: (link, count) => {
      const holder = holders.get(link)
      if (!holder) return []
      const slots = Math.min(count, holder.unused)
      holder.unused -= slots
      holder.recalled = 0
      return divide()
    },
    close: () => {
      closed = true
      for (const holder of holders.values()) Object.assign(holder, { unused: 0, recalled: 0 })
    },
    timer: () => divide(),
    deadline: () => undefined
  }
}
