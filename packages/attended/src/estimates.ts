import * as placement from '@mustarddeck/placement'
import type * as attended from './interface.ts'

/** Share of a new measurement in the estimate of a queue. */
const LEARNING_RATE = 0.05
/** Run times are compared as if every task were declared this long, in ms. */
const REFERENCE_MS = 300
/** Shortest run time in ms assumed of a task, whatever its caller declares. */
const MIN_ESTIMATE_MS = 5

/** Learns per queue how the run times of tasks compare with what their callers declare. */
export interface Estimates {
  /** Expected run time in ms. */
  of (queue: attended.QueueName, task: attended.Task): number
  /** Run time scaled to one declared length, to compare workers by. */
  scaled (task: attended.Task, ranMs: number): number
  runTimes (queue: attended.QueueName): placement.runTimes.RunTimes
  learn (queue: attended.QueueName, task: attended.Task, ranMs: number): void
}

export const create = (): Estimates => {
  const byQueue = new Map<attended.QueueName, placement.runTimes.RunTimes>()

  const runTimes = (queue: attended.QueueName): placement.runTimes.RunTimes => {
    let times = byQueue.get(queue)
    if (!times) byQueue.set(queue, times = placement.runTimes.create({ learningRate: LEARNING_RATE }))
    return times
  }
  const declared = (task: attended.Task): number => Math.max(MIN_ESTIMATE_MS, task.estimateMs)
  const scaled = (task: attended.Task, ranMs: number): number => ranMs / declared(task) * REFERENCE_MS
  return {
    of: (queue, task) => declared(task) * runTimes(queue).mean() / REFERENCE_MS,
    scaled,
    runTimes,
    learn: (queue, task, ranMs) => runTimes(queue).add(scaled(task, ranMs))
  }
}
