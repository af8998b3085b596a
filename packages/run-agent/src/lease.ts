import type * as clock from '@mustarddeck/clock'

/** Lease in ms that is asked of the worker; below its maximum, so that lost runs end before callers retry. */
export const LEASE_MS = 600
/** Bound of the protocol: a worker's clock may be this much slower than the agent's. */
const MAX_CLOCK_DRIFT = 0.02
/** Time in ms in which a worker ends runs whose lease has expired. */
const EXPIRY_MS = 20

/** Longest time in ms from the last extension of a lease to the end of all runs under it. */
export const LAPSE_AFTER_MS = Math.ceil(LEASE_MS * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_MS

/** Tracks a worker's clock and the lease that it was asked for. */
export interface Lease {
  /** Time on the worker's clock up to which the next call extends the lease; undefined while its clock is unknown. */
  next (): number | undefined
  /** Takes note of a lease that a call carries, whether it is answered or not. */
  asked (untilMs: number): void
  /** Takes note of a reading of the worker's clock. */
  read (clockMs: number): void
  /** Monotonic ms at which every lease asked for has surely expired. */
  expiredBy (): number
  /** The worker has begun a new life with another clock. */
  reset (): void
}

export const create = (timers: clock.Clock): Lease => {
  let reading: { clockMs: number, at: number } | undefined
  let askedUntil = -Infinity

  return {
    next: () => reading && Math.floor(reading.clockMs + (timers.monotonic() - reading.at) + LEASE_MS),
    asked: (untilMs) => { askedUntil = Math.max(askedUntil, untilMs) },
    read: (clockMs) => { reading = { clockMs, at: timers.monotonic() } },
    expiredBy: () => reading === undefined || askedUntil === -Infinity
      ? timers.monotonic() + LAPSE_AFTER_MS
      : reading.at + Math.max(0, askedUntil - reading.clockMs) * (1 + MAX_CLOCK_DRIFT) + EXPIRY_MS,
    reset: () => {
      reading = undefined
      askedUntil = -Infinity
    }
  }
}

/** A token for the calls of one life of agent and worker; higher than those of earlier lives. */
export interface Token {
  current (): number
  /** A new life of the worker: late orders of the earlier one must not take effect. */
  advance (): void
  /** The worker has seen a higher token than the current one. */
  overtaken (): void
}

/** Steps in ms between the tokens of an agent's lives; more than the time of day may be set back. */
const OVERTAKEN_STEP = 60_000

export const createToken = (timers: clock.Clock): Token => {
  let token = timers.now().getTime()
  return {
    current: () => token,
    advance: () => { token++ },
    overtaken: () => { token += OVERTAKEN_STEP }
  }
}
