import * as placement from '@mustarddeck/placement'
import type * as runs from '@mustarddeck/runs'
import type * as interfaces from './interface.ts'

/** Weight of a new measurement in a queue's moving average. */
const LEARNING_RATE = 0.05
/** Declared run time in ms to which measured run times are normalized. */
const REFERENCE_MS = 300
/** Lower bound in ms on a task's declared run time. */
const MIN_ESTIMATE_MS = 5

/** What the run time of a task depends on beside its queue and its declared run time. */
export interface Place {
  worker: runs.Worker
  /** Name of the worker's agent. */
  agent: string
  /** True if the run is away from the task's data or group. */
  far: boolean
}

/** Estimates run times from the ratio of measured to declared run times of each queue. */
export interface Estimates {
  /** Expected run time in ms at the given place, or on a typical worker near the task's data. */
  expectedRunMs (queue: interfaces.QueueName, task: interfaces.Task, place?: Place): number
  /** Run time in ms normalized to `REFERENCE_MS`, so that runs of tasks of different lengths can be compared. */
  normalizedRunMs (task: interfaces.Task, ranMs: number, place?: Place): number
  runTimes (queue: interfaces.QueueName): placement.runTimes.RunTimes
  record (queue: interfaces.QueueName, task: interfaces.Task, ranMs: number, place?: Place): void
}

export const create = (): Estimates => {
  const byQueue = new Map<interfaces.QueueName, placement.runTimes.RunTimes>()

  const runTimes = (queue: interfaces.QueueName): placement.runTimes.RunTimes => {
    let times = byQueue.get(queue)
    if (!times) byQueue.set(queue, times = placement.runTimes.create({ learningRate: LEARNING_RATE }))
    return times
  }
  const declaredMs = (task: interfaces.Task): number => Math.max(MIN_ESTIMATE_MS, task.estimateMs)
  const normalizedRunMs = (task: interfaces.Task, ranMs: number): number => ranMs / declaredMs(task) * REFERENCE_MS
  return {
    expectedRunMs: (queue, task) => declaredMs(task) * runTimes(queue).mean() / REFERENCE_MS,
    normalizedRunMs,
    runTimes,
    record: (queue, task, ranMs) => runTimes(queue).add(normalizedRunMs(task, ranMs))
  }
}
