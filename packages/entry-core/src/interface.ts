import type * as messages from '@mustarddeck/messages'
import type * as placement from '@mustarddeck/placement'
import type * as types from '@mustarddeck/types'

/** A caller may submit under the ids `<prefix>.<first>` to `<prefix>.<first + count - 1>` for `lifetimeMs`. */
export interface Reservation {
  prefix: string
  first: number
  count: number
  lifetimeMs: number
}

/** An event that the entry's driver passes to the core. */
export type Input =
  | { kind: 'link-up', link: types.LinkId, hello: messages.Hello }
  | { kind: 'link-down', link: types.LinkId }
  | { kind: 'message', link: types.LinkId, message: messages.Message }
  /** Answered with the final outcome, or with `pending` or `unknown` after at most `waitMs`. */
  | { kind: 'submit', request: types.RequestId, submission: types.Submission, waitMs: number }
  | { kind: 'inquire', request: types.RequestId, job: types.JobId, waitMs: number }
  | { kind: 'cancel', request: types.RequestId, job: types.JobId, waitMs: number }
  | { kind: 'reserve', request: types.RequestId, count: number }
  /** The caller's connection closed; the job continues, and no answer is sent. */
  | { kind: 'abandoned', request: types.RequestId }
  /** A periodic read of the membership, which may be stale. */
  | { kind: 'membership', membership: types.Membership }
  /** Result of a `store-fence` effect; the membership is absent if the store was unavailable. */
  | { kind: 'fence-stored', incarnation: types.Incarnation, membership?: types.Membership }
  | { kind: 'rules', rules: types.Rules }
  /** Starts a graceful shutdown. */
  | { kind: 'drain' }
  | { kind: 'timer' }

/** An action that the entry's driver performs for the core. */
export type Effect =
  | { kind: 'send', link: types.LinkId, message: messages.Message }
  | { kind: 'close', link: types.LinkId, reason: string }
  | { kind: 'answer', request: types.RequestId, outcome: types.Outcome }
  | { kind: 'reserved', request: types.RequestId, reservation: Reservation }
  /** No id block can be reserved at present. */
  | { kind: 'reserve-refused', request: types.RequestId, reason: types.RefusalReason, retryAfterMs: number }
  /** Run the fence transaction, then pass its result as `fence-stored`. */
  | { kind: 'store-fence', incarnation: types.Incarnation }
  /** Remove an agent that has been unreachable for too long from the membership. */
  | { kind: 'store-departure', member: types.Member }
  /** The entry may exit: all requests are answered, and its outcomes were offered for handover. */
  | { kind: 'drained' }
  /** One log line. */
  | { kind: 'decision', event: string, fields: Record<string, string | number | boolean> }

/** State machine of an entry, without I/O. Times are monotonic ms of the entry's own clock. */
export interface EntryCore {
  handle (input: Input, now: number): Effect[]
  /** Next time at which the core needs a `timer` input. */
  deadline (): number | undefined
  /** Demand for slots of one agent by rank of priority class; sent as `waiting` of the heartbeat to it. */
  demand (link: types.LinkId): number[]
  status (): Status
}

/** Current state for status reports and metrics. */
export interface Status {
  incarnation: types.Incarnation
  draining: boolean
  /** Jobs without an outcome. */
  jobs: number
  waitingTasks: number
  runningTasks: number
  /** Queue state of each task type. */
  backlog: placement.Backlog[]
  agents: number
  entries: number
  /** Approximate memory of jobs, outcomes and id blocks in bytes. */
  bytes: number
}

export interface Settings {
  name: types.EntryName
  /** Memory limit for jobs, outcomes and id blocks in bytes; at the limit, new work is refused as not run. */
  maxBytes: number
  /** Time for which submissions under a block's ids are accepted. */
  blockLifetimeMs: number
  /** Time after the end of a block's lifetime for which its outcomes are kept. */
  blockRetentionMs: number
  /** Time without a link to an owner after which a request for its job fences it. */
  suspectAfterMs: number
  /** Time without a link to an agent after which the entry requests its removal from the membership. */
  removeAgentAfterMs: number
  /** Delay before a retry, sent to callers with unknown outcomes and temporary refusals. */
  retryAfterMs: number
}
