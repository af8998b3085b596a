import type * as ids from './ids.ts'

/** Largest number of tasks in one job. */
export const MAX_TASKS = 260

/** What a task or a worker has: processor cores, memory in MB and accelerators. */
export interface Resources {
  cores: number
  memoryMb: number
  accelerators: number
}

export interface Task {
  name: ids.TaskName
  /** JSON value that the backend server receives as its request body. */
  payload: unknown
}

/** A job as its caller submits it. All tasks are of one type and may run in parallel. */
export interface Submission {
  /** Absent when the entry is to choose the id. */
  id?: ids.JobId
  team: ids.TeamName
  type: ids.TaskTypeName
  tasks: Task[]
  /** False for work that must not run twice, such as a payout; information for the backend server and the logs. */
  idempotent: boolean
  /** Longest time in ms that the job may wait in the queue before it is refused as not run. */
  maxWaitMs?: number
  /** Digest of the content above without the id. */
  digest: ids.Digest
}
