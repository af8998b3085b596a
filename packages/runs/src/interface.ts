import type * as types from '@mustarddeck/types'
import type * as resources from './resources.ts'

/** Identifies a task across its attempts; the same when the caller submits the job again. */
export type TaskId = types.Branded<string, 'TaskId'>
export type WorkerId = types.Branded<string, 'WorkerId'>
/** Key that the caller chose for a job. */
export type JobKey = types.Branded<string, 'JobKey'>

/** One incarnation of a worker. */
export interface Worker {
  id: WorkerId
  /** Unix time in ms of the worker's start; identifies its incarnation under the same id. */
  bornMs: number
  service: string
  zone: string
  capacity: resources.Resources
  /** Machine type and rack. */
  labels: string[]
  /** The worker is leaving; no more tasks are started on it. */
  leaving: boolean
}

/** Identifies one start of a task on a worker. */
export interface RunId {
  task: TaskId
  /** Increases with each start of the task on one worker. */
  run: number
}

/**
 * How a run ended.
 * - `done`: successfully. `failed`: because of the task or the worker. `stopped`: on request.
 * - `lapsed`: its lease expired or the worker restarted or ended.
 * - `unstarted`: it never ran and never will run.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'unstarted'

/**
 * How likely a run has crashed its worker.
 * - `alone`: nothing else ran there.
 * - `possible`: the worker has not listed its runs since it started this one, or has since it started the last one.
 * - `beside`: the worker has listed its runs since then, but not since it started another one.
 */
export type Suspicion = 'alone' | 'possible' | 'beside'

/** The crash of one incarnation of a worker, as seen from one of its runs. */
export interface Crash {
  worker: WorkerId
  bornMs: number
  suspicion: Suspicion
}

export interface CrashedRun extends Crash {
  task: TaskId
  /** Queue of the task, if known. */
  queue?: string
}

/** Reason for which a worker refused to start a run. */
export type StartRefusal = 'no-room' | 'late' | 'outdated-run' | 'outdated-token' | 'unwell' | 'other-life' | 'invalid'

/** Reply to a start call; after `silent`, no response, the run may still start. */
export type StartReply = { kind: 'started' } | { kind: 'refused', reason: StartRefusal } | { kind: 'silent' }

export type StopReply = { kind: 'acknowledged' } | { kind: 'refused' } | { kind: 'silent' }

/** A worker's list of its runs. */
export interface Listing {
  /** The worker's steady clock in ms. */
  clockMs: number
  bornMs: number
  running: RunId[]
  /** In order of `number`. */
  ended: Array<RunId & { number: number, end: RunEnd }>
}

export type ListReply =
  | { kind: 'listing', listing: Listing }
  | { kind: 'refused', reason: 'outdated-token' | 'other-life' | 'unwell' }
  | { kind: 'silent' }

export interface Order extends RunId {
  spec: string
  /** Time in ms on the worker's clock at which the order expires and up to which it extends the worker's lease. */
  leaseUntilMs: number
  /** Fencing token; orders with a lower token than the worker has seen have no effect. */
  token: number
}

/**
 * Calls from an agent to its worker. A call without an answer may still take effect later. A call without a worker id
 * is for whichever worker answers.
 */
export abstract class WorkerCalls {
  abstract start (worker: WorkerId, order: Order, timeoutMs: number): Promise<StartReply>
  abstract stop (worker: WorkerId | undefined, run: RunId, token: number, timeoutMs: number): Promise<StopReply>
  /** Lists the runs, drops ended runs up to `lastSeen`, extends the lease, and waits up to `waitMs` for an end. */
  abstract list (worker: WorkerId | undefined, options: ListOptions): Promise<ListReply>
}

export interface ListOptions {
  token: number
  lastSeen: number
  leaseUntilMs: number | undefined
  waitMs: number
  timeoutMs: number
}
