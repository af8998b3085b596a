import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** End of a call to the backend server. `not-started`: the backend server has certainly not begun the task. */
export type Execution = messages.TaskEnd | { kind: 'not-started' }

export type Input =
  | { kind: 'link-up', link: types.LinkId, hello: messages.Hello }
  | { kind: 'link-down', link: types.LinkId }
  | { kind: 'message', link: types.LinkId, message: messages.Message }
  | { kind: 'executed', job: types.JobId, index: number, execution: Execution }
  /** The registration transaction succeeded; `fences` is what it read. */
  | { kind: 'registered', fences: types.Incarnation[] }
  /** Starts a graceful stop. */
  | { kind: 'leave' }
  | { kind: 'timer' }

export type Effect =
  | { kind: 'send', link: types.LinkId, message: messages.Message }
  | { kind: 'close', link: types.LinkId, reason: string }
  /** Call the backend server, then give the result as `executed`. */
  | { kind: 'execute', start: messages.Start }
  /** Abort the call; `executed` still follows. */
  | { kind: 'abort', job: types.JobId, index: number }
  /** The incarnation is over: depart from the row, then exit, or go on under a new incarnation after `departed`. */
  | { kind: 'left' }
  /** One log line. */
  | { kind: 'decision', event: string, fields: Record<string, string | number | boolean> }

/** Decision code of an agent. Times are monotonic ms of the agent's own clock. */
export interface AgentCore {
  handle (input: Input, now: number): Effect[]
  /** Next time at which a `timer` input is wanted. */
  deadline (): number | undefined
  /** Number of tasks that run now. */
  running (): number
  /** Approximate bytes held by start records and outcomes. */
  bytes (): number
}

export interface Settings {
  worker: types.WorkerName
  incarnation: types.Incarnation
  slots: number
  resources: types.Resources
  /** Limit of records and outcomes in bytes; at the limit, starts are rejected. */
  maxBytes: number
  /** Time without a link to an owner after which the agent fences it by itself. */
  orphanAfterMs: number
  /** Time after such a fence for which the records are kept. */
  orphanRetentionMs: number
  /** Longest time in ms that a leaving agent waits for owners without a link that have not seen all outcomes. */
  leaveGraceMs: number
}
