import * as runs from '@mustarddeck/runs'
import type * as agents from './agents.ts'
import * as estimates from './estimates.ts'
import type * as interfaces from './interface.ts'
import type * as rackWait from './rack-wait.ts'
import * as racks from './racks.ts'

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
  /** Set while the task waits for a rack. */
  rackWait: rackWait.Wait | undefined
  /** Monotonic ms after which it waits for no rack again. */
  waitLimit: number
  /** Key of what the task requires of a worker, whatever else its job has there. */
  requirements: string
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
  /** Rack of the group of each step with `sameRack`, once one of its tasks has been placed. */
  groupRacks: Array<string | undefined>
  /** Racks for which all its unplaced tasks wait, up to the first end of a wait; undefined if one may run anywhere. */
  awaited: { racks: Set<string>, until: number } | undefined
  arrivedAt: number
  /** Monotonic ms at which the caller stops waiting. */
  callerDeadline: number
  /** Expected duration in ms of its longest chain of steps. */
  criticalPathMs: number
  /** Expected duration in ms of the longest chain of steps after each step. */
  laterPathsMs: number[]
  /** Work of all its tasks in millicores times ms, as expected at its arrival. */
  work: number
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

/** Returns the duration in ms of the longest chain of steps after each step. */
const laterPathsOf = ({ steps }: interfaces.Job, estimate: (task: interfaces.Task) => number): number[] => {
  const later = steps.map(() => 0)
  for (let index = steps.length - 1; index >= 0; index--) {
    const pathMs = later[index]! + Math.max(0, ...steps[index]!.tasks.map(estimate))
    for (const earlier of steps[index]!.after) later[earlier] = Math.max(later[earlier]!, pathMs)
  }
  return later
}

const workOf = ({ steps }: interfaces.Job, estimate: (task: interfaces.Task) => number): number =>
  steps.reduce((sum, { tasks }) => tasks.reduce((part, task) => part + task.amount.millicores * estimate(task), sum), 0)

const requirementsOf = ({ queue }: interfaces.Job, { amount, label }: interfaces.Task): string =>
  `${queue.service} ${amount.millicores} ${amount.memoryMb} ${amount.accelerators} ${label ?? ''}`

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
    groupRacks: job.steps.map(() => undefined),
    awaited: undefined,
    arrivedAt: now,
    callerDeadline: now + job.callerTimeoutMs,
    criticalPathMs,
    laterPathsMs: laterPathsOf(job, estimate),
    work: workOf(job, estimate),
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
    rackWait: undefined,
    waitLimit: Infinity,
    requirements: requirementsOf(job, task),
    mayRunUntil: 0
  })))
  // Large tasks are placed first: small ones also fit into what is left.
  state.tasks.sort((left, right) => right.task.amount.millicores - left.task.amount.millicores)
  return state
}

/** Adjusts the number of the step's tasks on an agent. */
export const adjustPlaced = ({ job, step }: TaskState, agent: agents.Agent, delta: 1 | -1): void => {
  const placed = job.placed[step]!
  const count = (placed.get(agent) ?? 0) + delta
  if (count > 0) placed.set(agent, count)
  else placed.delete(agent)
}

/** True if tasks of the step are placed on a rack other than that of its group. */
export const isSpread = ({ job, step }: TaskState): boolean => {
  const rack = job.groupRacks[step]
  if (rack === undefined) return false
  for (const { worker } of job.placed[step]!.keys()) if (worker && !racks.isOn(worker, rack)) return true
  return false
}

/** Records the place of a task that is about to run on the agent's worker, and the rack of its group. */
export const setPlace = (state: TaskState, { name, worker }: agents.Agent): void => {
  const { job, step, task } = state
  state.place = estimates.placeOf(task, name, worker!)
  const { sameRack, tasks } = job.job.steps[step]!
  if (!sameRack) return
  const isFirst = job.placed[step]!.size === 0 && job.remaining[step] === tasks.length
  if (isFirst || job.groupRacks[step] === undefined) job.groupRacks[step] = racks.rackOf(worker!)
  if (racks.isOn(worker!, job.groupRacks[step]!) && !isSpread(state)) return
  for (const other of job.tasks) {
    if (other.place && (other === state || (other.step === step && other.phase === 'ordered'))) other.place.far = true
  }
}

/** Notes for which racks the unplaced tasks of the job wait. */
export const noteAwaitedRacks = (job: JobState, unplaced: readonly TaskState[]): void => {
  job.awaited = undefined
  const awaited = { racks: new Set<string>(), until: Infinity }
  for (const { rackWait: wait } of unplaced) {
    if (!wait) return
    awaited.racks.add(wait.rack)
    awaited.until = Math.min(awaited.until, wait.until)
  }
  if (unplaced.length > 0) job.awaited = awaited
}

/** False if all unplaced tasks of the job wait for racks other than the worker's. */
export const mayUse = ({ awaited }: JobState, worker: runs.Worker, now: number): boolean =>
  awaited === undefined || now >= awaited.until || [...awaited.racks].some((rack) => racks.isOn(worker, rack))

/** Compares jobs by the priority of their queue, then by their latest start. */
export const compareUrgency = (left: JobState, right: JobState): number =>
  left.job.queue.priority - right.job.queue.priority || left.latestStart - right.latestStart

/** True if a task of the job has been ordered or may have started. */
export const hasBegun = (job: JobState): boolean => job.mayHaveStarted || !job.tasks.every(isUnassigned)

/** True for a task that is not done and not assigned to an agent. */
export const isUnassigned = ({ phase }: TaskState): boolean => phase === 'waiting' || phase === 'blocked'

/** True if a task that is ready to be placed fits the amount. */
export const fitsSome = ({ tasks }: JobState, free: runs.Resources): boolean =>
  tasks.some(({ phase, task }) => phase === 'waiting' && runs.fits(task.amount, free))

/** Brings all times of the job forward by the time in ms for which the monotonic clock stood still. */
export const advance = (job: JobState, uncountedMs: number): void => {
  job.callerDeadline -= uncountedMs
  job.latestStart -= uncountedMs
  if (job.awaited) job.awaited.until -= uncountedMs
  for (const task of job.tasks) {
    task.waitLimit -= uncountedMs
    if (task.rackWait) task.rackWait.until -= uncountedMs
  }
}

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
