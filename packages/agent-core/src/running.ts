import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

export interface RunningTask {
  start: messages.Start
  /** Link whose grant the task uses. */
  link: types.LinkId
}

/** The tasks that the backend server runs now, and the resources that they hold. */
export interface Running {
  add (task: RunningTask): void
  remove (job: types.JobId, index: number): RunningTask | undefined
  has (job: types.JobId, index: number): boolean
  fits (resources: types.Resources): boolean
  size (): number
}

const keyOf = (job: types.JobId, index: number): string => `${job}/${index}`

export const create = (total: types.Resources): Running => {
  const tasks = new Map<string, RunningTask>()
  const used: types.Resources = { cores: 0, memoryMb: 0, accelerators: 0 }

  const hold = (resources: types.Resources, sign: 1 | -1): void => {
    used.cores += sign * resources.cores
    used.memoryMb += sign * resources.memoryMb
    used.accelerators += sign * resources.accelerators
  }
  return {
    add: (task) => {
      tasks.set(keyOf(task.start.job, task.start.index), task)
      hold(task.start.resources, 1)
    },
    remove: (job, index) => {
      const key = keyOf(job, index)
      const task = tasks.get(key)
      if (!task) return undefined
      tasks.delete(key)
      hold(task.start.resources, -1)
      return task
    },
    has: (job, index) => tasks.has(keyOf(job, index)),
    fits: (resources) =>
      used.cores + resources.cores <= total.cores &&
      used.memoryMb + resources.memoryMb <= total.memoryMb &&
      used.accelerators + resources.accelerators <= total.accelerators,
    size: () => tasks.size
  }
}
