import type * as clock from '@mustarddeck/clock'
import * as runs from '@mustarddeck/runs'

/**
 * Time in ms after which free capacity offered to one waiting entry is offered to the next; longer than a round trip to
 * an entry under load, as the orders of two entries would otherwise race for it.
 */
const HEAD_START_MS = 20
/** Share of the capacity by which the reported free capacity may be too high before an entry is updated immediately. */
const STALE_SHARE = 0.25
/** Update messages a second that an agent sends to all entries; a part of its budget for control messages. */
const UPDATES_PER_S = 15
/** Maximum delay in ms of updates to entries without waiting tasks. */
const MAX_UPDATE_DELAY_MS = 250

export interface Options {
  timers: clock.Timers
  /** Returns the worker and its free capacity. The worker is absent while its agent is not ready to start anything. */
  currentCapacity (): Pick<runs.CapacityMessage, 'worker' | 'free' | 'evacuated'>
  send (link: number, message: runs.CapacityMessage): void
}

/**
 * Sends free capacity to the entries. While entries have waiting tasks, free capacity is offered to the one with the
 * most urgent task first, so that entries do not race for it; the others are updated at intervals.
 */
export interface CapacityUpdates {
  up (link: number): void
  down (link: number): void
  /** Records the sequence number of a start message from the entry. */
  ordered (link: number, sequence: number): void
  setDemand (link: number, urgency: runs.Urgency | undefined): void
  /** Offers the capacity that a run released. */
  runEnded (): void
  /** Called when the worker or its free capacity may have changed. */
  changed (): void
  /** Sends an update in the same frame as another message, unless the capacity is being offered to another entry. */
  piggyback (link: number): void
  stop (): void
}

/** Priority of the most urgent task waiting at an entry, and the monotonic ms by which it has to start. */
interface Demand {
  priority: number
  startDeadline: number
}

interface Entry {
  link: number
  /** Sequence number of the latest start message. */
  sequence: number
  /** Update last sent to the entry. */
  lastSent: runs.CapacityMessage | undefined
  /** Undefined while no task waits at the entry. */
  demand: Demand | undefined
}

const isMoreUrgent = (left: Demand, right: Demand): boolean =>
  left.priority === right.priority ? left.startDeadline < right.startDeadline : left.priority < right.priority

const isSame = (left: runs.CapacityMessage, right: runs.CapacityMessage): boolean =>
  left.sequence === right.sequence && left.sharers === right.sharers && left.evacuated === right.evacuated &&
  runs.equals(left.free, right.free) && isSameWorker(left.worker, right.worker)

const isSameWorker = (left: runs.Worker | undefined, right: runs.Worker | undefined): boolean =>
  left === right || (left !== undefined && right !== undefined && JSON.stringify(left) === JSON.stringify(right))

export const create = ({ timers, currentCapacity, send }: Options): CapacityUpdates => {
  const entries = new Map<number, Entry>()
  /** Entries that were offered the current free capacity. */
  const offered = new Set<Entry>()
  /** Set during the head start of the entry that received the latest offer. */
  let cancelOffer: clock.Cancellation | undefined
  let cancelUpdate: clock.Cancellation | undefined
  /** The worker at the time of the latest update to all entries. */
  let lastWorker: runs.Worker | undefined
  let lastEvacuated: boolean | undefined

  const sendUpdate = (entry: Entry): void => {
    const message: runs.CapacityMessage = { kind: 'room', sequence: entry.sequence, sharers: entries.size, ...currentCapacity() }
    if (entry.lastSent && isSame(message, entry.lastSent)) return
    entry.lastSent = message
    send(entry.link, message)
  }

  /** Offers the free capacity to one entry after another, in order of urgency. */
  const offer = (): void => {
    cancelOffer?.()
    cancelOffer = undefined
    const now = timers.monotonic()
    const current = currentCapacity()
    if (!current.worker || current.free.millicores <= 0) return
    let next: Entry | undefined
    for (const entry of entries.values()) {
      if (!entry.demand || entry.demand.startDeadline < now || offered.has(entry)) continue
      if (!next || isMoreUrgent(entry.demand, next.demand!)) next = entry
    }
    if (!next) return
    offered.add(next)
    sendUpdate(next)
    cancelOffer = timers.after(HEAD_START_MS, offer)
  }
  const mustWait = (entry: Entry): boolean => cancelOffer !== undefined && !offered.has(entry)

  const update = (): void => {
    cancelUpdate = undefined
    const { worker, evacuated } = currentCapacity()
    lastWorker = worker
    lastEvacuated = evacuated
    for (const entry of entries.values()) {
      if (mustWait(entry)) scheduleUpdate(HEAD_START_MS)
      else sendUpdate(entry)
    }
  }
  const scheduleUpdate = (delayMs = Math.min(MAX_UPDATE_DELAY_MS, entries.size * 1000 / UPDATES_PER_S)): void => {
    cancelUpdate ??= timers.after(delayMs, update)
  }
  /** Updates entries that would otherwise place tasks on capacity that other entries' tasks have taken. */
  const sendIfStale = ({ capacity }: runs.Worker, { millicores }: runs.Resources): void => {
    for (const entry of entries.values()) {
      const excess = (entry.lastSent?.free.millicores ?? 0) - millicores
      if (excess >= STALE_SHARE * capacity.millicores && !mustWait(entry)) sendUpdate(entry)
    }
  }
  const updateAllNow = (): void => {
    cancelUpdate?.()
    cancelUpdate = timers.after(0, update)
  }

  return {
    up: (link) => {
      entries.set(link, { link, sequence: 0, lastSent: undefined, demand: undefined })
      updateAllNow()
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
    setDemand: (link, urgency) => {
      const entry = entries.get(link)
      if (!entry) return
      entry.demand = urgency && { priority: urgency.priority, startDeadline: timers.monotonic() + urgency.withinMs }
      if (urgency) offered.delete(entry)
      // An entry without remaining demand passes the offer on.
      if (urgency ? !cancelOffer : offered.has(entry)) offer()
    },
    runEnded: () => {
      offered.clear()
      offer()
      scheduleUpdate()
    },
    changed: () => {
      const { worker, free, evacuated } = currentCapacity()
      if (worker !== lastWorker || evacuated !== lastEvacuated) return updateAllNow()
      if (worker) sendIfStale(worker, free)
      scheduleUpdate()
    },
    piggyback: (link) => {
      const entry = entries.get(link)
      if (entry && !mustWait(entry)) sendUpdate(entry)
    },
    stop: () => {
      cancelUpdate?.()
      cancelOffer?.()
    }
  }
}
