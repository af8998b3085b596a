import type * as ids from './ids.ts'

/** What is known of one task. `finished` and `failed` are the backend server's word; `runMs` is its run time. */
export type TaskOutcome =
  | { kind: 'finished', result: unknown, runMs: number }
  | { kind: 'failed', reason: TaskFailure, message: string, runMs: number }
  | { kind: 'cancelled', runMs: number }
  | { kind: 'may-have-run' }
  | { kind: 'never-started' }

export type TaskFailure = 'backend-error' | 'time-limit' | 'connection-lost'

export interface TaskReport {
  name: ids.TaskName
  outcome: TaskOutcome
}

export interface TaskResult {
  name: ids.TaskName
  result: unknown
}

export type JobFailure = 'task-failed' | 'cancelled' | 'owner-lost' | 'worker-lost'

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

export type UncertaintyReason =
  | 'owner-unreachable'
  | 'agent-unreachable'
  | 'store-unavailable'
  | 'unregistered-view'
  | 'worker-lost'

/**
 * Outcome of a job. `complete`, `failed`, `expired` and a `not-run` with `final` are final. The first three of these
 * claims never contradict one another, from whichever entry they come; `expired` claims nothing.
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
