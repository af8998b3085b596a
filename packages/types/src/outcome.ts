import type * as ids from './ids.ts'

/**
 * Outcome of one task. `finished` and `failed` are results of the call to the backend server, `runMs` is the run time.
 * `may-have-run`: the agent or its records are gone, so it is unknown whether the task ran.
 */
export type TaskOutcome =
  | { kind: 'finished', result: unknown, runMs: number }
  | { kind: 'failed', reason: TaskFailure, message: string, runMs: number }
  | { kind: 'cancelled', runMs: number }
  | { kind: 'may-have-run' }
  | { kind: 'never-started' }

/** `connection-lost`: the call to the backend server ended without a valid response; the task may have completed. */
export type TaskFailure = 'backend-error' | 'time-limit' | 'connection-lost'

/** Outcome of one task of a failed job. */
export interface TaskReport {
  name: ids.TaskName
  outcome: TaskOutcome
}

/** Result of one task of a complete job. */
export interface TaskResult {
  name: ids.TaskName
  result: unknown
}

export type JobFailure = 'task-failed' | 'cancelled' | 'owner-lost' | 'worker-lost'

/** Why a job was not run. */
export type RefusalReason =
  | 'unknown-task-type'
  | 'unknown-team'
  | 'never-runnable'
  | 'quota'
  | 'overload'
  | 'queue-time'
  | 'memory-limit'
  | 'cancelled'
  | 'draining'
  | 'block-closed'
  | 'owner-fenced'
  | 'owner-lost'
  | 'store-unavailable'
  | 'not-submitted'

/** Why the outcome of a job is unknown at present. */
export type UncertaintyReason =
  | 'owner-unreachable'
  | 'agent-unreachable'
  | 'store-unavailable'
  | 'unregistered-view'
  | 'worker-lost'

/**
 * Outcome of a job. `complete`, `failed`, `expired` and a `not-run` with `final` are final. `complete`, `failed` and a
 * final `not-run` never contradict each other, whichever entry reports them; `expired` says nothing about what ran.
 */
export type Outcome =
  | { kind: 'complete', job: ids.JobId, results: TaskResult[] }
  | { kind: 'failed', job: ids.JobId, reason: JobFailure, tasks: TaskReport[] }
  | { kind: 'not-run', job?: ids.JobId, reason: RefusalReason, final: boolean, retryAfterMs?: number }
  | { kind: 'unknown', job: ids.JobId, reason: UncertaintyReason, retryAfterMs: number }
  | { kind: 'expired', job: ids.JobId }
  | { kind: 'conflict', job: ids.JobId }
  | { kind: 'pending', job: ids.JobId }

export const isFinal = (outcome: Outcome): boolean =>
  outcome.kind === 'complete' || outcome.kind === 'failed' || outcome.kind === 'expired' ||
  (outcome.kind === 'not-run' && outcome.final)
