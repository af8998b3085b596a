import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'

/** Starts, stops and tracks all runs on one worker. */
export interface Agent {
  /**
   * Handles an announcement of the worker; `clockMs` is its steady clock in ms. Another incarnation than the current
   * one is used only once the worker has confirmed it.
   */
  workerAnnounced (worker: runs.Worker, clockMs: number | undefined): void
  /** Called when the worker with this id is gone. */
  workerGone (worker: runs.WorkerId): void
  /** Accepts orders from the entry on this link; `entry` identifies the incarnation of its process. */
  linkUp (link: number, entry: string): void
  /** Stops the runs of the entry, which is gone or can no longer trust this agent. */
  linkDown (link: number): void
  /** From now on starts nothing while the worker is in one of the zones; runs go on. */
  evacuate (zones: ReadonlySet<string>): void
  receive (link: number, message: runs.ToAgent): void
  /** Starts no more runs; `whenEmpty` is called when no run is left. */
  drain (whenEmpty: () => void): void
  /** Called after the process was suspended: answers to calls pending at that time are not reliable. */
  resumed (): void
  worker (): runs.Worker | undefined
  /** Number of runs that hold capacity on the worker. */
  runCount (): number
  /** Number of those runs, and of orders that wait for one, that this incarnation of an entry has ordered. */
  runCountOf (entry: string): number
  stop (): void
}

export interface Options {
  calls: runs.WorkerCalls
  timers: clock.Timers
  /** Longest lease in ms that the worker grants, whatever is requested. */
  maxLeaseMs: number
  log: log.Log
  send (link: number, message: runs.FromAgent): void
  /** Called before a lease is extended; calls `linkDown` for entries that may have given up this agent. */
  closeExpiredLinks (): void
  /** Called when the worker or what it has announced of itself has changed. */
  onWorkerChange (): void
  /** Called once for each run that held capacity; `ranMs` is the time from the order to the end. */
  onRunEnd (end: runs.RunEnd, ranMs: number): void
}
