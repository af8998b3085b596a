import type * as ledgers from '@mustarddeck/ledger'
import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'

/** Approximate bytes of a job and of each of its tasks, without payloads and results. */
const JOB_BYTES = 600
const TASK_BYTES = 120

/** Link and agent of a task that was sent. */
export interface Location {
  link: types.LinkId
  agent: types.Incarnation
  /** Link under which the placement accounts for the task; stays when the link is replaced. */
  placedOn: types.LinkId
}

export type TaskState =
  | { kind: 'waiting' }
  | { kind: 'sent', at: Location }
  /** The link was lost after the task was sent; only the agent's records can tell whether it started. */
  | { kind: 'unresolved', at: Location }
  | { kind: 'ended', outcome: messages.TaskEnd }
  /** The agent is gone, so that nobody will ever know. */
  | { kind: 'lost' }

/** Why no further task of the job may start. */
export type Stop = 'task-failed' | 'worker-lost' | 'cancelled' | 'owner-fenced' | 'queue-time'

export interface Job extends ledgers.Entry {
  submission: types.Submission
  digest: types.Digest
  states: TaskState[]
  attempts: Uint8Array
  /** Tasks that were sent and have not ended. */
  inProgress: number
  ended: number
  stop?: Stop
  /** Another entry may have concluded from records that are gone now: a lost task allows no claim. */
  mayBeRecovered?: boolean
}

export const create = (id: types.JobId, submission: types.Submission): Job => ({
  id,
  submission,
  digest: submission.digest,
  states: submission.tasks.map(() => ({ kind: 'waiting' })),
  attempts: new Uint8Array(submission.tasks.length),
  inProgress: 0,
  ended: 0,
  bytes: JOB_BYTES + submission.tasks.length * TASK_BYTES + types.sizeOf(submission.tasks)
})

/** Changes the state of one task and keeps the counts. */
export const setState = (job: Job, index: number, state: TaskState): void => {
  const before = job.states[index]!
  job.inProgress += Number(isInProgress(state)) - Number(isInProgress(before))
  job.ended += Number(isOver(state)) - Number(isOver(before))
  job.states[index] = state
}

const isInProgress = ({ kind }: TaskState): boolean => kind === 'sent' || kind === 'unresolved'
const isOver = ({ kind }: TaskState): boolean => kind === 'ended' || kind === 'lost'

/** Indexes of the tasks that are in progress, with their location. */
export const inProgress = (job: Job): { index: number, at: Location }[] =>
  job.states.flatMap((state, index) =>
    state.kind === 'sent' || state.kind === 'unresolved' ? [{ index, at: state.at }] : [])

/** The final outcome, once no task is in progress and no further one may start. */
export const conclude = (job: Job): types.Outcome | undefined => {
  if (job.inProgress > 0) return undefined
  if (job.mayBeRecovered && job.states.some(({ kind }) => kind === 'lost')) return { kind: 'expired', job: job.id }
  if (job.ended === job.states.length) return hasOnlyResults(job) ? complete(job) : failed(job)
  if (!job.stop) return undefined
  return job.ended > 0 ? failed(job) : notRun(job, job.stop)
}

const hasOnlyResults = (job: Job): boolean =>
  job.states.every((state) => state.kind === 'ended' && state.outcome.kind === 'finished')

const complete = (job: Job): types.Outcome => ({
  kind: 'complete',
  job: job.id,
  results: job.states.map((state, index) => ({
    name: job.submission.tasks[index]!.name,
    result: state.kind === 'ended' && state.outcome.kind === 'finished' ? state.outcome.result : undefined
  }))
})

const failed = (job: Job): types.Outcome => ({
  kind: 'failed',
  job: job.id,
  reason: failureOf(job.stop),
  tasks: job.states.map((state, index) => ({
    name: job.submission.tasks[index]!.name, outcome: taskOutcome(state)
  }))
})

const failureOf = (stop: Stop | undefined): types.JobFailure => {
  if (stop === 'owner-fenced') return 'owner-lost'
  return stop === 'cancelled' || stop === 'worker-lost' ? stop : 'task-failed'
}

const taskOutcome = (state: TaskState): types.TaskOutcome => {
  if (state.kind === 'ended') return state.outcome
  return state.kind === 'waiting' ? { kind: 'never-started' } : { kind: 'may-have-run' }
}

const notRun = (job: Job, stop: Stop): types.Outcome => {
  const reason = stop === 'owner-fenced' || stop === 'queue-time' ? stop : 'cancelled'
  return { kind: 'not-run', job: job.id, reason, final: true }
}

/** Stores the outcome, drops the payloads, and returns the new size. */
export const settle = (job: Job, outcome: types.Outcome): number => {
  job.outcome = outcome
  job.submission = { ...job.submission, tasks: [] }
  job.states = []
  return JOB_BYTES + types.sizeOf(outcome)
}
