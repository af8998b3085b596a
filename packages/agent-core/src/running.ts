import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** A task that was passed to the backend server and has not ended. */
export interface RunningTask {
  start: messages.Start
  /** Link whose slot the task uses. */
  link: types.LinkId
}

/** The tasks that the backend server runs, and the resources reserved for them. */
export interface RunningTasks {
  add (task: RunningTask): void
  remove (job: types.JobId, index: number): RunningTask | undefined
  has (job: types.JobId, index: number): boolean
  /** True if the worker has these resources free. */
  fits (resources: types.Resources): boolean
  size (): number
}

const taskKey = (job: types.JobId, index: number): string => `${job}/${index}`

export const create = (total: types.Resources): RunningTasks => {
  const tasks = new Map<string, RunningTask>()
  const used: types.Resources = { cores: 0, memoryMb: 0, accelerators: 0 }

  const changeUsage = (resources: types.Resources, sign: 1 | -1): void => {
    used.cores += sign * resources.cores
    used.memoryMb += sign * resources.memoryMb
    used.accelerators += sign * resources.accelerators
  }
  return {
    add: (task) => {
      tasks.set(taskKey(task.start.job, task.start.index), task)
      changeUsage(task.start.resources, 1)
    },
    remove: (job, index) => {
      const key = taskKey(job, index)
      const task = tasks.get(key)
      if (!task) return undefined
      tasks.delete(key)
      changeUsage(task.start.resources, -1)
      return task
    },
    has: (job, index) => tasks.has(taskKey(job, index)),
    fits: (resources) =>
      used.cores + resources.cores <= total.cores &&
      used.memoryMb + resources.memoryMb <= total.memoryMb &&
      used.accelerators + resources.accelerators <= total.accelerators,
    size: () => tasks.size
  }
}
