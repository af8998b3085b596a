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

/**
 * Lease that a call requests from one incarnation of a worker. Its expiry is a time on that incarnation's clock. The
 * clock of the next one begins anew, so that the same expiry would lie far ahead there and gain the longest lease.
 */
export interface LeaseRequest {
  bornMs: number
  /** Expiry in ms on the worker's clock. */
  untilMs: number
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

/** Reason for which a run is not started. `unreached`: it is not known which incarnation answers; nothing was sent. */
export type StartRefusal =
  'no-room' | 'late' | 'outdated-run' | 'outdated-token' | 'unwell' | 'other-life' | 'unreached' | 'invalid'

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
  /** The order expires with this lease, which applies to everything that runs on the worker. */
  lease: LeaseRequest
  /** Fencing token; orders with a lower token than the worker has seen have no effect. */
  token: number
}

/**
 * Calls from an agent to its worker. A call without an answer may still take effect later. A call without a worker id
 * is for whichever worker answers. A call that requests a lease reaches only the incarnation that the request names; if
 * another one answers there, it is refused as `other-life` and has no effect.
 */
export abstract class WorkerCalls {
  abstract start (worker: WorkerId, order: Order, timeoutMs: number): Promise<StartReply>
  abstract stop (worker: WorkerId | undefined, run: RunId, token: number, timeoutMs: number): Promise<StopReply>
  /**
   * Lists the runs, drops ended runs up to `lastSeen`, extends the lease if one is requested, and waits up to `waitMs`
   * for an end.
   */
  abstract list (worker: WorkerId | undefined, options: ListOptions): Promise<ListReply>
}

export interface ListOptions {
  token: number
  lastSeen: number
  /** Absent to leave the lease as it is. */
  lease: LeaseRequest | undefined
  waitMs: number
  timeoutMs: number
}
