import type * as resources from './resources.ts'
import type * as runs from './interface.ts'

/** One task that an entry asks an agent to start. */
export interface RequestedTask {
  task: runs.TaskId
  /** Identifies the order among all of the entry's incarnation. */
  order: number
  /** Lowest number that the run may have. */
  run: number
  amount: resources.Resources
}

/** Asks an agent to start tasks of one job. `sequence` counts the start messages on the link. */
export interface StartMessage {
  kind: 'start'
  sequence: number
  spec: string
  tasks: RequestedTask[]
}

/** Asks an agent to stop the tasks if they have started. */
export interface StopMessage {
  kind: 'stop'
  tasks: runs.TaskId[]
}

/** Reports that tasks wait at the entry; the agent offers capacity to the entry with the most urgent task first. */
export interface DemandMessage {
  kind: 'want'
  /** Urgency of the most urgent waiting task; absent when no task waits any more. */
  urgency?: Urgency
}

export interface Urgency {
  /** Priority of the task's queue; 0 is the most urgent. */
  priority: number
  /** Time in ms within which the task has to start. */
  withinMs: number
}

export type ToAgent = StartMessage | StopMessage | DemandMessage

/** Reports the worker and its free capacity after all `start` messages up to `sequence`. */
export interface CapacityMessage {
  kind: 'room'
  sequence: number
  /** Absent while the agent cannot start tasks on a worker. */
  worker?: runs.Worker
  free: resources.Resources
  /** True while nothing may be started on the worker because its zone is evacuated; `free` is then nothing. */
  evacuated?: true
  /** Number of entries sharing the worker. */
  sharers: number
}

/** Reports that the task has ended on this worker or was not started; it no longer runs there. */
export interface EndedMessage {
  kind: 'ended'
  task: runs.TaskId
  /** The order that has ended. An earlier one of the same task may be reported after the next one was sent. */
  order: number
  /** Run number; 0 for a task that was refused before a run was created. */
  run: number
  end: runs.RunEnd
  /** Time in ms from the order to the end. */
  ranMs: number
  /** Reason for the end, or for which the task was not started. */
  reason?: string
}

export type FromAgent = CapacityMessage | EndedMessage
