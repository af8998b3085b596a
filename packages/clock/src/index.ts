/** Source of time. Durations and deadlines use `monotonic`; `now` is for people and logs only. */
export interface Clock {
  now (): Date
  /** Milliseconds since an arbitrary origin; never goes back. */
  monotonic (): number
}

/** Cancels the timer; harmless after it has fired. */
export type Cancellation = () => void

/** Schedules callbacks on the same time line as the clock. */
export interface Timers extends Clock {
  after (delayMs: number, callback: () => void): Cancellation
}

export * from './system.ts'
export * from './virtual.ts'
