import * as placement from '@mustarddeck/placement'
import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import type * as interfaces from './interface.ts'

/** Lower bound in ms on a task's declared run time. */
const MIN_ESTIMATE_MS = 5
/** `far_x` of a deployment that does not set it. */
export const DEFAULT_FAR_FACTOR = 1.5

/** What the run time of a task depends on beside its queue and its declared run time. */
export interface Place {
  worker: runs.Worker
  /** Name of the worker's agent. */
  agent: string
  /** True if the run is away from the task's data or group. */
  far: boolean
}

/** Estimates run times from earlier runs; see `placement.runTimeModel`. */
export interface Estimates {
  /** Expected run time in ms at the given place, or on a typical worker near the task's data. */
  expectedRunMs (queue: interfaces.QueueName, task: interfaces.Task, place?: Place): number
  /** The same for a worker of the place's type that is at most `maxFactor` times slower than its type. */
  expectedOfTypeMs (queue: interfaces.QueueName, task: interfaces.Task, place: Place, maxFactor: number): number
  deviation (
    queue: interfaces.QueueName, task: interfaces.Task, ranMs: number, place: Place
  ): placement.runTimeModel.Deviation
  /** Records a run that has ended `done`. */
  record (queue: interfaces.QueueName, task: interfaces.Task, ranMs: number, place: Place): void
  /** Lets the runs of some tasks of a step tell about the others. */
  addStep (tasks: readonly interfaces.Task[]): void
  /** Takes in the runs of a step whose job has ended. */
  endStep (tasks: readonly interfaces.Task[]): void
  /** Forgets the worker of an agent that is gone. */
  forget (agent: string): void
}

/** Place of a run of the task on a worker, without regard to its group. */
export const placeOf = (task: interfaces.Task, agent: string, worker: runs.Worker): Place =>
  ({ worker, agent, far: task.rack !== undefined && !worker.labels.includes(task.rack) })

export const create = (
  { timers, farFactor = DEFAULT_FAR_FACTOR }: { timers: clock.Clock, farFactor?: number }
): Estimates => {
  const model = placement.runTimeModel.create({ farFactor, now: () => timers.monotonic() })
  const steps = new WeakMap<interfaces.Task, placement.runTimeModel.Step>()

  const workOf = (queue: interfaces.QueueName, task: interfaces.Task): placement.runTimeModel.Work =>
    ({ queue, declaredMs: Math.max(MIN_ESTIMATE_MS, task.estimateMs), step: steps.get(task) })
  // The first label of a worker is the type of its machine; services may use the types differently.
  const siteOf = ({ worker, agent, far }: Place): placement.runTimeModel.Site =>
    ({ worker: agent, incarnation: worker.bornMs, type: `${worker.service} ${worker.labels[0] ?? ''}`, far })
  return {
    expectedRunMs: (queue, task, place) => model.expectedMs(workOf(queue, task), place && siteOf(place)),
    expectedOfTypeMs: (queue, task, place, maxFactor) =>
      model.expectedOfTypeMs(workOf(queue, task), siteOf(place), maxFactor),
    deviation: (queue, task, ranMs, place) => model.deviation(workOf(queue, task), siteOf(place), ranMs),
    record: (queue, task, ranMs, place) => model.record(workOf(queue, task), siteOf(place), ranMs),
    addStep: (tasks) => {
      const step = model.createStep(tasks.length)
      for (const task of tasks) steps.set(task, step)
    },
    endStep: ([task]) => {
      const step = task && steps.get(task)
      if (step) model.close(step)
    },
    forget: model.forget
  }
}
