import type * as runs from '@mustarddeck/runs'
import type * as types from '@mustarddeck/types'

export type QueueName = types.Branded<string, 'QueueName'>

/** Queue settings of the current configuration. */
export interface Queue {
  name: QueueName
  /** Service whose workers run the tasks. */
  service: string
  /** 0 is the most urgent. */
  priority: number
  /** Number of failed runs of a task after which its job fails. */
  maxAttempts: number
  /** The response time objective is `stretch` times the expected duration of the job plus `objectiveMs`. */
  stretch: number
  objectiveMs: number
}

export interface Task {
  id: runs.TaskId
  amount: runs.Resources
  /** Run time in ms that the caller declares. */
  estimateMs: number
  /** Label that the worker must have. */
  label: string | undefined
  /** Rack near the task's data; on other racks the task takes longer. */
  rack: string | undefined
}

/** Tasks that may run in parallel. */
export interface Step {
  tasks: Task[]
  /** Indexes of earlier steps that must be done first. */
  after: number[]
  /** Maximum number of tasks of the step on one worker. */
  maxPerWorker: number
  /** The tasks take longer if they run on more than one rack. */
  sameRack?: boolean
}

/** A job whose caller waits for its outcome. */
export interface Job {
  key: runs.JobKey
  queue: Queue
  spec: string
  steps: Step[]
  /** Time in ms that the caller waits for the outcome. */
  callerTimeoutMs: number
}

/** `evacuated`: the job fits only workers in evacuated zones. */
export type NotRunReason = 'overload' | 'never-runnable' | 'draining' | 'evacuated'
/**
 * `earlier-attempt`: the job is refused, but a task of it may have started when it was submitted before.
 * `taken-over`: another entry may have started the job, as this one did not answer it for a while.
 */
export type UnknownReason = 'patience' | 'caller-gone' | 'leaving' | 'earlier-attempt' | 'taken-over'

/** How a job ended. `not-run` guarantees that no task of it has started or will start. */
export type Outcome =
  | { kind: 'completed' }
  | { kind: 'failed', task: runs.TaskId }
  | { kind: 'cancelled' }
  | { kind: 'not-run', reason: NotRunReason, retryAfterMs: number }
  | { kind: 'unknown', reason: UnknownReason }

/** Called once with the outcome of the job, unless the caller abandons it first. */
export type Answer = (outcome: Outcome) => void

/** Queues, places and monitors the jobs of one entry. */
export interface Dispatcher {
  submit (job: Job, answer: Answer): void
  /** Adds a caller who waits for up to `callerTimeoutMs` to an open job. Returns false if there is none. */
  join (key: runs.JobKey, answer: Answer, callerTimeoutMs: number): boolean
  /** The caller no longer waits; the job ends when its last caller is gone. */
  abandon (key: runs.JobKey, answer: Answer): void
  /** Returns false if this entry has no such job. */
  cancel (key: runs.JobKey): boolean
  /** True if the job is open here, or if tasks that were ordered for it may still be on a worker. */
  holds (key: runs.JobKey): boolean
  /** Returns the keys of all jobs for which `holds` is true. */
  heldKeys (): runs.JobKey[]
  /** Ends an open job that another entry may run. */
  relinquish (key: runs.JobKey): void
  state (key: runs.JobKey): 'pending' | 'running' | undefined
  /** Number of jobs of each queue that have no started task; queues without such jobs are omitted. */
  waiting (): Map<QueueName, number>
  agentUp (link: number, agent: string, incarnation: string): void
  /** `trustedUntil` is the monotonic ms until which the agent may have acted on this entry's orders. */
  agentDown (link: number, trustedUntil: number): void
  receive (link: number, message: runs.FromAgent): void
  /** From now on starts nothing on workers in these zones. Jobs that have not begun and fit no others are refused. */
  evacuate (zones: ReadonlySet<string>): void
  /** Brings the deadlines of all jobs forward by the time in ms for which the monotonic clock stood still. */
  suspended (uncountedMs: number): void
  /** From now on refuses new jobs that can't end within `remainingMs` of this call. */
  drain (remainingMs: number): void
  /** Ends and answers every job, and refuses new ones. */
  leave (): void
  /** Stops the periodic reviews of jobs and tasks; open jobs get no answer. */
  stop (): void
}
