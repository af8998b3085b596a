import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'

/** Lease in ms requested from the worker; below the worker's maximum, so that lost runs end before callers retry. */
export const LEASE_MS = 600
/** Shortest remaining lease in ms with which a run is started. */
const MIN_LEASE_MS = 200
/** Maximum fraction, set by the protocol, by which a worker's clock may be slower than the agent's. */
const MAX_CLOCK_DRIFT = 0.02
/** Time in ms within which a worker ends runs after their lease has expired. */
const EXPIRY_DELAY_MS = 20

/** Longest time in ms from the grant of a lease to the end of all runs under it. */
const lapseAfterMs = (leaseMs: number): number => Math.ceil(leaseMs * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_DELAY_MS

/** Longest time in ms from the last extension of a lease to the end of all runs under it. */
export const LAPSE_AFTER_MS = lapseAfterMs(LEASE_MS)
/** Margin in ms for the message or the timer that makes an agent stop a run. */
const STOP_MARGIN_MS = 60
/** Longest time in ms from the decision that a run must end, or from the loss of its agent, to its end. */
export const STOPPED_AFTER_MS = STOP_MARGIN_MS + LAPSE_AFTER_MS

/**
 * Tracks the clock of a worker's present incarnation and the leases on it.
 *
 * Invariant: whenever the agent starts a run or extends a lease, no lease on the worker lasts longer than
 * `LAPSE_AFTER_MS`. Entries rely on it when they lose an agent, which they can't ask. It holds since
 * - no request goes further ahead than `LEASE_MS` on the clock of the incarnation that it names;
 * - calls with a request reach only that incarnation (`runs.WorkerCalls`);
 * - an unanswered call to the former incarnation that the present one executes late gains at most the worker's longest
 *   lease, and no run is started until so little is left of that. Calls with the former fencing token have no effect
 *   any more once the present incarnation has seen the new one.
 */
export interface Lease {
  /** Lease that the next call requests; undefined while the clock is unknown. */
  next (): runs.LeaseRequest | undefined
  /** Latest lease that was requested; undefined if it is too short for a new run. */
  latest (): runs.LeaseRequest | undefined
  /** Records a lease requested by a call, whether or not the call is answered. */
  recordRequest (request: runs.LeaseRequest): void
  /** Records a reading in ms of the worker's clock. */
  recordClock (reading: Pick<runs.Listing, 'clockMs' | 'bornMs'>): void
  /** Whether no late call to a former incarnation can keep a run alive beyond `LAPSE_AFTER_MS` from now. */
  allowsRuns (): boolean
  /** Monotonic ms by which every lease on the worker has certainly expired and its runs have ended. */
  expiredBy (): number
  /** Called when the worker has restarted under its id, so that calls to its former incarnation may still reach it. */
  restarted (): void
  /** Called when the worker has seen a fencing token that no call to a former incarnation had. */
  fenced (): void
  /** Forgets clock and leases; called for a worker with another id. */
  reset (): void
}

export interface Options {
  timers: clock.Clock
  /** Longest lease in ms that the worker grants, whatever is requested. */
  maxLeaseMs: number
}

export const create = ({ timers, maxLeaseMs }: Options): Lease => {
  let reading: { clockMs: number, bornMs: number, at: number } | undefined
  let requestedUntil = -Infinity
  /** Monotonic ms by which leases gained by calls to former incarnations have expired; infinite until `fenced`. */
  let lateLeaseExpiredBy = -Infinity

  const workerClock = (): number | undefined => reading && reading.clockMs + (timers.monotonic() - reading.at)
  const reset = (): void => {
    reading = undefined
    requestedUntil = -Infinity
    lateLeaseExpiredBy = -Infinity
  }

  return {
    next: () => {
      const clockMs = workerClock()
      return clockMs === undefined ? undefined : { bornMs: reading!.bornMs, untilMs: Math.floor(clockMs + LEASE_MS) }
    },
    latest: () => {
      const clockMs = workerClock()
      if (clockMs === undefined || requestedUntil - clockMs < MIN_LEASE_MS) return undefined
      return { bornMs: reading!.bornMs, untilMs: requestedUntil }
    },
    recordRequest: ({ untilMs }) => { requestedUntil = Math.max(requestedUntil, untilMs) },
    recordClock: ({ clockMs, bornMs }) => { reading = { clockMs, bornMs, at: timers.monotonic() } },
    allowsRuns: () => lateLeaseExpiredBy <= timers.monotonic() + LAPSE_AFTER_MS,
    expiredBy: () => {
      const requestedExpiredBy = reading === undefined || requestedUntil === -Infinity
        ? timers.monotonic() + LAPSE_AFTER_MS
        : reading.at + Math.max(0, requestedUntil - reading.clockMs) * (1 + MAX_CLOCK_DRIFT) + EXPIRY_DELAY_MS
      return Math.max(requestedExpiredBy, lateLeaseExpiredBy)
    },
    restarted: () => {
      reset()
      lateLeaseExpiredBy = Infinity
    },
    fenced: () => {
      if (lateLeaseExpiredBy === Infinity) lateLeaseExpiredBy = timers.monotonic() + lapseAfterMs(maxLeaseMs)
    },
    reset
  }
}

/** Fencing token for the calls of one incarnation of agent and worker; higher than those of earlier incarnations. */
export interface FencingToken {
  current (): number
  /** Called for a new incarnation of the worker, so that late orders to the previous one have no effect. */
  advance (): void
  /** Called when the worker has seen a higher token than the current one. */
  superseded (): void
}

/** Step by which a superseded token rises; in ms, and larger than any step back of the system clock. */
const SUPERSEDED_STEP_MS = 60_000

export const createFencingToken = (timers: clock.Clock): FencingToken => {
  let token = timers.now().getTime()
  return {
    current: () => token,
    advance: () => { token++ },
    superseded: () => { token += SUPERSEDED_STEP_MS }
  }
}
