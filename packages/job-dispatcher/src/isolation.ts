import type * as clock from '@mustarddeck/clock'
import * as runs from '@mustarddeck/runs'
import type * as agents from './agents.ts'
import type * as crashRecords from './crash-records.ts'
import type * as jobs from './jobs.ts'

/** Linked workers for each that may hold a suspect at a time. */
const WORKERS_PER_SUSPECT = 16
/** Time in ms for which a worker that crashed under a suspect still counts as holding it. */
const CRASH_COUNTS_MS = 3000

/** Starts suspects only on workers that run nothing else, and on few workers at a time. */
export interface Isolation {
  /** True if the task may be started on this agent's worker as far as crashes are concerned. */
  permits (task: jobs.TaskState, agent: agents.Agent): boolean
  /** True for a task that is started only where nothing else runs. */
  isIsolated (task: jobs.TaskState): boolean
  /** Resources to reserve for the task on the agent's worker: all of them for a suspect. */
  amountFor (task: jobs.TaskState, agent: agents.Agent): runs.Resources
  ordered (task: runs.TaskId): void
  /** Called when the task is on no worker any more. */
  released (task: runs.TaskId): void
  /** Called for a crash under a suspect. */
  crashed (): void
}

export const create = (
  timers: clock.Clock, records: crashRecords.CrashRecords, linkedAgents: () => number
): Isolation => {
  const held = new Set<runs.TaskId>()
  let crashedAt: number[] = []

  const mayHoldAnother = (): boolean => {
    crashedAt = crashedAt.filter((at) => timers.monotonic() - at < CRASH_COUNTS_MS)
    return held.size + crashedAt.length < Math.ceil(linkedAgents() / WORKERS_PER_SUSPECT)
  }
  return {
    permits: ({ task }, { worker, free }) => !records.isSuspect(task.id) ||
      (worker !== undefined && runs.fits(worker.capacity, free) && mayHoldAnother()),
    isIsolated: ({ task }) => records.isSuspect(task.id),
    amountFor: ({ task }, { worker }) => worker && records.isSuspect(task.id) ? worker.capacity : task.amount,
    ordered: (task) => { if (records.isSuspect(task)) held.add(task) },
    released: (task) => { held.delete(task) },
    crashed: () => { crashedAt.push(timers.monotonic()) }
  }
}
