import type * as ledgers from '@mustarddeck/ledger'
import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'

/** Approximate memory of a job and of each of its tasks, without payloads and results. */
const JOB_BYTES = 600
const TASK_BYTES = 120

/** Where a task was sent. */
export interface Location {
  link: types.LinkId
  agent: types.Incarnation
  /** Link under which the placement tracks the task; unchanged when the link is replaced. */
  placementLink: types.LinkId
}

export type TaskState =
  | { kind: 'waiting' }
  | { kind: 'sent', at: Location }
  /** The link was lost after the task was sent; only the agent's records show whether it started. */
  | { kind: 'unresolved', at: Location }
  | { kind: 'ended', outcome: messages.TaskEnd }
  /** The agent and its records are gone, so the task may have run. */
  | { kind: 'lost' }

/** Reason why no further task of the job may start. */
export type StopReason = 'task-failed' | 'worker-lost' | 'cancelled' | 'owner-fenced' | 'queue-time'

/** A job owned by this process. Once it has an outcome, its tasks and their states are dropped. */
export interface Job extends ledgers.TrackedJob {
  submission: types.Submission
  digest: types.Digest
  states: TaskState[]
  /** Number of times that each task was sent. */
  attempts: Uint8Array
  /** Number of tasks in state `sent` or `unresolved`. */
  inProgressCount: number
  /** Number of tasks in state `ended` or `lost`. */
  endedCount: number
  stopReason?: StopReason
  /** Another entry may have decided the outcome from records that are gone now, so with a lost task it is `expired`. */
  possiblyRecovered?: boolean
}

export const create = (id: types.JobId, submission: types.Submission): Job => ({
  id,
  submission,
  digest: submission.digest,
  states: submission.tasks.map(() => ({ kind: 'waiting' })),
  attempts: new Uint8Array(submission.tasks.length),
  inProgressCount: 0,
  endedCount: 0,
  bytes: JOB_BYTES + submission.tasks.length * TASK_BYTES + types.sizeOf(submission.tasks)
})

/** Sets the state of one task and updates the job's counts. */
export const setState = (job: Job, index: number, state: TaskState): void => {
  const previous = job.states[index]!
  job.inProgressCount += Number(isInProgress(state)) - Number(isInProgress(previous))
  job.endedCount += Number(hasEnded(state)) - Number(hasEnded(previous))
  job.states[index] = state
}

const isInProgress = ({ kind }: TaskState): boolean => kind === 'sent' || kind === 'unresolved'
const hasEnded = ({ kind }: TaskState): boolean => kind === 'ended' || kind === 'lost'

/** Indexes and locations of the tasks in state `sent` or `unresolved`. */
export const tasksInProgress = (job: Job): { index: number, at: Location }[] =>
  job.states.flatMap((state, index) =>
    state.kind === 'sent' || state.kind === 'unresolved' ? [{ index, at: state.at }] : [])

/** The final outcome, or undefined while a task is in progress or another one may start. */
export const finalOutcome = (job: Job): types.Outcome | undefined => {
  if (job.inProgressCount > 0) return undefined
  if (job.possiblyRecovered && job.states.some(({ kind }) => kind === 'lost')) return { kind: 'expired', job: job.id }
  if (job.endedCount === job.states.length) return hasOnlyResults(job) ? completeOutcome(job) : failedOutcome(job)
  if (!job.stopReason) return undefined
  return job.endedCount > 0 ? failedOutcome(job) : notRunOutcome(job, job.stopReason)
}

const hasOnlyResults = (job: Job): boolean =>
  job.states.every((state) => state.kind === 'ended' && state.outcome.kind === 'finished')

const completeOutcome = (job: Job): types.Outcome => ({
  kind: 'complete',
  job: job.id,
  results: job.states.map((state, index) => ({
    name: job.submission.tasks[index]!.name,
    result: state.kind === 'ended' && state.outcome.kind === 'finished' ? state.outcome.result : undefined
  }))
})

const failedOutcome = (job: Job): types.Outcome => ({
  kind: 'failed',
  job: job.id,
  reason: failureReason(job.stopReason),
  tasks: job.states.map((state, index) => ({
    name: job.submission.tasks[index]!.name, outcome: taskOutcome(state)
  }))
})

const failureReason = (stop: StopReason | undefined): types.JobFailure => {
  if (stop === 'owner-fenced') return 'owner-lost'
  return stop === 'cancelled' || stop === 'worker-lost' ? stop : 'task-failed'
}

const taskOutcome = (state: TaskState): types.TaskOutcome => {
  if (state.kind === 'ended') return state.outcome
  return state.kind === 'waiting' ? { kind: 'never-started' } : { kind: 'may-have-run' }
}

const notRunOutcome = (job: Job, stop: StopReason): types.Outcome => {
  const reason = stop === 'owner-fenced' || stop === 'queue-time' ? stop : 'cancelled'
  return { kind: 'not-run', job: job.id, reason, final: true }
}

/** Stores the outcome, drops the payloads, and returns the job's new approximate size in bytes. */
export const storeOutcome = (job: Job, outcome: types.Outcome): number => {
  job.outcome = outcome
  job.submission = { ...job.submission, tasks: [] }
  job.states = []
  return JOB_BYTES + types.sizeOf(outcome)
}
