import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** A job whose owner cannot be reached, for which somebody waits. */
export interface Request {
  job: types.JobId
  /** Task names of the resubmission; absent for a question about the job's state. */
  names?: types.TaskName[]
}

export interface Agent {
  link: types.LinkId
  incarnation: types.Incarnation
}

/** What the recovery wants done. */
export interface Output {
  send (link: types.LinkId, message: messages.Message): void
  /** Run the fence transaction; the result comes back as `fenceStored`. */
  storeFence (incarnation: types.Incarnation): void
  /** The outcome of a job for all who wait for it; `unknown` means for now. `digest` is that of the records. */
  decided (job: types.JobId, outcome: types.Outcome, digest: types.Digest | undefined): void
}

export interface Settings {
  /** Time without a link to an owner before it is fenced. */
  suspectAfterMs: number
  retryAfterMs: number
}

/**
 * Outcomes of jobs whose owner cannot be reached, from the records of the agents that it may have used. Nothing is
 * decided about a job without records before the fence is in the table and every agent listed there has answered.
 */
export interface Recovery {
  /** Opens the case of a job or joins it. `ownerLostAt`: when the link to the owner was lost, if there was one. */
  request (request: Request, ownerLostAt: number | undefined, now: number): void
  /** The owner is linked again: its cases are closed, and their jobs are returned. */
  ownerUp (incarnation: types.Incarnation): types.JobId[]
  agentUp (agent: Agent): void
  agentDown (link: types.LinkId): void
  records (link: types.LinkId, message: messages.Records, now: number): void
  recordUpdate (job: types.JobId, index: number, outcome: messages.TaskEnd | undefined, now: number): void
  fenceStored (incarnation: types.Incarnation, membership: types.Membership | undefined, now: number): void
  /** A newer membership read, which may be stale, shows more departures at most. */
  membership (membership: types.Membership, now: number): void
  timer (now: number): void
  deadline (): number | undefined
}
