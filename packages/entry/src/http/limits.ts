/** Limits of the HTTP interface. */
export interface Limits {
  maxBodyBytes: number
  /** Total bytes of bodies being received; requests above this limit are refused as not run. */
  maxReceivingBytes: number
  maxHeaderBytes: number
  /** Time in ms within which all headers must arrive. */
  headersTimeoutMs: number
  /** Time in ms within which the whole request must arrive. */
  requestTimeoutMs: number
  /** Time in ms for which an idle connection is kept open. */
  keepAliveMs: number
  /** Maximum `waitMs` of a query. */
  maxWaitMs: number
  /** Default `waitMs` of submissions and cancellations. */
  defaultWaitMs: number
  /** Concurrent requests without an answer; requests above this limit are refused as not run. */
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

/** Number of bodies of the maximum size that fit into memory while they are received at the same time. */
const CONCURRENT_LARGEST_BODIES = 8

export const create = (maxBodyBytes: number): Limits => ({
  ...defaults,
  maxBodyBytes,
  maxReceivingBytes: Math.max(defaults.maxReceivingBytes, CONCURRENT_LARGEST_BODIES * maxBodyBytes)
})
