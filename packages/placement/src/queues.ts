import TinyQueue from 'tinyqueue'
import type * as types from '@mustarddeck/types'
import type * as placement from './interface.ts'
import * as rates from './rates.ts'
import * as runTimes from './run-times.ts'

/** Time constant in ms over which the offered work of a type is averaged. */
const LOAD_OVER_MS = 5000

export interface Job {
  waiting: placement.WaitingJob
  flow: Flow
  /** Position in the flow: smaller goes first. Ageing needs no updates, since all jobs age alike. */
  key: number
  /** Indexes below this were dispatched. */
  next: number
  /** Dispatched indexes that wait again. */
  again: number[]
  /** Index into the flow's `sizes`. */
  size: number
  /** Tasks that have not ended. */
  unfinished: number
  queued: boolean
  withdrawn: boolean
  started: boolean
  /** Time in ms at which the job is overdue if nothing has started. */
  dueAt: number
}

/** Jobs of one team and type; those that need registered agents are apart, so that they do not hold up the others. */
export interface Flow {
  team: types.TeamName
  weight: number
  registeredOnly: boolean
  type: Type
  jobs: TinyQueue<Job>
  /** Waiting tasks. */
  waiting: number
  /** Waiting tasks by size of their job: element n is for jobs of 2^n tasks or more. */
  sizes: number[]
  virtual: number
}

export interface Type {
  rules: types.TaskType
  rank: number
  /** Position in the order of dispatch: the rank, or the last level while the type floods. */
  level: number
  runTimes: runTimes.RunTimes
  /** Offered run time in ms, decaying; divided by the time constant it is a number of slots. */
  offered: rates.Decaying
  flows: Map<string, Flow>
  /** Flows with waiting tasks. */
  active: Set<Flow>
  waiting: number
  running: number
  virtual: number
  /** Virtual time of the flows. */
  clock: number
}

/** Start-time fair queueing in two steps: types of one level by type weight, then teams of one type by team weight. */
export interface Queues {
  /** Types with waiting tasks. */
  active: Set<Type>
  find (name: types.TaskTypeName): Type | undefined
  all (): Iterable<Type>
  configure (rules: types.Rules): void
  /** Number of levels; the last one is for types that flood. */
  levels (): number
  add (waiting: placement.WaitingJob, type: Type, dueAt: number, now: number): Job
  /** Adds `tasks` waiting tasks to the counts of a job that is in its queue. */
  enqueue (job: Job, tasks: number): void
  /** First job of the flow with waiting tasks. */
  head (flow: Flow): Job | undefined
  /** Takes the job's next task index out of the queue and charges its expected run time. */
  take (job: Job): number
  /** Corrects the charge of a task that ended; `runMs` 0 for one that did not start. */
  settle (flow: Flow, chargedMs: number, runMs: number): void
  withdraw (job: Job): void
  setLevel (type: Type, level: number): void
  /** Waiting tasks of the flow that go before a new job of that many tasks. */
  before (flow: Flow, tasks: number): number
  /** Offered load of a type in slots. */
  load (type: Type, now: number): number
  offer (type: Type, tasks: number, slots: number, now: number): void
}

/** Share of the capacity of the averaging time that one job adds to the offered load at most. */
const MAX_JOB_OFFER = 0.15

export const remaining = (job: Job): number => job.waiting.tasks - job.next + job.again.length

const least = <Item extends { virtual: number }>(items: Iterable<Item>, skip: Set<unknown>): Item | undefined => {
  let first: Item | undefined
  for (const item of items) if (!skip.has(item) && (!first || item.virtual < first.virtual)) first = item
  return first
}
export { least }

export const create = (
  { remainingWeight, learningRate }: { remainingWeight: number, learningRate: number }
): Queues => {
  const byName = new Map<types.TaskTypeName, Type>()
  const active = new Set<Type>()
  /** Virtual time of each level. */
  let clocks: number[] = [0]
  let teams = new Map<types.TeamName, number>()

  const createType = (rules: types.TaskType, rank: number): Type => ({
    rules,
    rank,
    level: rank,
    runTimes: runTimes.create({ learningRate }),
    offered: rates.create(LOAD_OVER_MS),
    flows: new Map(),
    active: new Set(),
    waiting: 0,
    running: 0,
    virtual: 0,
    clock: 0
  })
  const flowOf = (type: Type, team: types.TeamName, registeredOnly: boolean): Flow => {
    const name = `${registeredOnly ? 'r' : 'u'}${team}`
    const found = type.flows.get(name)
    if (found) return found
    const jobs = new TinyQueue<Job>([], (left, right) => left.key - right.key)
    const weight = teams.get(team) ?? 1
    const flow: Flow = { team, weight, registeredOnly, type, jobs, waiting: 0, sizes: [], virtual: type.clock }
    type.flows.set(name, flow)
    return flow
  }

  const sizeOf = (tasks: number): number => remainingWeight > 0 ? Math.floor(Math.log2(tasks)) : 0
  const enqueue = (job: Job, tasks: number): void => {
    const { flow } = job
    const { type } = flow
    if (type.waiting === 0) {
      type.virtual = Math.max(type.virtual, clocks[type.level]!)
      active.add(type)
    }
    if (flow.waiting === 0) {
      flow.virtual = Math.max(flow.virtual, type.clock)
      type.active.add(flow)
    }
    flow.waiting += tasks
    flow.sizes[job.size] = (flow.sizes[job.size] ?? 0) + tasks
    type.waiting += tasks
    if (job.queued) return
    job.queued = true
    flow.jobs.push(job)
  }
  const forget = ({ flow, size }: Job, tasks: number): void => {
    flow.waiting -= tasks
    flow.sizes[size]! -= tasks
    flow.type.waiting -= tasks
    if (flow.waiting === 0) flow.type.active.delete(flow)
    if (flow.type.waiting === 0) active.delete(flow.type)
  }
  const charge = (flow: Flow, ms: number): void => {
    flow.virtual += ms / flow.weight
    flow.type.virtual += ms / flow.type.rules.weight
  }
  const head = (flow: Flow): Job | undefined => {
    for (let job = flow.jobs.peek(); job; job = flow.jobs.peek()) {
      if (!job.withdrawn && remaining(job) > 0) return job
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
      clocks = Array.from({ length: levels }, (_, level) => clocks[level] ?? 0)
      teams = new Map(rules.teams.map(({ name, weight }) => [name, weight]))
      for (const type of byName.values()) {
        for (const flow of type.flows.values()) flow.weight = teams.get(flow.team) ?? flow.weight
      }
      for (const taskType of rules.taskTypes) {
        const rank = ranks.get(taskType.priorityClass) ?? levels - 2
        const known = byName.get(taskType.name)
        if (known) Object.assign(known, { rules: taskType, rank, level: rank })
        else byName.set(taskType.name, createType(taskType, rank))
      }
      const kept = new Set(rules.taskTypes.map(({ name }) => name))
      for (const [name, type] of byName) if (!kept.has(name) && type.waiting === 0) byName.delete(name)
    },
    levels: () => clocks.length,
    add: (waiting, type, dueAt, now) => {
      const flow = flowOf(type, waiting.team, waiting.registeredOnly)
      const key = now + remainingWeight * waiting.tasks * type.runTimes.mean()
      const state = { next: 0, again: [], queued: false, withdrawn: false, started: false }
      const size = sizeOf(waiting.tasks)
      const job: Job = { waiting, flow, key, dueAt, size, unfinished: waiting.tasks, ...state }
      enqueue(job, waiting.tasks)
      return job
    },
    enqueue,
    head,
    take: (job) => {
      const { flow } = job
      const { type } = flow
      const index = job.again.pop() ?? job.next++
      clocks[type.level] = Math.max(clocks[type.level]!, type.virtual)
      type.clock = Math.max(type.clock, flow.virtual)
      charge(flow, type.runTimes.mean())
      // The job is the first of its flow, so a smaller key leaves the order of the heap intact.
      job.key -= remainingWeight * type.runTimes.mean()
      forget(job, 1)
      return index
    },
    settle: (flow, chargedMs, runMs) => charge(flow, runMs - chargedMs),
    withdraw: (job) => {
      if (job.withdrawn) return
      job.withdrawn = true
      forget(job, remaining(job))
    },
    before: (flow, tasks) => {
      let before = 0
      for (let size = sizeOf(tasks); size >= 0; size--) before += flow.sizes[size] ?? 0
      return before
    },
    setLevel: (type, level) => {
      type.level = level
      type.virtual = clocks[level]!
    },
    load: (type, now) => type.offered.value(now) / LOAD_OVER_MS,
    offer: (type, tasks, slots, now) => {
      const work = Math.min(tasks * type.runTimes.mean(), MAX_JOB_OFFER * slots * LOAD_OVER_MS)
      type.offered.add(work, now)
    }
  }
}
