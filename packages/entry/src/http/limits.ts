/** Bounds on one caller's request. */
export interface Limits {
  maxBodyBytes: number
  /** Bytes of all bodies that are being received; above it, new requests are refused as not run. */
  maxReceivingBytes: number
  maxHeaderBytes: number
  /** Time for the whole header to arrive, in ms. */
  headersTimeoutMs: number
  /** Time for the whole request to arrive, in ms. */
  requestTimeoutMs: number
  /** Time for which an idle connection is kept, in ms. */
  keepAliveMs: number
  /** Largest `waitMs` of a query. */
  maxWaitMs: number
  /** `waitMs` of submissions and cancellations whose query has none. */
  defaultWaitMs: number
  /** Requests without an answer at a time; above it, new ones are refused as not run. */
  maxOpenRequests: number
  maxConnections: number
}

export const defaults: Limits = {
  maxBodyBytes: 1_048_576,
  maxReceivingBytes: 67_108_864,
  maxHeaderBytes: 16_384,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  keepAliveMs: 65_000,
  maxWaitMs: 60_000,
  defaultWaitMs: 10_000,
  maxOpenRequests: 50_000,
  maxConnections: 20_000
}

/** Bodies being received at a time that the memory allows for, if each is as large as it may be. */
const LARGEST_BODIES = 8

export const create = (maxBodyBytes: number): Limits => ({
  ...defaults, maxBodyBytes, maxReceivingBytes: Math.max(defaults.maxReceivingBytes, LARGEST_BODIES * maxBodyBytes)
})
