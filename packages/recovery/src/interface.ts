import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** A request for the outcome of a job whose owner cannot be reached. */
export interface Request {
  job: types.JobId
  /** Task names of the resubmission; absent for an inquiry or a cancellation. */
  names?: types.TaskName[]
}

/** A linked agent. */
export interface Agent {
  link: types.LinkId
  incarnation: types.Incarnation
}

/** Actions that the recovery's user performs for it. */
export interface Output {
  send (link: types.LinkId, message: messages.Message): void
  /** Runs the fence transaction and passes its result to `fenceStored`. */
  storeFence (incarnation: types.Incarnation): void
  /** Delivers the outcome of a job to all its waiters; only `unknown` isn't final. `digest` is that of the records. */
  decided (job: types.JobId, outcome: types.Outcome, digest: types.Digest | undefined): void
}

export interface Settings {
  /** Time without a link to an owner before it is fenced. */
  suspectAfterMs: number
  /** Delay before a retry, sent to callers with `unknown` outcomes. */
  retryAfterMs: number
}

/**
 * Determines outcomes of jobs whose owner cannot be reached from the records of the agents that it may have used.
 * Nothing is decided about a job without records before the fence is stored and every member listed then has answered.
 */
export interface Recovery {
  /** Starts recovery of a job or joins it. `ownerLostAt`: when the link to the owner was lost, if there was one. */
  request (request: Request, ownerLostAt: number | undefined, now: number): void
  /** Ends the recovery of an owner that is linked again and returns the jobs that still wait for an outcome. */
  ownerUp (incarnation: types.Incarnation): types.JobId[]
  agentUp (agent: Agent): void
  agentDown (link: types.LinkId): void
  records (link: types.LinkId, message: messages.Records, now: number): void
  recordUpdate (job: types.JobId, index: number, outcome: messages.TaskEnd | undefined, now: number): void
  /** Result of `storeFence`; the membership is absent if the store was unavailable. */
  fenceStored (incarnation: types.Incarnation, membership: types.Membership | undefined, now: number): void
  /** Passes a periodic read of the membership. It may be stale, so it can only add departures to what is known. */
  membership (membership: types.Membership, now: number): void
  timer (now: number): void
  /** Next time at which `timer` must be called; undefined if there is no case. */
  deadline (): number | undefined
}
