import type * as agents from './agents.ts'
import type * as estimates from './estimates.ts'
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
  /** Where it was last sent to. */
  place: estimates.Place | undefined
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
  /** Monotonic ms by which it has to start to meet the queue's response time objective. */
  latestStart: number
  /** Whether a task of the job may have started. */
  mayHaveStarted: boolean
  answers: interfaces.Answer[]
  /** Number of its tasks that may be on a worker. */
  outstanding: number
  /** Set when the outcome is final. */
  ended: boolean
}

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
  const { stretch, objectiveMs } = job.queue
  const state: JobState = {
    job,
    tasks: [],
    remaining: job.steps.map((step) => step.tasks.length),
    placed: job.steps.map(() => new Map()),
    arrivedAt: now,
    callerDeadline: now + job.callerTimeoutMs,
    criticalPathMs,
    latestStart: now + Math.max(objectiveMs, criticalPathMs * (stretch - 1) + objectiveMs),
    mayHaveStarted: false,
    answers: [answer],
    outstanding: 0,
    ended: false
  }
  state.tasks = job.steps.flatMap((step, index) => step.tasks.map((task): TaskState => ({
    job: state,
    task,
    step: index,
    phase: step.after.length === 0 ? 'waiting' : 'blocked',
    agent: undefined,
    place: undefined,
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

/** Compares jobs by the priority of their queue, then by their latest start. */
export const compareUrgency = (left: JobState, right: JobState): number =>
  left.job.queue.priority - right.job.queue.priority || left.latestStart - right.latestStart

/** True if a task of the job has been ordered or may have started. */
export const hasBegun = (job: JobState): boolean => job.mayHaveStarted || !job.tasks.every(isUnassigned)

/** True for a task that is not done and not assigned to an agent. */
export const isUnassigned = ({ phase }: TaskState): boolean => phase === 'waiting' || phase === 'blocked'

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
