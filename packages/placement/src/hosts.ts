import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as health from './health.ts'
import type * as placement from './interface.ts'

/** Workers considered for one task, so that a fleet of thousands is sampled and not scanned. */
const SAMPLE_SIZE = 12
/** Time in ms for which a worker gets less or no work after a rejection whose cause persists. */
const REJECTION_BACKOFF_MS = 200

/** A worker linked to this entry, with its grants and the use that this entry makes of it. */
export interface Host {
  link: types.LinkId
  worker: placement.Worker
  /** Unused granted slots. */
  granted: number
  /** Resources of the tasks that this entry runs there. */
  used: types.Resources
  health: health.WorkerHealth
  /** Slots requested from the agent and not granted yet. */
  requested: number
  /** Index into the list of hosts with unused slots, -1 if not listed. */
  openIndex: number
  /** Time in ms before which no task starts here that exceeds this entry's share of the worker's resources. */
  resourceBackoffUntil: number
  /** Time in ms before which no task starts here. */
  backoffUntil: number
}

export interface Requirements {
  resources: types.Resources
  registeredOnly: boolean
  /** An urgent task serves as a trial of a worker out of rotation only if no other task has for a long time. */
  urgent: boolean
}

export const heldBy = (host: Host): number => host.granted + host.health.running

export const fits = (capacity: types.Resources, needed: types.Resources, used?: types.Resources, share = 1): boolean =>
  needed.cores + (used?.cores ?? 0) <= capacity.cores * share &&
  needed.memoryMb + (used?.memoryMb ?? 0) <= capacity.memoryMb * share &&
  needed.accelerators + (used?.accelerators ?? 0) <= capacity.accelerators * share

export interface Hosts {
  get (link: types.LinkId): Host | undefined
  all (): Iterable<Host>
  add (link: types.LinkId, worker: placement.Worker): void
  remove (link: types.LinkId): void
  /** Adds unused slots, or removes them if `slots` is negative. */
  grant (host: Host, slots: number): void
  startTask (host: Host, resources: types.Resources): void
  /** Ends the use of a slot and its resources; the slot returns to the agent unless `grant` follows. */
  endTask (host: Host, resources: types.Resources): void
  /** Defers tasks beyond the entry's resource share, after a rejection for lack of resources. */
  backOffResources (host: Host, now: number): void
  /** Defers all tasks, after a rejection because the worker can start nothing. */
  backOff (host: Host, now: number): void
  /** Earliest end in ms of a backoff after a rejection; undefined for none. */
  nextBackoffEnd (now: number): number | undefined
  /** Number of linked workers. */
  count (): number
  /** Unused slots of all workers, including those out of rotation. */
  unused (): number
  /** Unused and used slots that this entry holds on all linked workers. */
  held (): number
  /** Total slots of all linked workers. */
  slots (): number
  choose (requirements: Requirements, now: number): Host | undefined
}

export const create = (
  { random, health: healthTests }: { random: random.Random, health: health.Health }
): Hosts => {
  const hosts = new Map<types.LinkId, Host>()
  /** Hosts with unused slots, unordered. */
  const openHosts: Host[] = []
  /** Times in ms at which backoffs end, ascending. */
  const backoffEnds: number[] = []
  let unused = 0
  let held = 0
  let slots = 0

  const updateOpenHosts = (host: Host): void => {
    if (host.granted > 0 && host.openIndex < 0) host.openIndex = openHosts.push(host) - 1
    if (host.granted > 0 || host.openIndex < 0) return
    const lastHost = openHosts.pop()!
    if (lastHost !== host) {
      openHosts[host.openIndex] = lastHost
      lastHost.openIndex = host.openIndex
    }
    host.openIndex = -1
  }
  const grant = (host: Host, change: number): void => {
    host.granted += change
    unused += change
    held += change
    updateOpenHosts(host)
  }
  const changeUsed = ({ used }: Host, { cores, memoryMb, accelerators }: types.Resources, sign: 1 | -1): void => {
    used.cores += sign * cores
    used.memoryMb += sign * memoryMb
    used.accelerators += sign * accelerators
  }

  /** Suitability of a host, lower is better: Infinity if it cannot run the task, 0 or less if it is good enough. */
  const score = (host: Host, { resources, registeredOnly, urgent }: Requirements, now: number): number => {
    const { worker, used, health: workerHealth } = host
    if (registeredOnly && !worker.registered) return Infinity
    if (!fits(worker.resources, resources, used)) return Infinity
    if (now < host.backoffUntil) return Infinity
    if (healthTests.isTrialDue(workerHealth, now, urgent)) return -Infinity
    if (!healthTests.accepts(workerHealth)) return Infinity
    // The use by other entries is unknown here. Tasks within the entry's share, in proportion to its slots, always fit.
    const exceedsShare = !fits(worker.resources, resources, used, heldBy(host) / worker.slots)
    if (exceedsShare && now < host.resourceBackoffUntil) return Infinity
    return exceedsShare ? 1 : 0
  }
  const chooseAmong = (requirements: Requirements, now: number, limit: number): Host | undefined => {
    const start = openHosts.length > 1 ? random.integer(0, openHosts.length - 1) : 0
    let [chosen, lowestScore]: [Host | undefined, number] = [undefined, Infinity]
    for (let step = 0; step < limit; step++) {
      const host = openHosts[(start + step) % openHosts.length]!
      const hostScore = score(host, requirements, now)
      if (hostScore <= 0) return host
      if (hostScore < lowestScore) [chosen, lowestScore] = [host, hostScore]
    }
    return chosen
  }
  return {
    get: (link) => hosts.get(link),
    all: () => hosts.values(),
    add: (link, worker) => {
      const workerHealth = health.createWorkerHealth()
      const used = { cores: 0, memoryMb: 0, accelerators: 0 }
      hosts.set(link, {
        link,
        worker,
        granted: 0,
        used,
        health: workerHealth,
        requested: 0,
        openIndex: -1,
        resourceBackoffUntil: 0,
        backoffUntil: 0
      })
      healthTests.admit(workerHealth)
      slots += worker.slots
    },
    remove: (link) => {
      const host = hosts.get(link)
      if (!host) return
      grant(host, -host.granted)
      held -= host.health.running
      slots -= host.worker.slots
      healthTests.remove(host.health)
      hosts.delete(link)
    },
    grant,
    startTask: (host, resources) => {
      grant(host, -1)
      held++
      host.health.running++
      changeUsed(host, resources, 1)
    },
    endTask: (host, resources) => {
      held--
      host.health.running--
      changeUsed(host, resources, -1)
    },
    backOffResources: (host, now) => {
      host.resourceBackoffUntil = now + REJECTION_BACKOFF_MS
      backoffEnds.push(host.resourceBackoffUntil)
    },
    backOff: (host, now) => {
      host.backoffUntil = now + REJECTION_BACKOFF_MS
      backoffEnds.push(host.backoffUntil)
    },
    nextBackoffEnd: (now) => {
      while (backoffEnds.length > 0 && backoffEnds[0]! <= now) backoffEnds.shift()
      return backoffEnds[0]
    },
    count: () => hosts.size,
    unused: () => unused,
    held: () => held,
    slots: () => slots,
    choose: (requirements, now) => {
      if (openHosts.length <= SAMPLE_SIZE) return chooseAmong(requirements, now, openHosts.length)
      return chooseAmong(requirements, now, SAMPLE_SIZE) ?? chooseAmong(requirements, now, openHosts.length)
    }
  }
}
