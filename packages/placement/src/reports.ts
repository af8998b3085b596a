import * as hosts from './hosts.ts'
import type * as placement from './interface.ts'
import type * as policies from './policy.ts'
import type * as queues from './queues.ts'

/** Shortest time in ms between two reports. */
const INTERVAL_MS = 10

interface Parts {
  hosts: hosts.Hosts
  queues: queues.Queues
  policy: policies.Policy
  /** Waiting tasks by level that a slot could start. */
  waiting: () => number[]
}

export interface Reports {
  /** Demand messages that are worth sending now. */
  due (now: number): placement.Report[]
  /** Slots wanted from one agent, for its heartbeat. */
  of (host: hosts.Host): number[]
  /** Next time in ms at which `due` may give reports. */
  deadline (): number | undefined
}

const sum = (counts: number[]): number => counts.reduce((total, count) => total + count, 0)

/** Slots of a worker that this entry does not hold and has not asked for. */
const available = (host: hosts.Host): number =>
  host.patient.out ? 0 : Math.max(0, host.worker.slots - hosts.heldBy(host) - host.wanted)

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
export const create = ({ hosts: workers, queues: all, policy, waiting: count }: Parts): Reports => {
  let nextAt = 0
  let pending = false

  /** Expected time in ms until the entry's own slots have started all waiting tasks. */
  const ownWait = (tasks: number): number => {
    let [running, work] = [0, 0]
    for (const type of all.all()) {
      running += type.running
      work += type.running * type.runTimes.mean()
    }
    return running === 0 ? Infinity : tasks * work / running / running
  }
  const plan = (waiting: number[]): placement.Report[] => {
    const tasks = sum(waiting)
    let outstanding = 0
    for (const host of workers.all()) outstanding += host.wanted
    let missing = Math.ceil(tasks * policy.reportFactor) - outstanding
    if (missing <= 0 || missing < outstanding / 4) return []
    const candidates = [...workers.all()].filter((host) => available(host) > 0)
      .sort((left, right) => available(right) - available(left))
    const each = Math.max(1, Math.ceil(missing / Math.max(1, candidates.length)))
    const reports: placement.Report[] = []
    for (const host of candidates) {
      if (missing <= 0) break
      const slots = Math.min(each, available(host), missing)
      host.wanted += slots
      missing -= slots
      reports.push({ link: host.link, waiting: share(waiting, host.wanted) })
    }
    return reports
  }
  return {
    due: (now) => {
      pending = false
      if (all.active.size === 0) return []
      const waiting = count()
      const tasks = sum(waiting)
      if (tasks === 0 || ownWait(tasks) < policy.reportWaitMs) return []
      pending = true
      if (now < nextAt) return []
      nextAt = now + INTERVAL_MS
      return plan(waiting)
    },
    of: (host) => {
      const waiting = count()
      const spread = Math.ceil(sum(waiting) * policy.reportFactor / Math.max(1, [...workers.all()].length))
      host.wanted = 0
      host.wanted = Math.min(spread, available(host))
      return host.wanted === 0 ? [] : share(waiting, host.wanted)
    },
    deadline: () => pending ? nextAt : undefined
  }
}
