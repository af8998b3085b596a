import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

export interface WaitingJob {
  id: types.JobId
  team: types.TeamName
  type: types.TaskTypeName
  /** Number of tasks, with indexes from 0. */
  tasks: number
  /** True for a job that may start only on registered agents. */
  registeredOnly: boolean
  /** Longest wait in ms of a job of which nothing has started. */
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

export interface Dispatch {
  link: types.LinkId
  job: types.JobId
  index: number
  limitMs: number
  resources: types.Resources
  /** Why this task and this worker, for the log. */
  reason: string
}

/**
 * Queues, admission and choice of worker in one entry. Every granted slot is either unused here, or used by a
 * dispatched task until `finished` or `rejected`. Times are monotonic ms.
 */
export abstract class Placement {
  abstract configure (rules: types.Rules): void
  abstract workerUp (link: types.LinkId, worker: Worker, now: number): void
  abstract workerRegistered (link: types.LinkId): void
  /** All grants of the link are void. Its dispatched tasks are not requeued: see `requeue`. */
  abstract workerDown (link: types.LinkId, now: number): void
  abstract granted (link: types.LinkId, slots: number): void
  /** Gives up to `slots` unused slots back and returns their number. */
  abstract recalled (link: types.LinkId, slots: number): number
  abstract admit (job: WaitingJob, now: number): Admission
  /** Chooses the next task to start and uses a slot for it. */
  abstract next (now: number): Dispatch | undefined
  abstract finished (dispatch: Ended, now: number): void
  /** The task has certainly not started: it waits again, and its slot is gone. */
  abstract rejected (dispatch: DispatchKey, reason: messages.RejectionReason, now: number): void
  /** A dispatched task has certainly not started and waits again; its link is down. */
  abstract requeue (job: types.JobId, index: number, now: number): void
  /** Forgets the waiting tasks of a job; tasks that run are still reported by `finished`. */
  abstract withdraw (job: types.JobId): void
  /** Jobs that waited longer than allowed with nothing started; they are withdrawn. */
  abstract overdue (now: number): types.JobId[]
  /**
   * Demand messages to send now, each with the slots wanted from that agent by rank. Call it after `next` has
   * returned undefined.
   */
  abstract reports (now: number): Report[]
  /** Slots wanted from one agent by rank of priority class, for the `waiting` of its next heartbeat. */
  abstract demand (link: types.LinkId): number[]
  /** Number of waiting tasks. */
  abstract waiting (): number
  /** Task types with waiting or running tasks, in order of name. */
  abstract backlog (): Backlog[]
  /** Decisions since the last call, one log line each: workers that leave or return to rotation, floods. */
  abstract decisions (): Decision[]
  abstract deadline (): number | undefined
}

/** Tasks of one type at this entry. */
export interface Backlog {
  type: types.TaskTypeName
  priorityClass: types.PriorityClassName
  waiting: number
  running: number
  /** The type's work waits behind that of all other types. */
  flooding: boolean
}

/** Position of this entry in the sorted list of configured entries, and the length of that list. */
export interface Position {
  index: number
  count: number
}

/** `waiting` replaces what the agent knew; a grant of a slot reduces it by one, the most urgent rank first. */
export interface Report {
  link: types.LinkId
  waiting: number[]
}

export interface Decision {
  event: string
  fields: Record<string, string | number | boolean>
}

export interface DispatchKey {
  link: types.LinkId
  job: types.JobId
  index: number
}

export interface Ended extends DispatchKey {
  /** `lost`: the end of the task will never be known, because its agent has departed. */
  end: messages.TaskEnd['kind'] | 'lost'
  runMs: number
  /** The slot stays granted to this entry. */
  renewed: boolean
}
