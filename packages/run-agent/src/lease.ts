import type * as clock from '@mustarddeck/clock'

/** Lease in ms requested from the worker; below the worker's maximum, so that lost runs end before callers retry. */
export const LEASE_MS = 600
/** Maximum fraction, set by the protocol, by which a worker's clock may be slower than the agent's. */
const MAX_CLOCK_DRIFT = 0.02
/** Time in ms within which a worker ends runs after their lease has expired. */
const EXPIRY_DELAY_MS = 20

/** Longest time in ms from the last extension of a lease to the end of all runs under it. */
export const LAPSE_AFTER_MS = Math.ceil(LEASE_MS * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_DELAY_MS

/** Tracks a worker's clock and the latest lease requested from it. */
export interface Lease {
  /** Expiry in ms on the worker's clock that the next call requests; undefined while the clock is unknown. */
  nextExpiry (): number | undefined
  /** Records a lease requested by a call, whether or not the call is answered. */
  recordRequest (untilMs: number): void
  /** Records a reading in ms of the worker's clock. */
  recordClock (clockMs: number): void
  /** Present reading in ms of the worker's clock; -Infinity while it is unknown. */
  workerClock (): number
  /** Monotonic ms by which every requested lease has certainly expired and its runs have ended. */
  expiredBy (): number
  /** Forgets clock and leases; called when the worker has a new incarnation with another clock. */
  reset (): void
}

export const create = (timers: clock.Clock): Lease => {
  let reading: { clockMs: number, at: number } | undefined
  let requestedUntil = -Infinity

  const workerClock = (): number => reading ? reading.clockMs + (timers.monotonic() - reading.at) : -Infinity

  return {
    nextExpiry: () => reading && Math.floor(workerClock() + LEASE_MS),
    workerClock,
    recordRequest: (untilMs) => { requestedUntil = Math.max(requestedUntil, untilMs) },
    recordClock: (clockMs) => { reading = { clockMs, at: timers.monotonic() } },
    expiredBy: () => reading === undefined || requestedUntil === -Infinity
      ? timers.monotonic() + LAPSE_AFTER_MS
      : reading.at + Math.max(0, requestedUntil - reading.clockMs) * (1 + MAX_CLOCK_DRIFT) + EXPIRY_DELAY_MS,
    reset: () => {
      reading = undefined
      requestedUntil = -Infinity
    }
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
