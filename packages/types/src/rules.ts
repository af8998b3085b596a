import type * as ids from './ids.ts'
import type * as job from './job.ts'

/** What decision code needs to know of a task type. */
export interface TaskType {
  name: ids.TaskTypeName
  service: string
  priorityClass: ids.PriorityClassName
  /** Longest run time of one task in ms; the agent aborts the task then. */
  timeLimitMs: number
  /** Resources that one task holds while it runs. */
  resources: job.Resources
  /** Weight of the type's share among types of the same class. */
  weight: number
}

/** `rank` 0 is the most urgent class. */
export interface PriorityClass {
  name: ids.PriorityClassName
  rank: number
  /** Expected wait in ms above which new work of the class is refused. */
  targetWaitMs: number
  /** Share of slots, 0 to 1, that less urgent work leaves free for this class. */
  reserve: number
}

export interface Team {
  name: ids.TeamName
  weight: number
  /** Largest number of the team's tasks that run at once in the whole fleet; absent means no quota. */
  maxRunning?: number
}

/** The part of a published configuration that entries decide by. */
export interface Rules {
  version: number
  taskTypes: TaskType[]
  priorityClasses: PriorityClass[]
  teams: Team[]
}
