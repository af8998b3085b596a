import type * as messages from '@mustarddeck/messages'
import type * as placement from '@mustarddeck/placement'
import type * as types from '@mustarddeck/types'

/** Ids `<prefix>.<first>` to `<prefix>.<first + count - 1>` belong to the caller for `lifetimeMs`. */
export interface Reservation {
  prefix: string
  first: number
  count: number
  lifetimeMs: number
}

export type Input =
  | { kind: 'link-up', link: types.LinkId, hello: messages.Hello }
  | { kind: 'link-down', link: types.LinkId }
  | { kind: 'message', link: types.LinkId, message: messages.Message }
  /** The answer comes when the outcome is final, or as `pending` or `unknown` after at most `waitMs`. */
  | { kind: 'submit', request: types.RequestId, submission: types.Submission, waitMs: number }
  | { kind: 'inquire', request: types.RequestId, job: types.JobId, waitMs: number }
  | { kind: 'cancel', request: types.RequestId, job: types.JobId, waitMs: number }
  | { kind: 'reserve', request: types.RequestId, count: number }
  /** The caller's connection closed; the job goes on, and no answer is wanted. */
  | { kind: 'abandoned', request: types.RequestId }
  /** A periodic read of the membership; may be stale. */
  | { kind: 'membership', membership: types.Membership }
  /** Result of `store-fence`; the membership is absent when the store was unavailable. */
  | { kind: 'fence-stored', incarnation: types.Incarnation, membership?: types.Membership }
  | { kind: 'rules', rules: types.Rules }
  /** Starts a graceful stop. */
  | { kind: 'drain' }
  | { kind: 'timer' }

export type Effect =
  | { kind: 'send', link: types.LinkId, message: messages.Message }
  | { kind: 'close', link: types.LinkId, reason: string }
  | { kind: 'answer', request: types.RequestId, outcome: types.Outcome }
  | { kind: 'reserved', request: types.RequestId, reservation: Reservation }
  /** No block could be reserved now. */
  | { kind: 'reserve-refused', request: types.RequestId, reason: types.RefusalReason, retryAfterMs: number }
  /** Run the fence transaction, then give its result as `fence-stored`. */
  | { kind: 'store-fence', incarnation: types.Incarnation }
  /** Remove an agent that has been unreachable for too long from the membership. */
  | { kind: 'store-departure', member: types.Member }
  /** The entry may exit: every request is answered, and its jobs are handed over. */
  | { kind: 'drained' }
  /** One log line. */
  | { kind: 'decision', event: string, fields: Record<string, string | number | boolean> }

/** Decision code of an entry. Times are monotonic ms of the entry's own clock. */
export interface EntryCore {
  handle (input: Input, now: number): Effect[]
  /** Next time at which a `timer` input is wanted. */
  deadline (): number | undefined
  /** Slots wanted from one agent by rank of priority class, for `waiting` of the heartbeat to it. */
  demand (link: types.LinkId): number[]
  status (): Status
}

export interface Status {
  incarnation: types.Incarnation
  draining: boolean
  jobs: number
  waitingTasks: number
  runningTasks: number
  /** By task type. */
  backlog: placement.Backlog[]
  agents: number
  entries: number
  /** Approximate bytes of jobs, outcomes and blocks. */
  bytes: number
}

export interface Settings {
  name: types.EntryName
  /** Limit of jobs, outcomes and blocks in bytes; at the limit, new work is refused as not run. */
  maxBytes: number
  blockLifetimeMs: number
  /** Time after the end of a block's lifetime for which its outcomes are kept. */
  blockRetentionMs: number
  /** Time without a link to an owner after which a resubmission leads to its fence. */
  suspectAfterMs: number
  /** Time without a link to an agent after which the entry has it removed from the membership. */
  removeAgentAfterMs: number
  /** `retryAfterMs` of outcomes that are unknown for now. */
  retryAfterMs: number
}
