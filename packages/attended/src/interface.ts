import type * as runs from '@mustarddeck/runs'
import type * as types from '@mustarddeck/types'

export type QueueName = types.Branded<string, 'QueueName'>

/** A kind of work as the configuration in force describes it. */
export interface Queue {
  name: QueueName
  /** Service whose workers run the tasks. */
  service: string
  /** 0 is the most urgent. */
  priority: number
  /** Failed runs after which a task, and with it its job, has failed. */
  maxAttempts: number
  /** The aim for the response time is `stretch` times the run time of the job and `objectiveMs` more. */
  stretch: number
  objectiveMs: number
}

export interface Task {
  id: runs.TaskId
  amount: runs.Amount
  /** Run time in ms that the caller expects. */
  estimateMs: number
  /** Label that the worker must have. */
  label: string | undefined
  /** Rack near the data; elsewhere the task takes longer. */
  rack: string | undefined
}

/** Tasks that may run in parallel. */
export interface Step {
  tasks: Task[]
  /** Earlier steps whose tasks must all be done first. */
  after: number[]
  /** Most tasks of the step on one worker. */
  maxPerWorker: number
}

/** A job whose caller waits until it has ended. */
export interface Job {
  key: runs.JobKey
  queue: Queue
  spec: string
  steps: Step[]
  /** Time in ms that the caller waits for the answer. */
  patienceMs: number
}

export type NotRunReason = 'overload' | 'never-runnable' | 'draining'
export type UnknownReason = 'patience' | 'caller-gone' | 'leaving'

/** How a job ended. `not-run` is true for good: no task of it has started or will. */
export type Outcome =
  | { kind: 'completed' }
  | { kind: 'failed', task: runs.TaskId }
  | { kind: 'cancelled' }
  | { kind: 'not-run', reason: NotRunReason, retryAfterMs: number }
  | { kind: 'unknown', reason: UnknownReason }

/** Called once with the end of the job, unless its caller was gone before. */
export type Answer = (outcome: Outcome) => void

/** Queues, places and watches the jobs of one entry. */
export interface Dispatcher {
  submit (job: Job, answer: Answer): void
  /** That caller does not wait any more; the job ends with its last caller. */
  abandon (key: runs.JobKey, answer: Answer): void
  /** Returns false if the job is not known here. */
  cancel (key: runs.JobKey): boolean
  state (key: runs.JobKey): 'pending' | 'running' | undefined
  /** Number of jobs of each queue of which no task has started; queues without any are left out. */
  waiting (): Map<QueueName, number>
  agentUp (link: number, agent: string, life: string): void
  /** `trustedUntil` is the monotonic ms until which the agent may have acted on what it was told. */
  agentDown (link: number, trustedUntil: number): void
  receive (link: number, message: runs.FromAgent): void
  /** From now on new jobs are refused unless they can end within `remainingMs`. */
  drain (remainingMs: number): void
  /** Answers and ends every job, and refuses what comes later. */
  leave (): void
  /** Ends the reviews of waiting and lost tasks; no answer follows. */
  stop (): void
}
