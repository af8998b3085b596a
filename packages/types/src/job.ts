import type * as ids from './ids.ts'

/** Largest number of tasks in one job. */
export const MAX_TASKS = 260

/** Resources that a task needs or a worker has. */
export interface Resources {
  /** Processor cores. */
  cores: number
  memoryMb: number
  accelerators: number
}

export interface Task {
  name: ids.TaskName
  /** JSON value that the backend server receives as its request body. */
  payload: unknown
}

/** A job as submitted by its caller. All tasks have the same type and may run in parallel. */
export interface Submission {
  /** Absent if the entry is to allocate the id. */
  id?: ids.JobId
  team: ids.TeamName
  type: ids.TaskTypeName
  tasks: Task[]
  /** False for work that must not run twice, such as a payout; its tasks aren't aborted when another one fails. */
  idempotent: boolean
  /** Longest wait in the queue in ms; after that the job is refused as not run. */
  maxWaitMs?: number
  /** Digest of the properties above except the id. */
  digest: ids.Digest
}
