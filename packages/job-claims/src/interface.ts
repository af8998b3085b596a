import type * as clock from '@mustarddeck/clock'
import type * as jobDispatcher from '@mustarddeck/job-dispatcher'
import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'

/** One incarnation of an entry's process. */
export type Incarnation = string

/** A claim of an entry. Its claims are numbered in order. */
export interface Claimant {
  incarnation: Incarnation
  claim: number
}

/** Claims that an entry has certainly given up: those with lower numbers than `before`. */
export interface Former {
  incarnation: Incarnation
  before: number
}

/**
 * A holder's answer to another entry that wants to join a job.
 * - `joined`: the job is open; its outcome follows. `ended`: this is its outcome, which stays.
 * - `busy`: tasks of it may still be on a worker, or it is being claimed.
 * - `free`: the entry does not run it, and has given up its claims with lower numbers than `before`.
 */
export type JoinState =
  | { kind: 'joined' }
  | { kind: 'busy' }
  | { kind: 'free', before: number }
  | { kind: 'ended', outcome: jobDispatcher.Outcome }

/** Messages between entries. */
export type ClaimMessage =
  /** Asks whether the sender may run the job; `claim` is the number of the sender's claim. */
  | { kind: 'claim', request: number, key: runs.JobKey, claim: number, former?: Former }
  /** `holder` may run the job already; absent if the recipient of the claim knows none. */
  | { kind: 'claim-reply', request: number, holder?: Incarnation }
  /** Adds a caller of the sender to a job that the recipient holds. */
  | { kind: 'join', request: number, key: runs.JobKey, timeoutMs: number }
  | { kind: 'join-state', request: number, state: JoinState }
  /** The caller that was added with this request is gone. */
  | { kind: 'leave', request: number }
  /** Keys of jobs that the sender holds; `claim` is the number of its latest claim. */
  | { kind: 'held', keys: runs.JobKey[], claim: number }
  /** Keys of jobs that were cancelled, for a recipient that may not have been reached then. */
  | { kind: 'cancelled', keys: runs.JobKey[] }

export interface Options {
  timers: clock.Timers
  log: log.Log
  incarnation: Incarnation
  /** Address of this entry; the same for its next incarnations. */
  address: string
  jobs: Pick<jobDispatcher.Dispatcher, 'submit' | 'join' | 'abandon' | 'cancel' | 'holds' | 'heldKeys' | 'relinquish'>
  /** Longest time in ms that a run may continue after its agent stopped acting for its entry. */
  lapseAfterMs: number
  /** Longest time in ms that runs of an entry may continue after the entry fell silent. */
  silentLapseMs: number
  send (link: number, message: ClaimMessage): void
}

/**
 * Lets one entry at a time run a job, whichever entries its callers reach.
 *
 * Invariant: an entry orders tasks of a job only while it holds the job's claim. It holds the claim from the moment at
 * which the job's registrar, or every linked entry while the registrar may be new to the job, knew of no other holder,
 * until the job has ended and none of its tasks can be on a worker. Other entries that callers reach with the job wait
 * for the holder's outcome.
 */
export interface Claims {
  /** Submits the job to this entry's dispatcher once no other entry holds it, or joins it where it is held. */
  submit (job: jobDispatcher.Job, answer: jobDispatcher.Answer): void
  /** The caller no longer waits. */
  abandon (key: runs.JobKey, answer: jobDispatcher.Answer): void
  /**
   * Cancels a job that is being claimed, and keeps it from running when a request for it arrives later. Returns false
   * if none is being claimed, or if another entry holds it.
   */
  cancel (key: runs.JobKey): boolean
  /** Records the outcome of a job of this entry's dispatcher. */
  jobEnded (key: runs.JobKey, outcome: jobDispatcher.Outcome): void
  entryUp (link: number, incarnation: Incarnation, address: string): void
  entryDown (link: number): void
  receive (link: number, message: ClaimMessage): void
  /** Called after the process stood still: others may have taken over its jobs. */
  suspended (gapMs: number): void
  /** Answers all callers whose jobs are being claimed. */
  leave (): void
}
