import type * as agents from './agents.ts'
import type * as interfaces from './interface.ts'

/**
 * State of a task.
 * - `blocked`: an earlier step is not done. `waiting`: ready to be placed.
 * - `ordered`: an agent was asked to start it and has not reported its end.
 * - `stopping`: the agent was asked to stop it. `lost`: its agent is disconnected; it may run until `mayRunUntil`.
 */
export type Phase = 'blocked' | 'waiting' | 'ordered' | 'stopping' | 'lost' | 'done'

export interface TaskState {
  job: JobState
  task: interfaces.Task
  step: number
  phase: Phase
  /** Agent that the task was last sent to. */
  agent: agents.Agent | undefined
  /** Number of orders sent so far; also the lowest run number of the latest one. */
  orders: number
  /** Identifies the latest order. */
  order: number
  failures: number
  /** Names of agents on which the task failed, hung or was refused; other agents are preferred. */
  avoidedAgents: Set<string>
  /** Name of the agent that still has an earlier run of the task; the task is not placed elsewhere. */
  heldBy: string | undefined
  /** Monotonic ms from which it may be placed elsewhere after all. */
  heldUntil: number
  orderedAt: number
  /** Monotonic ms by which a lost task has certainly ended. */
  mayRunUntil: number
}

export interface JobState {
  job: interfaces.Job
  tasks: TaskState[]
  /** Tasks of each step that are not done. */
  remaining: number[]
  /** Tasks of each step on each agent. */
  placed: Array<Map<agents.Agent, number>>
  arrivedAt: number
  /** Monotonic ms at which the caller stops waiting. */
  callerDeadline: number
  /** Expected duration in ms of its longest chain of steps. */
  criticalPathMs: number
  /** Capacity of all its tasks in millicores. */
  size: number
  /** Work of all its tasks in millicores times ms, as expected at its arrival. */
  work: number
  /** Monotonic ms by which it has to start to meet the queue's response time objective and its caller's deadline. */
  latestStart: number
  /** Priority of its queue, or a more urgent one if its queue is served too rarely. */
  rank: number
  /** It can no longer be in time, and takes only capacity that no other job needs. */
  late: boolean
  /** Whether a task of the job may have started. */
  mayHaveStarted: boolean
  answers: interfaces.Answer[]
  /** Number of its tasks that may be on a worker. */
  outstanding: number
  /** Set when the outcome is final. */
  ended: boolean
}

/**
 * Share of the linked capacity above which a job runs in parts, as an entry with few links would otherwise refuse it
 * while its workers are idle.
 */
export const MAX_CAPACITY_SHARE = 0.5
/** Time in ms before the caller's deadline at which the answer is sent, so that it still arrives in time. */
export const ANSWER_MARGIN_MS = 40

/** Returns the duration in ms of the longest chain of steps. */
const criticalPathOf = (job: interfaces.Job, estimate: (task: interfaces.Task) => number): number => {
  const ends: number[] = []
  for (const step of job.steps) {
    const start = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0))
    ends.push(start + Math.max(0, ...step.tasks.map(estimate)))
  }
  return Math.max(0, ...ends)
}

export const create = (
  job: interfaces.Job, now: number, estimate: (task: interfaces.Task) => number,
  answer: interfaces.Answer
): JobState => {
  const criticalPathMs = criticalPathOf(job, estimate)
  const { stretch, objectiveMs, priority } = job.queue
  const objectiveStartMs = criticalPathMs * (stretch - 1) + objectiveMs
  // A job that is expected to take longer than its caller waits may still end earlier than expected.
  const deadlineStartMs = Math.max(objectiveMs, job.callerTimeoutMs - ANSWER_MARGIN_MS - criticalPathMs)
  const state: JobState = {
    job,
    tasks: [],
    remaining: job.steps.map((step) => step.tasks.length),
    placed: job.steps.map(() => new Map()),
    arrivedAt: now,
    callerDeadline: now + job.callerTimeoutMs,
    criticalPathMs,
    size: 0,
    work: 0,
    latestStart: now + Math.min(Math.max(objectiveMs, objectiveStartMs), deadlineStartMs),
    rank: priority,
    late: false,
    mayHaveStarted: false,
    answers: [answer],
    outstanding: 0,
    ended: false
  }
  for (const task of job.steps.flatMap(({ tasks }) => tasks)) {
    state.size += task.amount.millicores
    state.work += task.amount.millicores * estimate(task)
  }
  state.tasks = job.steps.flatMap((step, index) => step.tasks.map((task): TaskState => ({
    job: state,
    task,
    step: index,
    phase: step.after.length === 0 ? 'waiting' : 'blocked',
    agent: undefined,
    orders: 0,
    order: 0,
    failures: 0,
    avoidedAgents: new Set(),
    heldBy: undefined,
    heldUntil: 0,
    orderedAt: 0,
    mayRunUntil: 0
  })))
  return state
}

/** Adjusts the number of the step's tasks on an agent. */
export const adjustPlaced = ({ job, step }: TaskState, agent: agents.Agent, delta: 1 | -1): void => {
  const placed = job.placed[step]!
  placed.set(agent, (placed.get(agent) ?? 0) + delta)
}

/** Compares jobs by rank, then by their latest start; those that can't be in time come last. */
export const compareUrgency = (left: JobState, right: JobState): number =>
  Number(left.late) - Number(right.late) || left.rank - right.rank || left.latestStart - right.latestStart

/** True if a task of the job has been ordered or may have started. */
export const hasBegun = (job: JobState): boolean => job.mayHaveStarted || !job.tasks.every(isUnassigned)

/** True for a task that is not done and not assigned to an agent. */
export const isUnassigned = ({ phase }: TaskState): boolean => phase === 'waiting' || phase === 'blocked'

/** Capacity in millicores of the tasks that are ready to be placed. */
export const waitingMillicores = ({ tasks }: JobState): number => {
  let total = 0
  for (const { phase, task } of tasks) if (phase === 'waiting') total += task.amount.millicores
  return total
}

/** A task that is ready to be placed, or the first one if there is none. */
export const nextTask = ({ tasks }: JobState): interfaces.Task =>
  (tasks.find(({ phase }) => phase === 'waiting') ?? tasks[0]!).task

/** Records that the task is done and unblocks the steps that depend on it. Returns true when the job is done. */
export const complete = (state: JobState, { step }: TaskState): boolean => {
  state.remaining[step]!--
  if (state.remaining[step]! > 0) return false
  state.job.steps.forEach(({ after }, index) => {
    if (!after.includes(step) || after.some((earlier) => state.remaining[earlier]! > 0)) return
    for (const task of state.tasks) if (task.step === index && task.phase === 'blocked') task.phase = 'waiting'
  })
  return state.remaining.every((count) => count === 0)
}
