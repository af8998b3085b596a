/** Source of time. Use `monotonic` for durations and deadlines, and `now` only for display and logs. */
export interface Clock {
  now (): Date
  /** Milliseconds since an arbitrary origin; never decreases. */
  monotonic (): number
}

/** Cancels the timer. Has no effect after it has fired. */
export type Cancellation = () => void

/** Clock that can schedule callbacks. */
export interface Timers extends Clock {
  after (delayMs: number, callback: () => void): Cancellation
}

export * from './system.ts'
export * from './virtual.ts'
