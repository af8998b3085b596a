import type * as clocks from '@mustarddeck/clock'
import * as workload from './workload.ts'

/** A fault of a worker, rack or entry at a time in ms. */
export type Fault =
  | { kind: 'fails-everything', worker: number, at: number, until?: number }
  | { kind: 'slow', worker: number, at: number, factor: number, until?: number }
  | { kind: 'rack-lost', rack: number, at: number }
  | { kind: 'entry-lost', entry: number, at: number }

/** Run time in ms of a task on a worker that fails all tasks. */
const FAILED_RUN_MS = 2
/** Time in ms after which the peers of a process that no longer responds close its links. */
export const LINK_TIMEOUT_MS = 3000

/** Final outcome of a job. */
export type Outcome =
  | { kind: 'complete' }
  | { kind: 'failed' }
  | { kind: 'refused', reason: string, final?: boolean }
  | { kind: 'cancelled' }
  /** The entry or a worker of the job is lost; recovery is outside placement and not simulated. */
  | { kind: 'lost' }

export interface EndedJob {
  job: workload.Job
  end: Outcome
  /** Time in ms from the caller's request to the arrival of the outcome. */
  responseMs: number
  /** True if the job was refused while less urgent work was running on any worker. */
  lessUrgentRunning: boolean
}

/** Counts of one run. */
export interface Tally {
  ended: EndedJob[]
  messages: Map<string, number>
  /** Task starts that an agent refused, by reason. */
  rejected: Map<string, number>
  started: number
  /** Run time in ms within the window, by type, by team, and by flood or other work. */
  served: Map<string, number>
  /** Total run time in ms within the window. */
  busyMs: number
  /** Times in ms at which tasks failed on a worker that fails all tasks. */
  failedByWorker: number[]
  decisions: { at: number, event: string, entry: number, fields: Record<string, string | number | boolean> }[]
  /** Largest number of running tasks by team. */
  mostRunning: Map<string, number>
}

export interface Window {
  fromMs: number
  untilMs: number
}

export const createTally = (): Tally => ({
  ended: [],
  messages: new Map(),
  rejected: new Map(),
  started: 0,
  served: new Map(),
  busyMs: 0,
  failedByWorker: [],
  decisions: [],
  mostRunning: new Map()
})

export const increase = (counts: Map<string, number>, key: string, amount = 1): void => {
  counts.set(key, (counts.get(key) ?? 0) + amount)
}

/** The simulated network, callers and workers. */
export interface Fleet {
  clock: clocks.VirtualClock
  tally: Tally
  window: Window
  deployment: workload.Deployment
  /** Counts the message and delivers it after the latency, unless the sender is dead or the receiver is by then. */
  send (kind: string, from: Process, to: Process, deliver: () => void): void
  /** Time in ms of the last message from one process to the other. */
  lastSent (from: Process, to: Process): number
  /** Delivers a caller's request to an entry after the caller latency. */
  request (job: workload.Job, deliver: () => void): void
  /** Records the outcome and the response time that the caller sees. */
  respond (job: workload.Job, end: Outcome): void
  /** Runs a task on a worker and calls `ended` unless the worker dies. Returns a function that aborts the task. */
  run (worker: Worker, job: workload.Job, index: number, ended: (failed: boolean, runMs: number) => void): () => void
}

export interface Process {
  dead: boolean
}

export interface Worker extends Process {
  index: number
  /** Factor on the run time of all tasks; 1 for a healthy worker. */
  runTimeFactor: number
  failsEverything: boolean
  running: number
}

export const createWorker = (index: number): Worker =>
  ({ index, dead: false, runTimeFactor: 1, failsEverything: false, running: 0 })

export const create = (
  clock: clocks.VirtualClock, deployment: workload.Deployment, window: Window
): Fleet => {
  const tally = createTally()
  /** Running tasks by rank and by team. */
  const runningByRank = new Map<string, number>()
  const runningByTeam = new Map<string, number>()

  const lastSentTimes = new Map<Process, Map<Process, number>>()

  const countRunning = (job: workload.Job, change: 1 | -1): void => {
    increase(runningByRank, String(workload.rankOf(job.type)), change)
    increase(runningByTeam, job.team, change)
    const running = runningByTeam.get(job.team)!
    tally.mostRunning.set(job.team, Math.max(running, tally.mostRunning.get(job.team) ?? 0))
  }
  const isLessUrgentRunning = (job: workload.Job): boolean => {
    const rank = workload.rankOf(job.type)
    return [...runningByRank].some(([other, count]) => Number(other) > rank && count > 0)
  }
  const recordRunTime = (job: workload.Job, startedAt: number): void => {
    const ms = Math.min(clock.monotonic(), window.untilMs) - Math.max(startedAt, window.fromMs)
    if (ms <= 0) return
    tally.busyMs += ms
    increase(tally.served, `type ${job.type}`, ms)
    increase(tally.served, `team ${job.team}`, ms)
    increase(tally.served, job.flood ? 'flood' : 'other', ms)
  }
  return {
    clock,
    tally,
    window,
    deployment,
    send: (kind, from, to, deliver) => {
      if (from.dead) return
      const now = clock.monotonic()
      lastSentTimes.set(from, (lastSentTimes.get(from) ?? new Map<Process, number>()).set(to, now))
      if (now >= window.fromMs && now < window.untilMs) increase(tally.messages, kind)
      clock.after(deployment.latencyMs, () => { if (!to.dead) deliver() })
    },
    lastSent: (from, to) => lastSentTimes.get(from)?.get(to) ?? 0,
    request: (job, deliver) => { clock.after(deployment.callerLatencyMs, deliver) },
    respond: (job, end) => {
      const responseMs = clock.monotonic() + deployment.callerLatencyMs - job.at
      tally.ended.push({ job, end, responseMs, lessUrgentRunning: end.kind === 'refused' && isLessUrgentRunning(job) })
    },
    run: (worker, job, index, ended) => {
      const startedAt = clock.monotonic()
      if (startedAt >= window.fromMs && startedAt < window.untilMs) tally.started++
      worker.running++
      countRunning(job, 1)
      const failed = worker.failsEverything
      const runMs = failed ? FAILED_RUN_MS : job.runMs[index]! * worker.runTimeFactor
      let isOver = false
      const end = (): boolean => {
        if (isOver) return false
        isOver = true
        worker.running--
        countRunning(job, -1)
        recordRunTime(job, startedAt)
        return !worker.dead
      }
      clock.after(runMs, () => {
        if (!end()) return
        if (failed) tally.failedByWorker.push(clock.monotonic())
        ended(failed, runMs)
      })
      return () => { end() }
    }
  }
}

/** Applies faults to workers and entries at their times; `onLoss` is called for each process that dies. */
export const scheduleFaults = (
  clock: clocks.VirtualClock, faults: Fault[], workers: Worker[], entries: Process[], perRack: number,
  onLoss: { worker (index: number): void, entry (index: number): void }
): void => {
  for (const fault of faults) {
    clock.after(fault.at, () => {
      switch (fault.kind) {
        case 'fails-everything':
          workers[fault.worker]!.failsEverything = true
          if (fault.until) clock.after(fault.until - fault.at, () => { workers[fault.worker]!.failsEverything = false })
          return
        case 'slow':
          workers[fault.worker]!.runTimeFactor = fault.factor
          if (fault.until) clock.after(fault.until - fault.at, () => { workers[fault.worker]!.runTimeFactor = 1 })
          return
        case 'rack-lost':
          for (const worker of workers) {
            if (Math.floor(worker.index / perRack) !== fault.rack) continue
            worker.dead = true
            onLoss.worker(worker.index)
          }
          return
        case 'entry-lost':
          entries[fault.entry]!.dead = true
          onLoss.entry(fault.entry)
      }
    })
  }
}
