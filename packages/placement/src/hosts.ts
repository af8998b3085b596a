import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as health from './health.ts'
import type * as placement from './interface.ts'

/** Workers looked at for one task; a fleet of thousands is sampled. */
const SAMPLE = 12
/** Time in ms for which a worker gets less or no work after it rejected a task for a reason that lasts. */
const REJECTION_BACKOFF_MS = 200

export interface Host {
  link: types.LinkId
  worker: placement.Worker
  /** Unused granted slots. */
  granted: number
  used: types.Resources
  health: health.WorkerHealth
  /** Slots asked of the agent and not granted yet. */
  wanted: number
  /** Position in the list of hosts with unused slots, -1 if not listed. */
  position: number
  /** No task that needs more than its share of resources starts here before this time. */
  crowdedUntil: number
  /** No task starts here before this time. */
  blockedUntil: number
}

export interface Need {
  resources: types.Resources
  registeredOnly: boolean
  /** Urgent tasks are trials of a worker out of rotation only where no other comes for long. */
  urgent: boolean
}

export const heldBy = (host: Host): number => host.granted + host.health.running

export const fits = (has: types.Resources, needed: types.Resources, used?: types.Resources, share = 1): boolean =>
  needed.cores + (used?.cores ?? 0) <= has.cores * share &&
  needed.memoryMb + (used?.memoryMb ?? 0) <= has.memoryMb * share &&
  needed.accelerators + (used?.accelerators ?? 0) <= has.accelerators * share

export interface Hosts {
  get (link: types.LinkId): Host | undefined
  all (): Iterable<Host>
  add (link: types.LinkId, worker: placement.Worker): void
  remove (link: types.LinkId): void
  /** Adds unused slots, or removes them with a negative number. */
  grant (host: Host, slots: number): void
  take (host: Host, resources: types.Resources): void
  /** The task's slot is gone unless `grant` follows. */
  release (host: Host, resources: types.Resources): void
  /** The worker rejected a task for lack of resources. */
  crowded (host: Host, now: number): void
  /** The worker can start nothing now. */
  blocked (host: Host, now: number): void
  /** Earliest time in ms at which a worker may get work again after a rejection; undefined for none. */
  wakeAt (now: number): number | undefined
  /** Number of linked workers. */
  count (): number
  /** Unused slots on workers in rotation or not. */
  unused (): number
  /** Granted and used slots of all linked workers. */
  held (): number
  /** Slots of all linked workers. */
  slots (): number
  choose (need: Need, now: number): Host | undefined
}

export const create = (
  { random, health: checks }: { random: random.Random, health: health.Health }
): Hosts => {
  const hosts = new Map<types.LinkId, Host>()
  /** Hosts with unused slots, in no order. */
  const open: Host[] = []
  /** Ends of the backoffs, in order. */
  const wakeTimes: number[] = []
  let unused = 0
  let held = 0
  let slots = 0

  const list = (host: Host): void => {
    if (host.granted > 0 && host.position < 0) host.position = open.push(host) - 1
    if (host.granted > 0 || host.position < 0) return
    const last = open.pop()!
    if (last !== host) {
      open[host.position] = last
      last.position = host.position
    }
    host.position = -1
  }
  const grant = (host: Host, change: number): void => {
    host.granted += change
    unused += change
    held += change
    list(host)
  }
  const account = ({ used }: Host, { cores, memoryMb, accelerators }: types.Resources, sign: 1 | -1): void => {
    used.cores += sign * cores
    used.memoryMb += sign * memoryMb
    used.accelerators += sign * accelerators
  }

  /** Rank of a host for a task: Infinity if it cannot take it, 0 or less if there is no reason to look further. */
  const score = (host: Host, { resources, registeredOnly, urgent }: Need, now: number): number => {
    const { worker, used, health: own } = host
    if (registeredOnly && !worker.registered) return Infinity
    if (!fits(worker.resources, resources, used)) return Infinity
    if (now < host.blockedUntil) return Infinity
    if (checks.wantsTrial(own, now, urgent)) return -Infinity
    if (!checks.accepts(own)) return Infinity
    // Other entries' tasks are not known here; within its share of slots an entry's tasks always fit.
    const crowded = !fits(worker.resources, resources, used, heldBy(host) / worker.slots)
    if (crowded && now < host.crowdedUntil) return Infinity
    return crowded ? 1 : 0
  }
  const scan = (need: Need, now: number, limit: number): Host | undefined => {
    const start = open.length > 1 ? random.integer(0, open.length - 1) : 0
    let [chosen, lowest]: [Host | undefined, number] = [undefined, Infinity]
    for (let step = 0; step < limit; step++) {
      const host = open[(start + step) % open.length]!
      const value = score(host, need, now)
      if (value <= 0) return host
      if (value < lowest) [chosen, lowest] = [host, value]
    }
    return chosen
  }
  return {
    get: (link) => hosts.get(link),
    all: () => hosts.values(),
    add: (link, worker) => {
      const own = health.createWorkerHealth()
      const used = { cores: 0, memoryMb: 0, accelerators: 0 }
      hosts.set(link, {
        link, worker, granted: 0, used, health: own, wanted: 0, position: -1, crowdedUntil: 0, blockedUntil: 0
      })
      checks.admit(own)
      slots += worker.slots
    },
    remove: (link) => {
      const host = hosts.get(link)
      if (!host) return
      grant(host, -host.granted)
      held -= host.health.running
      slots -= host.worker.slots
      checks.remove(host.health)
      hosts.delete(link)
    },
    grant,
    take: (host, resources) => {
      grant(host, -1)
      held++
      host.health.running++
      account(host, resources, 1)
    },
    release: (host, resources) => {
      held--
      host.health.running--
      account(host, resources, -1)
    },
    crowded: (host, now) => {
      host.crowdedUntil = now + REJECTION_BACKOFF_MS
      wakeTimes.push(host.crowdedUntil)
    },
    blocked: (host, now) => {
      host.blockedUntil = now + REJECTION_BACKOFF_MS
      wakeTimes.push(host.blockedUntil)
    },
    wakeAt: (now) => {
      while (wakeTimes.length > 0 && wakeTimes[0]! <= now) wakeTimes.shift()
      return wakeTimes[0]
    },
    count: () => hosts.size,
    unused: () => unused,
    held: () => held,
    slots: () => slots,
    choose: (need, now) => {
      if (open.length <= SAMPLE) return scan(need, now, open.length)
      return scan(need, now, SAMPLE) ?? scan(need, now, open.length)
    }
  }
}
