import type * as agents from './agents.ts'
import type * as attended from './interface.ts'

/**
 * State of a task.
 * - `blocked`: an earlier step is not done. `waiting`: to be placed.
 * - `ordered`: an agent was asked to start it, and has not said that it ended.
 * - `stopping`: the agent was asked to stop it. `lost`: its agent is gone, and it may run until `settledAt`.
 */
export type Phase = 'blocked' | 'waiting' | 'ordered' | 'stopping' | 'lost' | 'done'

export interface TaskState {
  job: JobState
  task: attended.Task
  step: number
  phase: Phase
  /** Agent where the task was ordered last. */
  agent: agents.Agent | undefined
  /** Orders so far; the next one is one higher. */
  orders: number
  failures: number
  /** Agents on which the task failed or stood still; others are tried first. */
  avoid: Set<string>
  orderedAt: number
  /** Monotonic ms after which a lost task surely runs no more. */
  settledAt: number
}

export interface JobState {
  job: attended.Job
  tasks: TaskState[]
  /** Tasks of each step that are not done. */
  remaining: number[]
  /** Tasks of each step on each agent. */
  placed: Array<Map<agents.Agent, number>>
  arrivedAt: number
  /** Monotonic ms at which its caller stops waiting. */
  patienceEnds: number
  /** Expected duration in ms of its longest chain of steps. */
  chainMs: number
  /** Monotonic ms by which it has to start to meet its aim. */
  latestStart: number
  /** A task of it may have started. */
  mayHaveStarted: boolean
  answers: attended.Answer[]
  /** Set when the caller has its answer, or is gone. */
  ended: boolean
}

/** Duration in ms of the longest chain of steps. */
const chainOf = (job: attended.Job, estimate: (task: attended.Task) => number): number => {
  const ends: number[] = []
  for (const step of job.steps) {
    const start = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0))
    ends.push(start + Math.max(0, ...step.tasks.map(estimate)))
  }
  return Math.max(0, ...ends)
}

export const create = (
  job: attended.Job, now: number, estimate: (task: attended.Task) => number,
  answer: attended.Answer
): JobState => {
  const chainMs = chainOf(job, estimate)
  const { stretch, objectiveMs } = job.queue
  const state: JobState = {
    job,
    tasks: [],
    remaining: job.steps.map((step) => step.tasks.length),
    placed: job.steps.map(() => new Map()),
    arrivedAt: now,
    patienceEnds: now + job.patienceMs,
    chainMs,
    latestStart: now + Math.max(objectiveMs, chainMs * (stretch - 1) + objectiveMs),
    mayHaveStarted: false,
    answers: [answer],
    ended: false
  }
  state.tasks = job.steps.flatMap((step, index) => step.tasks.map((task): TaskState => ({
    job: state,
    task,
    step: index,
    phase: step.after.length === 0 ? 'waiting' : 'blocked',
    agent: undefined,
    orders: 0,
    failures: 0,
    avoid: new Set(),
    orderedAt: 0,
    settledAt: 0
  })))
  return state
}

/** Counts a task in or out of those of its step on an agent. */
export const count = ({ job, step }: TaskState, agent: agents.Agent, by: 1 | -1): void => {
  const placed = job.placed[step]!
  placed.set(agent, (placed.get(agent) ?? 0) + by)
}

/** Orders jobs by the priority of their queue, and then by the moment at which they have to start. */
export const compareUrgency = (left: JobState, right: JobState): number =>
  left.job.queue.priority - right.job.queue.priority || left.latestStart - right.latestStart

/** True if a task of the job may have started. */
export const hasBegun = (job: JobState): boolean => job.mayHaveStarted || !job.tasks.every(isUnordered)

/** True for a task that is on no worker and was not done yet. */
export const isUnordered = ({ phase }: TaskState): boolean => phase === 'waiting' || phase === 'blocked'

/** Notes that the task is done and frees the steps that waited for it. Returns true when the whole job is done. */
export const complete = (state: JobState, { step }: TaskState): boolean => {
  state.remaining[step]!--
  if (state.remaining[step]! > 0) return false
  state.job.steps.forEach(({ after }, index) => {
    if (!after.includes(step) || after.some((earlier) => state.remaining[earlier]! > 0)) return
    for (const task of state.tasks) if (task.step === index && task.phase === 'blocked') task.phase = 'waiting'
  })
  return state.remaining.every((count) => count === 0)
}
