import * as hosts from './hosts.ts'
import type * as placement from './interface.ts'
import type * as queues from './queues.ts'

/** Shortest time in ms between two reports. */
const INTERVAL_MS = 20
/** Parts of its even part of the slots below which, and up to which, an entry asks promptly. */
const SHORT = 0.5
const REFILL = 0.75
/** Longest wait in ms for the own slots of an entry that is short of them, or while a flood takes what is left. */
const PROMPT_WAIT_MS = 20

/** Even part of the slots below which an entry always asks promptly: so few slots differ much from what it needs. */
const SMALL_PART = 8
/** Interval in ms at which workers out of rotation are looked at for a trial task. */
const TRIAL_CHECK_MS = 1000

interface Parts {
  hosts: hosts.Hosts
  queues: queues.Queues
  /** Waiting tasks by level that a slot could start. */
  waiting: () => number[]
  /** True if the worker is out of rotation and a trial task is due. */
  wantsTrial: (host: hosts.Host, now: number) => boolean
  /** This entry's even part of the fleet's slots. */
  fairSlots: () => number
  /** True while a flood takes all slots that other work leaves. */
  isPressed: () => boolean
  /** Wait in ms of a level for the entry's own slots above which it asks for more than its even part. */
  waitMs: (level: number) => number
}

export interface Reports {
  /** Demand messages that are worth sending now. */
  due (now: number): placement.Report[]
  /** Slots wanted from one agent, for its heartbeat. */
  of (host: hosts.Host): number[]
  /** Next time in ms at which `due` may give reports. */
  deadline (): number | undefined
}

/** Slots of a worker that this entry does not hold and has not asked for. */
const available = (host: hosts.Host): number =>
  host.health.out ? 0 : Math.max(0, host.worker.slots - hosts.heldBy(host) - host.wanted)

/** Takes `slots` of the waiting tasks, the most urgent first. */
const share = (waiting: number[], slots: number): number[] => {
  let left = slots
  return waiting.map((count) => {
    const taken = Math.min(count, left)
    left -= taken
    return taken
  })
}

/**
 * Decides when agents hear of waiting work. Each report costs messages and moves slots away from other entries, so
 * none is sent for work that the entry's own slots start soon, and each agent is asked for a part only.
 */
export const create = (
  { hosts: workers, queues: all, waiting: count, wantsTrial, fairSlots, isPressed, waitMs }: Parts
): Reports => {
  let nextAt = 0
  let trialCheckAt = 0
  let pending = false

  /** Mean run time in ms and number of the entry's running tasks. */
  const pace = (): [number, number] => {
    let [running, work] = [0, 0]
    for (const type of all.all()) {
      running += type.running
      work += type.running * type.runTimes.mean()
    }
    return [running === 0 ? 0 : work / running, running]
  }
  /** Slots missing to start the waiting tasks of every level in time. */
  const missing = (waiting: number[]): number => {
    const [meanMs, running] = pace()
    const even = fairSlots()
    const short = workers.held() < even * SHORT ? Math.floor(even * REFILL) - workers.held() : 0
    const pressed = isPressed() || even < SMALL_PART
    let [ahead, most] = [0, 0]
    for (const [level, tasks] of waiting.entries()) {
      ahead += tasks
      if (tasks === 0) continue
      const slotsFor = (longestMs: number): number =>
        running === 0 ? ahead : ahead * meanMs / longestMs - running
      const prompt = slotsFor(PROMPT_WAIT_MS)
      const needed = pressed ? prompt : Math.max(Math.min(short, prompt), slotsFor(waitMs(level)))
      most = Math.max(most, Math.min(ahead, needed))
    }
    return Math.ceil(most)
  }
  const plan = (waiting: number[], slots: number): placement.Report[] => {
    let outstanding = 0
    for (const host of workers.all()) outstanding += host.wanted
    let left = slots - outstanding
    if (left <= 0 || left < outstanding / 4) return []
    const candidates = [...workers.all()].filter((host) => available(host) > 0)
      .sort((first, second) => available(second) - available(first))
    const each = Math.max(1, Math.ceil(left / Math.max(1, candidates.length)))
    const reports: placement.Report[] = []
    for (const host of candidates) {
      if (left <= 0) break
      const asked = Math.min(each, available(host), left)
      host.wanted += asked
      left -= asked
      reports.push({ link: host.link, waiting: share(waiting, host.wanted) })
    }
    return reports
  }
  /** Takes back what was asked for: a slot that comes in vain costs more messages than this. */
  const cancel = (): placement.Report[] => {
    const reports: placement.Report[] = []
    for (const host of workers.all()) {
      if (host.wanted === 0 || host.health.out) continue
      host.wanted = 0
      reports.push({ link: host.link, waiting: [] })
    }
    return reports
  }
  /** Demand of one slot for the least urgent work, from which a worker out of rotation gets its trial tasks. */
  const trialDemand = (): number[] => [...new Array<number>(Math.max(0, all.levels() - 1)).fill(0), 1]
  /** An entry that holds no slot of a worker out of rotation could never take it back. */
  const trials = (now: number): placement.Report[] => {
    if (now < trialCheckAt) return []
    trialCheckAt = now + TRIAL_CHECK_MS
    const reports: placement.Report[] = []
    for (const host of workers.all()) {
      if (!wantsTrial(host, now) || hosts.heldBy(host) > 0 || host.wanted > 0) continue
      host.wanted = 1
      reports.push({ link: host.link, waiting: trialDemand() })
    }
    return reports
  }
  const ordinary = (now: number): placement.Report[] => {
    pending = false
    if (all.active.size === 0) return cancel()
    const waiting = count()
    const slots = missing(waiting)
    if (slots <= 0) return []
    pending = true
    if (now < nextAt) return []
    nextAt = now + INTERVAL_MS
    return plan(waiting, slots)
  }
  return {
    due: (now) => [...trials(now), ...ordinary(now)],
    of: (host) => {
      if (host.health.out) return host.wanted === 0 ? [] : trialDemand()
      const waiting = count()
      const spread = Math.ceil(missing(waiting) / Math.max(1, workers.count()))
      host.wanted = 0
      host.wanted = Math.min(spread, available(host))
      return host.wanted === 0 ? [] : share(waiting, host.wanted)
    },
    deadline: () => pending ? nextAt : undefined
  }
}
