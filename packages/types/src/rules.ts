import type * as ids from './ids.ts'
import type * as job from './job.ts'

/** The properties of a task type that entries need to admit and place its tasks. */
export interface TaskType {
  name: ids.TaskTypeName
  service: string
  priorityClass: ids.PriorityClassName
  /** Longest run time of one task in ms; the agent aborts a task that exceeds it. */
  timeLimitMs: number
  /** Resources that one task holds while it runs. */
  resources: job.Resources
  /** Weight of the type's share among the types of its priority class. */
  weight: number
}

/** A priority class; `rank` 0 is the most urgent. */
export interface PriorityClass {
  name: ids.PriorityClassName
  rank: number
  /** Expected wait in ms above which new work of the class is refused. */
  targetWaitMs: number
  /** Share of slots, from 0 to 1, that less urgent classes leave free for this class. */
  reserve: number
}

/** A team that submits jobs. */
export interface Team {
  name: ids.TeamName
  weight: number
  /** Largest number of the team's tasks that run at the same time in the whole fleet; absent if there is no quota. */
  maxRunning?: number
}

/** The part of a published configuration that entries use to admit and place jobs. */
export interface Rules {
  version: number
  taskTypes: TaskType[]
  priorityClasses: PriorityClass[]
  teams: Team[]
}
