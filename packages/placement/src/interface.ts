import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** A job as submitted for admission. */
export interface WaitingJob {
  id: types.JobId
  team: types.TeamName
  type: types.TaskTypeName
  /** Number of tasks, with indexes from 0. */
  tasks: number
  /** True if the tasks may start only on registered agents. */
  registeredOnly: boolean
  /** Wait limit in ms: after it, the job is withdrawn if none of its tasks has started. */
  maxWaitMs?: number
}

export interface Worker {
  name: types.WorkerName
  failureDomain: types.FailureDomainName
  slots: number
  resources: types.Resources
  registered: boolean
}

export type Admission =
  | { kind: 'admitted' }
  | { kind: 'refused', reason: types.RefusalReason, retryAfterMs?: number }

/** A task to start now on a worker. */
export interface Dispatch {
  link: types.LinkId
  job: types.JobId
  index: number
  limitMs: number
  resources: types.Resources
  /** Reason of the choice, for the log. */
  reason: string
}

/**
 * Queues, admission and choice of worker in one entry. Every granted slot is either unused, or used by a dispatched
 * task until `finished` or `rejected`. Times are monotonic, in ms.
 */
export abstract class Placement {
  abstract configure (rules: types.Rules): void
  abstract workerConnected (link: types.LinkId, worker: Worker, now: number): void
  abstract workerRegistered (link: types.LinkId): void
  /** Drops all grants of the link. Its dispatched tasks are not requeued: see `requeue`. */
  abstract workerDisconnected (link: types.LinkId, now: number): void
  abstract granted (link: types.LinkId, slots: number): void
  /** Releases up to `slots` unused slots and returns their number. `flood`: they are for another entry's flood. */
  abstract recalled (link: types.LinkId, slots: number, flood?: boolean): number
  abstract admit (job: WaitingJob, now: number): Admission
  /** Chooses the next task to start and uses a slot for it. */
  abstract next (now: number): Dispatch | undefined
  abstract finished (dispatch: EndedTask, now: number): void
  /** Requeues a task that has certainly not started; its slot is no longer granted. */
  abstract rejected (dispatch: DispatchKey, reason: messages.RejectionReason, now: number): void
  /** Requeues a dispatched task that has certainly not started and whose link is down. */
  abstract requeue (job: types.JobId, index: number, now: number): void
  /** Removes the waiting tasks of a job; `finished` is still called for its running tasks. */
  abstract withdraw (job: types.JobId): void
  /** Withdraws and returns the jobs whose wait limit passed before any task started. */
  abstract overdue (now: number): types.JobId[]
  /**
   * Demand messages to send now, each with the slots requested from one agent by rank. Call it after `next` returned
   * undefined.
   */
  abstract demandReports (now: number): DemandReport[]
  /** Slots requested from one agent by rank of priority class, for `waiting` of the next heartbeat. */
  abstract demand (link: types.LinkId): number[]
  /** Number of waiting tasks. */
  abstract waiting (): number
  /** Task types with waiting or running tasks, sorted by name. */
  abstract backlog (): Backlog[]
  /** Decisions since the last call, to be logged: workers that left or returned to rotation, floods. */
  abstract decisions (): DecisionEvent[]
  /** Time in ms at which the next call of `next`, `overdue` or `reports` is needed; undefined for none. */
  abstract deadline (): number | undefined
}

/** Tasks of one type at this entry. */
export interface Backlog {
  type: types.TaskTypeName
  priorityClass: types.PriorityClassName
  waiting: number
  running: number
  /** True if the type is a flood, whose work waits behind that of all other types. */
  flooding: boolean
}

/** Position of this entry in the sorted list of configured entries, and the length of that list. */
export interface Position {
  index: number
  count: number
}

/** Demand by rank. `waiting` replaces the previous report; each granted slot reduces it by one, most urgent first. */
export interface DemandReport {
  link: types.LinkId
  waiting: number[]
}

/** An event to log. */
export interface DecisionEvent {
  event: string
  fields: Record<string, string | number | boolean>
}

export interface DispatchKey {
  link: types.LinkId
  job: types.JobId
  index: number
}

export interface EndedTask extends DispatchKey {
  /** `lost`: the outcome of the task cannot be known any more, because its agent has departed. */
  end: messages.TaskEnd['kind'] | 'lost'
  runMs: number
  /** True if the slot stays granted to this entry. */
  renewed: boolean
}
