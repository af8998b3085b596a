import type * as clock from '@mustarddeck/clock'
import * as crypto from 'node:crypto'
import type * as agents from './agents.ts'

/** Crashes within `WITHIN_MS`, each of a task that was alone on its worker, after which the queue is confined. */
const CONFINED_AFTER = 2
const WITHIN_MS = 10_000
/** Share of a service's workers that a confined queue may use. */
const SHARE = 0.25
/** Time in ms for which the selection of workers is kept. */
const SELECTION_MS = 250

/** Confines queues whose tasks crash workers to a part of the workers, so that the rest serve the other queues. */
export interface Confinement {
  /** Records that a task of the queue has crashed a worker on which it was alone. */
  crashed (queue: string): void
  permits (queue: string, agent: agents.Agent): boolean
}

/** Entries rank the agents of a queue in the same order, so that they confine it to the same workers. */
const rankOf = (queue: string, agent: string): string =>
  crypto.createHash('sha1').update(`${queue} ${agent}`).digest('hex')

export const create = (timers: clock.Clock, all: () => Iterable<agents.Agent>): Confinement => {
  const crashesByQueue = new Map<string, number[]>()
  const selections = new Map<string, { at: number, members: Set<string> }>()

  const isConfined = (queue: string): boolean => {
    const latest = crashesByQueue.get(queue)?.at(-CONFINED_AFTER)
    return latest !== undefined && timers.monotonic() - latest < WITHIN_MS
  }
  const select = (queue: string): Set<string> => {
    const names = [...new Set([...all()].map(({ name }) => name))]
    const ranked = names.map((name) => ({ name, rank: rankOf(queue, name) }))
    ranked.sort((left, right) => left.rank < right.rank ? -1 : 1)
    return new Set(ranked.slice(0, Math.ceil(names.length * SHARE)).map(({ name }) => name))
  }
  const membersOf = (queue: string): Set<string> => {
    const now = timers.monotonic()
    let selection = selections.get(queue)
    if (!selection || now - selection.at > SELECTION_MS) {
      selection = { at: now, members: select(queue) }
      selections.set(queue, selection)
    }
    return selection.members
  }
  return {
    crashed: (queue) => {
      crashesByQueue.set(queue, [...crashesByQueue.get(queue) ?? [], timers.monotonic()].slice(-CONFINED_AFTER))
    },
    permits: (queue, agent) => !isConfined(queue) || membersOf(queue).has(agent.name)
  }
}
