import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** Result of a call to the backend server. `not-started`: the backend server has certainly not started the task. */
export type Execution = messages.TaskEnd | { kind: 'not-started' }

/** An event that the agent's driver passes to the core. */
export type Input =
  | { kind: 'link-up', link: types.LinkId, hello: messages.Hello }
  | { kind: 'link-down', link: types.LinkId }
  | { kind: 'message', link: types.LinkId, message: messages.Message }
  | { kind: 'executed', job: types.JobId, index: number, execution: Execution }
  /** The registration transaction succeeded and read these fences. */
  | { kind: 'registered', fences: types.Incarnation[] }
  /** Starts a graceful shutdown. */
  | { kind: 'leave' }
  | { kind: 'timer' }

/** An action that the agent's driver performs for the core. */
export type Effect =
  | { kind: 'send', link: types.LinkId, message: messages.Message }
  | { kind: 'close', link: types.LinkId, reason: string }
  /** Call the backend server, then pass the result as `executed`. */
  | { kind: 'execute', start: messages.Start }
  /** Abort the call to the backend server; `executed` still follows. */
  | { kind: 'abort', job: types.JobId, index: number }
  /** The incarnation ends: store its departure, then exit, or start a new incarnation if it had `departed`. */
  | { kind: 'left' }
  /** One log line. */
  | { kind: 'decision', event: string, fields: Record<string, string | number | boolean> }

/** State machine of an agent, without I/O. Times are monotonic ms of the agent's own clock. */
export interface AgentCore {
  handle (input: Input, now: number): Effect[]
  /** Next time at which the core needs a `timer` input. */
  deadline (): number | undefined
  /** Number of running tasks. */
  running (): number
  /** Approximate memory of start records and outcomes in bytes. */
  bytes (): number
}

export interface Settings {
  worker: types.WorkerName
  incarnation: types.Incarnation
  slots: number
  resources: types.Resources
  /** Memory limit for records and outcomes in bytes; at the limit, starts are rejected. */
  maxBytes: number
  /** Time without a link to an owner after which the agent fences it on its own. */
  orphanAfterMs: number
  /** Time for which the records are kept after such a fence. */
  orphanRetentionMs: number
  /** Longest time that a leaving agent waits for owners that have no link and may not have received all outcomes. */
  leaveGraceMs: number
}
