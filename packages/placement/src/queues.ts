import TinyQueue from 'tinyqueue'
import type * as types from '@mustarddeck/types'
import type * as placement from './interface.ts'
import * as rates from './decaying-sum.ts'
import * as runTimes from './run-times.ts'

/** Time constant in ms of the moving average of a type's offered load. */
const LOAD_TIME_CONSTANT_MS = 5000

/** A job with waiting or running tasks. */
export interface Job {
  waiting: placement.WaitingJob
  flow: Flow
  /** Position in the flow, the smallest first. It includes the arrival time, so ageing needs no updates. */
  sortKey: number
  /** Task indexes below this were dispatched. */
  nextIndex: number
  /** Dispatched task indexes that wait again. */
  requeued: number[]
  /** Index into the flow's `waitingBySize`. */
  sizeClass: number
  /** Tasks that have not ended. */
  unfinished: number
  queued: boolean
  withdrawn: boolean
  started: boolean
  /** Time in ms at which the job is overdue if nothing has started. */
  dueAt: number
}

/** Jobs of one team and type. Jobs that need registered agents have a separate flow, so that they block no others. */
export interface Flow {
  team: types.TeamName
  weight: number
  registeredOnly: boolean
  type: Type
  jobs: TinyQueue<Job>
  /** Waiting tasks. */
  waiting: number
  /** Waiting tasks by size of their job: element n counts those of jobs with 2^n to 2^(n+1) - 1 tasks. */
  waitingBySize: number[]
  virtualTime: number
}

export interface Type {
  rules: types.TaskType
  rank: number
  /** Position in the order of dispatch: the rank, or the last level while the type is a flood. */
  level: number
  runTimes: runTimes.RunTimes
  /** Offered work in ms, decaying; divided by the time constant it is the load in slots. */
  offered: rates.DecayingSum
  flows: Map<string, Flow>
  /** Flows with waiting tasks. */
  active: Set<Flow>
  waiting: number
  running: number
  virtualTime: number
  /** Virtual time of the type's flows. */
  flowClock: number
}

/** Start-time fair queueing on two levels: types of one level by type weight, then teams of one type by team weight. */
export interface Queues {
  /** Types with waiting tasks. */
  active: Set<Type>
  find (name: types.TaskTypeName): Type | undefined
  all (): Iterable<Type>
  configure (rules: types.Rules): void
  /** Number of levels; the last one is for floods. */
  levels (): number
  add (waiting: placement.WaitingJob, type: Type, dueAt: number, now: number): Job
  /** Counts `tasks` more waiting tasks of the job and queues it if necessary. */
  enqueue (job: Job, tasks: number): void
  /** First job of the flow with waiting tasks. */
  head (flow: Flow): Job | undefined
  /** Removes the next task of the job, charges its expected run time and returns its index. */
  take (job: Job): number
  /** Replaces the charge of an ended task by its run time in ms; `runMs` is 0 for a task that did not start. */
  adjustCharge (flow: Flow, chargedMs: number, runMs: number): void
  withdraw (job: Job): void
  setLevel (type: Type, level: number): void
  /** Waiting tasks of the flow that are served before a new job of `tasks` tasks. */
  tasksAhead (flow: Flow, tasks: number): number
  /** Offered load of a type in slots. */
  load (type: Type, now: number): number
  /** Adds the expected work of a new job to the type's offered load; `slots` is the capacity. */
  addLoad (type: Type, tasks: number, slots: number, now: number): void
}

/** Limit on the offered load of one job, as a share of the capacity over the load's time constant. */
const MAX_JOB_LOAD_SHARE = 0.15

export const remainingTasks = (job: Job): number => job.waiting.tasks - job.nextIndex + job.requeued.length

/** The item with the smallest virtual time that is not in `skipped`. */
const minByVirtualTime = <Item extends { virtualTime: number }>(
  items: Iterable<Item>, skipped: Set<unknown>
): Item | undefined => {
  let lowest: Item | undefined
  for (const item of items) if (!skipped.has(item) && (!lowest || item.virtualTime < lowest.virtualTime)) lowest = item
  return lowest
}
export { minByVirtualTime }

export const create = (
  { remainingWorkWeight, learningRate }: { remainingWorkWeight: number, learningRate: number }
): Queues => {
  const byName = new Map<types.TaskTypeName, Type>()
  const active = new Set<Type>()
  /** Virtual time of each level. */
  let levelClocks: number[] = [0]
  let teamWeights = new Map<types.TeamName, number>()

  const createType = (rules: types.TaskType, rank: number): Type => ({
    rules,
    rank,
    level: rank,
    runTimes: runTimes.create({ learningRate }),
    offered: rates.create(LOAD_TIME_CONSTANT_MS),
    flows: new Map(),
    active: new Set(),
    waiting: 0,
    running: 0,
    virtualTime: 0,
    flowClock: 0
  })
  const findOrCreateFlow = (type: Type, team: types.TeamName, registeredOnly: boolean): Flow => {
    const name = `${registeredOnly ? 'r' : 'u'}${team}`
    const existing = type.flows.get(name)
    if (existing) return existing
    const jobs = new TinyQueue<Job>([], (left, right) => left.sortKey - right.sortKey)
    const weight = teamWeights.get(team) ?? 1
    const flow: Flow = {
      team, weight, registeredOnly, type, jobs, waiting: 0, waitingBySize: [], virtualTime: type.flowClock
    }
    type.flows.set(name, flow)
    return flow
  }

  const sizeClassOf = (tasks: number): number => remainingWorkWeight > 0 ? Math.floor(Math.log2(tasks)) : 0
  const enqueue = (job: Job, tasks: number): void => {
    const { flow } = job
    const { type } = flow
    if (type.waiting === 0) {
      type.virtualTime = Math.max(type.virtualTime, levelClocks[type.level]!)
      active.add(type)
    }
    if (flow.waiting === 0) {
      flow.virtualTime = Math.max(flow.virtualTime, type.flowClock)
      type.active.add(flow)
    }
    flow.waiting += tasks
    flow.waitingBySize[job.sizeClass] = (flow.waitingBySize[job.sizeClass] ?? 0) + tasks
    type.waiting += tasks
    if (job.queued) return
    job.queued = true
    flow.jobs.push(job)
  }
  const removeWaiting = ({ flow, sizeClass }: Job, tasks: number): void => {
    flow.waiting -= tasks
    flow.waitingBySize[sizeClass]! -= tasks
    flow.type.waiting -= tasks
    if (flow.waiting === 0) flow.type.active.delete(flow)
    if (flow.type.waiting === 0) active.delete(flow.type)
  }
  const charge = (flow: Flow, ms: number): void => {
    flow.virtualTime += ms / flow.weight
    flow.type.virtualTime += ms / flow.type.rules.weight
  }
  const head = (flow: Flow): Job | undefined => {
    for (let job = flow.jobs.peek(); job; job = flow.jobs.peek()) {
      if (!job.withdrawn && remainingTasks(job) > 0) return job
      job.queued = false
      flow.jobs.pop()
    }
    return undefined
  }
  return {
    active,
    find: (name) => byName.get(name),
    all: () => byName.values(),
    configure: (rules) => {
      const ranks = new Map(rules.priorityClasses.map(({ name, rank }) => [name, rank]))
      const levels = Math.max(0, ...ranks.values()) + 2
      levelClocks = Array.from({ length: levels }, (_, level) => levelClocks[level] ?? 0)
      teamWeights = new Map(rules.teams.map(({ name, weight }) => [name, weight]))
      for (const type of byName.values()) {
        for (const flow of type.flows.values()) flow.weight = teamWeights.get(flow.team) ?? flow.weight
      }
      for (const taskType of rules.taskTypes) {
        const rank = ranks.get(taskType.priorityClass) ?? levels - 2
        const existing = byName.get(taskType.name)
        if (existing) Object.assign(existing, { rules: taskType, rank, level: rank })
        else byName.set(taskType.name, createType(taskType, rank))
      }
      const configuredNames = new Set(rules.taskTypes.map(({ name }) => name))
      for (const [name, type] of byName) if (!configuredNames.has(name) && type.waiting === 0) byName.delete(name)
    },
    levels: () => levelClocks.length,
    add: (waiting, type, dueAt, now) => {
      const flow = findOrCreateFlow(type, waiting.team, waiting.registeredOnly)
      const sortKey = now + remainingWorkWeight * waiting.tasks * type.runTimes.mean()
      const initialState = { nextIndex: 0, requeued: [], queued: false, withdrawn: false, started: false }
      const sizeClass = sizeClassOf(waiting.tasks)
      const job: Job = { waiting, flow, sortKey, dueAt, sizeClass, unfinished: waiting.tasks, ...initialState }
      enqueue(job, waiting.tasks)
      return job
    },
    enqueue,
    head,
    take: (job) => {
      const { flow } = job
      const { type } = flow
      const index = job.requeued.pop() ?? job.nextIndex++
      levelClocks[type.level] = Math.max(levelClocks[type.level]!, type.virtualTime)
      type.flowClock = Math.max(type.flowClock, flow.virtualTime)
      charge(flow, type.runTimes.mean())
      // The job is the head of its flow's heap, so a smaller key keeps the heap valid.
      job.sortKey -= remainingWorkWeight * type.runTimes.mean()
      removeWaiting(job, 1)
      return index
    },
    adjustCharge: (flow, chargedMs, runMs) => charge(flow, runMs - chargedMs),
    withdraw: (job) => {
      if (job.withdrawn) return
      job.withdrawn = true
      removeWaiting(job, remainingTasks(job))
    },
    tasksAhead: (flow, tasks) => {
      let ahead = 0
      for (let sizeClass = sizeClassOf(tasks); sizeClass >= 0; sizeClass--) ahead += flow.waitingBySize[sizeClass] ?? 0
      return ahead
    },
    setLevel: (type, level) => {
      type.level = level
      type.virtualTime = levelClocks[level]!
    },
    load: (type, now) => type.offered.value(now) / LOAD_TIME_CONSTANT_MS,
    addLoad: (type, tasks, slots, now) => {
      const workMs = Math.min(tasks * type.runTimes.mean(), MAX_JOB_LOAD_SHARE * slots * LOAD_TIME_CONSTANT_MS)
      type.offered.add(workMs, now)
    }
  }
}
