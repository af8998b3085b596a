import type * as types from '@mustarddeck/types'
import type * as amounts from './amount.ts'

/** Name of a task across attempts of its job; equal for a job that its caller sends again. */
export type TaskId = types.Branded<string, 'TaskId'>
export type WorkerId = types.Branded<string, 'WorkerId'>
/** Identity that the caller chose for a job. */
export type JobKey = types.Branded<string, 'JobKey'>

/** One life of a worker, from its start to its end. */
export interface Worker {
  id: WorkerId
  /** Unix time in ms of the worker's start; another value is another life under the same id. */
  bornMs: number
  service: string
  zone: string
  capacity: amounts.Amount
  /** Kind of machine and rack. */
  labels: string[]
  /** The worker leaves: nothing more is started on it. */
  leaving: boolean
}

/** One start of a task on a worker. */
export interface RunId {
  task: TaskId
  /** Rises with each start of the task on one worker. */
  run: number
}

/**
 * How a run ended.
 * - `done`: with success. `failed`: by its own fault or the worker's. `stopped`: on request.
 * - `lapsed`: its lease or the worker's life ended.
 * - `unstarted`: it never ran and never will.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'unstarted'

/** Why a worker did not start a run; `silent` tells nothing about whether it will. */
export type StartRefusal = 'no-room' | 'late' | 'outdated-run' | 'outdated-token' | 'unwell' | 'other-life' | 'invalid'

export type StartReply = { kind: 'started' } | { kind: 'refused', reason: StartRefusal } | { kind: 'silent' }

export type StopReply = { kind: 'acknowledged' } | { kind: 'refused' } | { kind: 'silent' }

/** What a worker lists of its runs. */
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
  /** Time on the worker's clock after which the order is void and until which the worker's lease is extended. */
  leaseUntilMs: number
  /** Orders with a lower token than the worker has seen have no effect. */
  token: number
}

/**
 * The calls that an agent makes to its worker. A call without an answer may have an effect later. Without the id of the
 * worker a call is for whichever worker answers.
 */
export abstract class WorkerCalls {
  abstract start (worker: WorkerId, order: Order, timeoutMs: number): Promise<StartReply>
  abstract stop (worker: WorkerId | undefined, run: RunId, token: number, timeoutMs: number): Promise<StopReply>
  /** Lists the runs, forgets ends up to `lastSeen`, extends the lease, and waits up to `waitMs` for an end. */
  abstract list (worker: WorkerId | undefined, options: ListOptions): Promise<ListReply>
}

export interface ListOptions {
  token: number
  lastSeen: number
  leaseUntilMs: number | undefined
  waitMs: number
  timeoutMs: number
}
