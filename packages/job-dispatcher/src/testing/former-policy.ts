import * as placement from '@mustarddeck/placement'
import type * as types from '@mustarddeck/types'
import type * as interfaces from '../interface.ts'
import type * as replay from './replay.ts'

const LEARNING_RATE = 0.05
const REFERENCE_MS = 300
const MIN_ESTIMATE_MS = 5
const OVERDUE_FACTOR = 3
const MIN_OVERDUE_MS = 250

/** One mean run time per queue, and workers judged by single runs against it, for comparison. */
export const create: replay.CreatePolicy = ({ timers, agents, onRotation }) => {
  const byQueue = new Map<interfaces.QueueName, placement.runTimes.RunTimes>()

  const runTimes = (queue: interfaces.QueueName): placement.runTimes.RunTimes => {
    let times = byQueue.get(queue)
    if (!times) byQueue.set(queue, times = placement.runTimes.create({ learningRate: LEARNING_RATE }))
    return times
  }
  const declaredMs = (task: interfaces.Task): number => Math.max(MIN_ESTIMATE_MS, task.estimateMs)
  const expectedMs: replay.Policy['expectedMs'] = ({ job, task }) =>
    declaredMs(task) * runTimes(job.job.queue.name).mean() / REFERENCE_MS
  const record = (...[{ job, task }, agent, ranMs, failed]: [...Parameters<replay.Policy['done']>, boolean]): void => {
    const queue = job.job.queue.name
    const normalizedMs = ranMs / declaredMs(task) * REFERENCE_MS
    agent.health.running = agent.tasks.size
    const event = agents.health.record(agent.health, {
      type: queue as unknown as types.TaskTypeName, failed, runMs: normalizedMs, runTimes: runTimes(queue)
    }, timers.monotonic())
    if (event) onRotation(event, agent)
    if (!failed) runTimes(queue).add(normalizedMs)
  }
  return {
    submitted: () => {},
    expectedMs,
    done: (task, agent, ranMs) => record(task, agent, ranMs, false),
    failed: (task, agent, ranMs) => record(task, agent, ranMs, true),
    isOverdue: (task, agent) => {
      const ranMs = timers.monotonic() - task.orderedAt
      if (ranMs <= OVERDUE_FACTOR * expectedMs(task) + MIN_OVERDUE_MS) return false
      record(task, agent, ranMs, true)
      return true
    },
    jobEnded: () => {}
  }
}
