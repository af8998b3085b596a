import type * as amounts from './amount.ts'
import type * as runs from './interface.ts'

/** One task that an entry asks an agent to start. */
export interface Wanted {
  task: runs.TaskId
  /** Lowest number that the run may have. */
  run: number
  amount: amounts.Amount
}

/** Starts of tasks of one job. `sequence` counts the messages of this kind on the link. */
export interface StartMessage {
  kind: 'start'
  sequence: number
  spec: string
  tasks: Wanted[]
}

/** The tasks are not wanted any more: started ones are stopped. */
export interface StopMessage {
  kind: 'stop'
  tasks: runs.TaskId[]
}

/** Tasks wait at the entry for room: the agent tells it of room before others whose work is less urgent. */
export interface WantMessage {
  kind: 'want'
  /** The most urgent of the tasks; absent when none waits any more. */
  urgency?: Urgency
}

export interface Urgency {
  /** Priority of its queue, 0 for the most urgent. */
  priority: number
  /** Time in ms in which it has to start. */
  withinMs: number
}

export type ToAgent = StartMessage | StopMessage | WantMessage

/** The worker and what is free on it, after all `start` messages up to `sequence`. */
export interface RoomMessage {
  kind: 'room'
  sequence: number
  /** Absent while the agent knows no worker that it may start on. */
  worker?: runs.Worker
  free: amounts.Amount
  /** Entries that share the worker. */
  sharers: number
}

/** The task has ended on this worker, or was not started there; it runs there no more. */
export interface EndedMessage {
  kind: 'ended'
  task: runs.TaskId
  /** 0 for a task that was refused before it got a run. */
  run: number
  end: runs.RunEnd
  /** Time in ms from the order to the end. */
  ranMs: number
  /** Why the task was not started. */
  reason?: string
}

export type FromAgent = RoomMessage | EndedMessage
