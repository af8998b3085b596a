import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as fleet from './agents.ts'
import type * as jobs from './jobs.ts'
import * as rackWait from './rack-wait.ts'

/**
 * How a wait for a rack ended. `near`: the task was placed there. `expired`: its time ran out.
 * `capacity-fell`: a worker of the rack was lost or may not be used any more. `regrouped`: the task's group is placed
 * elsewhere. `job-ended`: the job ended first.
 */
export type WaitOutcome = 'near' | 'expired' | 'capacity-fell' | 'regrouped' | 'job-ended'

export interface Options {
  timers: clock.Clock
  log: log.Log
  onRackWait (outcome: WaitOutcome): void
}

/** Begins and ends the waits of tasks as decided, and reports them. */
export interface RackWaits {
  /** Applies the choice for a task: an agent, a wait, or undefined if there is room nowhere. */
  apply (task: jobs.TaskState, choice: fleet.Agent | rackWait.Wait | undefined): void
  end (task: jobs.TaskState, outcome: WaitOutcome): void
}

export const create = ({ timers, log, onRackWait }: Options): RackWaits => {
  const begin = (task: jobs.TaskState, wait: rackWait.Wait): void => {
    task.rackWait = wait
    task.waitLimit = Math.min(task.waitLimit, wait.until)
    const { nearMs, farMs, roomInMs, busyShare, affectedTasks } = wait.inputs
    log.info('rack-wait', {
      task: task.task.id,
      rack: wait.rack,
      untilMs: Math.round(wait.until - wait.since),
      nearMs: Math.round(nearMs),
      farMs: Math.round(farMs),
      roomInMs: Math.round(roomInMs),
      busyShare: Number(busyShare.toFixed(2)),
      affectedTasks
    })
  }
  const end = (task: jobs.TaskState, outcome: WaitOutcome): void => {
    if (!task.rackWait) return
    task.rackWait = undefined
    // A wait that ended for want of capacity isn't resumed.
    if (outcome === 'capacity-fell') task.waitLimit = -Infinity
    onRackWait(outcome)
  }
  return {
    apply: (task, choice) => {
      if (rackWait.isWait(choice)) {
        if (choice !== task.rackWait) begin(task, choice)
      } else if (choice && task.rackWait) end(task, 'near')
    },
    end
  }
}
