import type * as clocks from '@mustarddeck/clock'
import * as workload from './workload.ts'

/** What happens to the fleet at a time. */
export type Fault =
  | { kind: 'fails-everything', worker: number, at: number, until?: number }
  | { kind: 'slow', worker: number, at: number, factor: number, until?: number }
  | { kind: 'rack-lost', rack: number, at: number }
  | { kind: 'entry-lost', entry: number, at: number }

/** Time in ms in which a worker that fails everything does so. */
const FAILURE_MS = 2
/** Time in ms after which the peers of a silent process take its links as down. */
export const LINK_TIMEOUT_MS = 3000

export type End =
  | { kind: 'complete' }
  | { kind: 'failed' }
  | { kind: 'refused', reason: string, final?: boolean }
  | { kind: 'cancelled' }
  /** The entry or worker that had the job is gone; what follows is up to recovery, not placement. */
  | { kind: 'lost' }

export interface Ended {
  job: workload.Job
  end: End
  /** Time in ms from the caller's request to the arrival of the outcome. */
  responseMs: number
  /** Less urgent work ran anywhere when the job was refused. */
  whileLessUrgent: boolean
}

/** Counts of one run. */
export interface Tally {
  ended: Ended[]
  messages: Map<string, number>
  /** Task starts that an agent refused, by reason. */
  rejected: Map<string, number>
  started: number
  /** Run time in ms per slot-holding interval, by type and team and by flood or not, within the window. */
  served: Map<string, number>
  /** Run time in ms within the window. */
  busyMs: number
  /** Tasks that a worker that fails everything has failed, and the times at which they did. */
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

export const increase = (counts: Map<string, number>, key: string, by = 1): void => {
  counts.set(key, (counts.get(key) ?? 0) + by)
}

export interface Fleet {
  clock: clocks.VirtualClock
  tally: Tally
  window: Window
  deployment: workload.Deployment
  /** Delivers after the latency between processes and counts the message, unless either end is dead then. */
  send (kind: string, from: Process, to: Process, deliver: () => void): void
  /** Time in ms of the last message between the two. */
  lastSent (from: Process, to: Process): number
  /** The caller's request reaches an entry. */
  arrive (job: workload.Job, deliver: () => void): void
  /** The outcome reaches the caller. */
  answer (job: workload.Job, end: End): void
  /** Runs a task on a worker; `ended` follows unless the worker dies. Returns a function that aborts it. */
  run (worker: Worker, job: workload.Job, index: number, ended: (failed: boolean, runMs: number) => void): () => void
}

export interface Process {
  dead: boolean
}

export interface Worker extends Process {
  index: number
  slowness: number
  failsEverything: boolean
  running: number
}

export const createWorker = (index: number): Worker =>
  ({ index, dead: false, slowness: 1, failsEverything: false, running: 0 })

export const create = (
  clock: clocks.VirtualClock, deployment: workload.Deployment, window: Window
): Fleet => {
  const tally = createTally()
  /** Running tasks by rank and by team. */
  const runningByRank = new Map<string, number>()
  const runningByTeam = new Map<string, number>()

  const sent = new Map<Process, Map<Process, number>>()

  const occupy = (job: workload.Job, by: 1 | -1): void => {
    increase(runningByRank, String(workload.rankOf(job.type)), by)
    increase(runningByTeam, job.team, by)
    const running = runningByTeam.get(job.team)!
    tally.mostRunning.set(job.team, Math.max(running, tally.mostRunning.get(job.team) ?? 0))
  }
  const lessUrgentRuns = (job: workload.Job): boolean => {
    const rank = workload.rankOf(job.type)
    return [...runningByRank].some(([other, count]) => Number(other) > rank && count > 0)
  }
  const account = (job: workload.Job, from: number): void => {
    const ms = Math.min(clock.monotonic(), window.untilMs) - Math.max(from, window.fromMs)
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
      sent.set(from, (sent.get(from) ?? new Map<Process, number>()).set(to, now))
      if (now >= window.fromMs && now < window.untilMs) increase(tally.messages, kind)
      clock.after(deployment.latencyMs, () => { if (!to.dead) deliver() })
    },
    lastSent: (from, to) => sent.get(from)?.get(to) ?? 0,
    arrive: (job, deliver) => { clock.after(deployment.callerLatencyMs, deliver) },
    answer: (job, end) => {
      const responseMs = clock.monotonic() + deployment.callerLatencyMs - job.at
      tally.ended.push({ job, end, responseMs, whileLessUrgent: end.kind === 'refused' && lessUrgentRuns(job) })
    },
    run: (worker, job, index, ended) => {
      const from = clock.monotonic()
      if (from >= window.fromMs && from < window.untilMs) tally.started++
      worker.running++
      occupy(job, 1)
      const failed = worker.failsEverything
      const runMs = failed ? FAILURE_MS : job.runMs[index]! * worker.slowness
      let over = false
      const end = (): boolean => {
        if (over) return false
        over = true
        worker.running--
        occupy(job, -1)
        account(job, from)
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

/** Applies faults to workers and entries at their times; `lost` is told of each process that dies. */
export const schedule = (
  clock: clocks.VirtualClock, faults: Fault[], workers: Worker[], entries: Process[], perRack: number,
  lost: { worker (index: number): void, entry (index: number): void }
): void => {
  for (const fault of faults) {
    clock.after(fault.at, () => {
      switch (fault.kind) {
        case 'fails-everything':
          workers[fault.worker]!.failsEverything = true
          if (fault.until) clock.after(fault.until - fault.at, () => { workers[fault.worker]!.failsEverything = false })
          return
        case 'slow':
          workers[fault.worker]!.slowness = fault.factor
          if (fault.until) clock.after(fault.until - fault.at, () => { workers[fault.worker]!.slowness = 1 })
          return
        case 'rack-lost':
          for (const worker of workers) {
            if (Math.floor(worker.index / perRack) !== fault.rack) continue
            worker.dead = true
            lost.worker(worker.index)
          }
          return
        case 'entry-lost':
          entries[fault.entry]!.dead = true
          lost.entry(fault.entry)
      }
    })
  }
}
