import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'

/** Time in ms for which room is told to one entry that waits for it before it is told to the next. */
const HEAD_START_MS = 4
/** Messages a second that an agent sends to keep the entries up to date; a part of what it may spend on control. */
const UPDATES_PER_S = 15
/** Longest time in ms for which an entry that waits for nothing may be told of a change late. */
const MAX_UPDATE_MS = 250

export interface Options {
  timers: clock.Timers
  /** What is free, and the worker it is free on; no worker while nothing can be started. */
  room (): { worker?: runs.Worker, free: runs.Amount }
  send (link: number, message: runs.RoomMessage): void
}

/**
 * Tells the entries what is free. Room for which entries wait is told to the one with the most urgent task first, so
 * that they do not race for it; the others are told of changes at intervals.
 */
export interface Rooms {
  up (link: number): void
  down (link: number): void
  /** The entry has sent the start message with this number. */
  ordered (link: number, sequence: number): void
  wants (link: number, urgency: runs.Urgency | undefined): void
  /** A run has ended. */
  freed (): void
  /** The free room, or the worker that it is on, may have changed. */
  changed (): void
  /** Tells the entry in the same frame as another message, unless another one is offered the room. */
  join (link: number): void
  stop (): void
}

/** Priority of the most urgent task that waits at an entry, and the monotonic ms by which it has to start. */
interface Wants {
  priority: number
  by: number
}

interface Entry {
  link: number
  /** Number of the latest message with orders. */
  sequence: number
  /** What the entry was told last. */
  told: string
  /** Undefined while nothing waits at it. */
  wants: Wants | undefined
}

const isMoreUrgent = (left: Wants, right: Wants): boolean =>
  left.priority === right.priority ? left.by < right.by : left.priority < right.priority

export const create = ({ timers, room, send }: Options): Rooms => {
  const entries = new Map<number, Entry>()
  /** Entries that were offered what is free now. */
  const offered = new Set<Entry>()
  /** Set while the entry that was offered the room last has its head start. */
  let cancelOffer: clock.Cancellation | undefined
  let cancelUpdate: clock.Cancellation | undefined
  /** The worker as it was when the entries were told last. */
  let worker: runs.Worker | undefined

  const tell = (entry: Entry): void => {
    const message: runs.RoomMessage = { kind: 'room', sequence: entry.sequence, sharers: entries.size, ...room() }
    const text = JSON.stringify(message)
    if (text === entry.told) return
    entry.told = text
    send(entry.link, message)
  }

  /** Tells the room to one entry after the other, the one with the most urgent task first. */
  const offer = (): void => {
    cancelOffer?.()
    cancelOffer = undefined
    const now = timers.monotonic()
    const current = room()
    if (!current.worker || current.free.millicores <= 0) return
    let next: Entry | undefined
    for (const entry of entries.values()) {
      if (!entry.wants || entry.wants.by < now || offered.has(entry)) continue
      if (!next || isMoreUrgent(entry.wants, next.wants!)) next = entry
    }
    if (!next) return
    offered.add(next)
    tell(next)
    cancelOffer = timers.after(HEAD_START_MS, offer)
  }
  const isBehind = (entry: Entry): boolean => cancelOffer !== undefined && !offered.has(entry)

  const update = (): void => {
    cancelUpdate = undefined
    worker = room().worker
    for (const entry of entries.values()) {
      if (isBehind(entry)) schedule()
      else tell(entry)
    }
  }
  const schedule = (): void => {
    cancelUpdate ??= timers.after(Math.min(MAX_UPDATE_MS, entries.size * 1000 / UPDATES_PER_S), update)
  }
  const tellAllNow = (): void => {
    cancelUpdate?.()
    cancelUpdate = timers.after(0, update)
  }

  return {
    up: (link) => {
      entries.set(link, { link, sequence: 0, told: '', wants: undefined })
      tellAllNow()
    },
    down: (link) => {
      const entry = entries.get(link)
      entries.delete(link)
      if (entry && offered.delete(entry) && cancelOffer) offer()
    },
    ordered: (link, sequence) => {
      const entry = entries.get(link)
      if (entry) entry.sequence = sequence
    },
    wants: (link, urgency) => {
      const entry = entries.get(link)
      if (!entry) return
      entry.wants = urgency && { priority: urgency.priority, by: timers.monotonic() + urgency.withinMs }
      if (urgency) offered.delete(entry)
      // An entry that wants no more passes the offer on.
      if (urgency ? !cancelOffer : offered.has(entry)) offer()
    },
    freed: () => {
      offered.clear()
      offer()
      schedule()
    },
    changed: () => {
      if (room().worker === worker) schedule()
      else tellAllNow()
    },
    join: (link) => {
      const entry = entries.get(link)
      if (entry && !isBehind(entry)) tell(entry)
    },
    stop: () => {
      cancelUpdate?.()
      cancelOffer?.()
    }
  }
}
