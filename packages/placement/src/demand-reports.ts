import * as hosts from './hosts.ts'
import type * as placement from './interface.ts'
import type * as queues from './queues.ts'

/** Shortest time in ms between two rounds of reports. */
const REPORT_INTERVAL_MS = 20
/** Share of its even share of slots below which an entry requests slots promptly. */
const LOW_SLOT_SHARE = 0.5
/** Share of its even share of slots up to which an entry requests slots promptly. */
const REFILL_SLOT_SHARE = 0.75
/** Expected wait in ms for the entry's own slots above which it requests more, when it reports promptly. */
const PROMPT_WAIT_MS = 20

/** Even share of slots below which an entry always reports promptly: so few slots often differ from its demand. */
const SMALL_EVEN_SHARE = 8
/** Interval in ms between checks for workers out of rotation that are due for a trial task. */
const TRIAL_CHECK_INTERVAL_MS = 1000

interface Parts {
  hosts: hosts.Hosts
  queues: queues.Queues
  /** Waiting tasks by level that could start if a slot were free. */
  waitingByLevel: () => number[]
  /** True if the worker is out of rotation and a trial task is due. */
  isTrialDue: (host: hosts.Host, now: number) => boolean
  /** This entry's even share of the fleet's slots. */
  evenShare: () => number
  /** True while a flood takes all slots that other work leaves free. */
  hasFlood: () => boolean
  /** Expected wait in ms of a level for the entry's own slots above which it requests more than its even share. */
  reportThresholdMs: (level: number) => number
}

export interface Reports {
  /** Demand messages to send now. */
  due (now: number): placement.DemandReport[]
  /** Demand by level for the next heartbeat to one agent. */
  demandOf (host: hosts.Host): number[]
  /** Time in ms at which `due` may next return reports; undefined for none. */
  deadline (): number | undefined
}

/** Slots of a worker that this entry neither holds nor has requested; 0 for a worker out of rotation. */
const availableSlots = (host: hosts.Host): number =>
  host.health.out ? 0 : Math.max(0, host.worker.slots - hosts.heldBy(host) - host.requested)

/** Picks up to `slots` of the waiting tasks, the most urgent first, and returns their counts by level. */
const takeMostUrgent = (waiting: number[], slots: number): number[] => {
  let remaining = slots
  return waiting.map((count) => {
    const taken = Math.min(count, remaining)
    remaining -= taken
    return taken
  })
}

/**
 * Decides when to report demand to agents. Each report costs messages and moves slots away from other entries, so none
 * is sent for work that the entry's own slots will start soon, and the request is divided among the agents.
 */
export const create = (
  { hosts: workers, queues: allQueues, waitingByLevel, isTrialDue, evenShare, hasFlood, reportThresholdMs }: Parts
): Reports => {
  let nextReportAt = 0
  let nextTrialCheckAt = 0
  let isReportPending = false

  /** Expected mean run time in ms and number of the entry's running tasks. */
  const runningTasks = (): [number, number] => {
    let [running, totalMs] = [0, 0]
    for (const type of allQueues.all()) {
      running += type.running
      totalMs += type.running * type.runTimes.mean()
    }
    return [running === 0 ? 0 : totalMs / running, running]
  }
  /** Additional slots needed to start the waiting tasks of every level in time. */
  const missingSlots = (waiting: number[]): number => {
    const [meanMs, running] = runningTasks()
    const evenSlots = evenShare()
    const refillSlots = workers.held() < evenSlots * LOW_SLOT_SHARE
      ? Math.floor(evenSlots * REFILL_SLOT_SHARE) - workers.held()
      : 0
    const reportsPromptly = hasFlood() || evenSlots < SMALL_EVEN_SHARE
    let [tasksSoFar, maxNeeded] = [0, 0]
    for (const [level, tasks] of waiting.entries()) {
      tasksSoFar += tasks
      if (tasks === 0) continue
      const slotsFor = (maxWaitMs: number): number =>
        running === 0 ? tasksSoFar : tasksSoFar * meanMs / maxWaitMs - running
      const promptSlots = slotsFor(PROMPT_WAIT_MS)
      const needed = reportsPromptly
        ? promptSlots
        : Math.max(Math.min(refillSlots, promptSlots), slotsFor(reportThresholdMs(level)))
      maxNeeded = Math.max(maxNeeded, Math.min(tasksSoFar, needed))
    }
    return Math.ceil(maxNeeded)
  }
  const distributeRequests = (waiting: number[], slots: number): placement.DemandReport[] => {
    let outstanding = 0
    for (const host of workers.all()) outstanding += host.requested
    let remaining = slots - outstanding
    if (remaining <= 0 || remaining < outstanding / 4) return []
    const candidates = [...workers.all()].filter((host) => availableSlots(host) > 0)
      .sort((first, second) => availableSlots(second) - availableSlots(first))
    const slotsPerHost = Math.max(1, Math.ceil(remaining / Math.max(1, candidates.length)))
    const reports: placement.DemandReport[] = []
    for (const host of candidates) {
      if (remaining <= 0) break
      const requestedNow = Math.min(slotsPerHost, availableSlots(host), remaining)
      host.requested += requestedNow
      remaining -= requestedNow
      reports.push({ link: host.link, waiting: takeMostUrgent(waiting, host.requested) })
    }
    return reports
  }
  /** Cancels outstanding requests: a grant that is no longer needed costs more messages than the cancellation. */
  const cancelRequests = (): placement.DemandReport[] => {
    const reports: placement.DemandReport[] = []
    for (const host of workers.all()) {
      if (host.requested === 0 || host.health.out) continue
      host.requested = 0
      reports.push({ link: host.link, waiting: [] })
    }
    return reports
  }
  /** Demand for one slot at the lowest priority, which is used for a trial task. */
  const trialDemand = (): number[] => [...new Array<number>(Math.max(0, allQueues.levels() - 1)).fill(0), 1]
  /** Requests a slot for a due trial task: without one, a worker out of rotation could never return. */
  const trialReports = (now: number): placement.DemandReport[] => {
    if (now < nextTrialCheckAt) return []
    nextTrialCheckAt = now + TRIAL_CHECK_INTERVAL_MS
    const reports: placement.DemandReport[] = []
    for (const host of workers.all()) {
      if (!isTrialDue(host, now) || hosts.heldBy(host) > 0 || host.requested > 0) continue
      host.requested = 1
      reports.push({ link: host.link, waiting: trialDemand() })
    }
    return reports
  }
  const backlogReports = (now: number): placement.DemandReport[] => {
    isReportPending = false
    if (allQueues.active.size === 0) return cancelRequests()
    const waiting = waitingByLevel()
    const slots = missingSlots(waiting)
    if (slots <= 0) return []
    isReportPending = true
    if (now < nextReportAt) return []
    nextReportAt = now + REPORT_INTERVAL_MS
    return distributeRequests(waiting, slots)
  }
  return {
    due: (now) => [...trialReports(now), ...backlogReports(now)],
    demandOf: (host) => {
      if (host.health.out) return host.requested === 0 ? [] : trialDemand()
      const waiting = waitingByLevel()
      const requested = Math.ceil(missingSlots(waiting) / Math.max(1, workers.count()))
      host.requested = 0
      host.requested = Math.min(requested, availableSlots(host))
      return host.requested === 0 ? [] : takeMostUrgent(waiting, host.requested)
    },
    deadline: () => isReportPending ? nextReportAt : undefined
  }
}
