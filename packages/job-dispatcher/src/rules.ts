/** Parameters of admission and of starts. The replay of overload varies them; `DEFAULT` has those in use. */
export interface Rules {
  /** Served share of a size class, relative to its queue, below which its jobs are exempt from all-or-nothing. */
  sizeFloor: number
  /** Served share of a queue below which a new job of it has the most urgent rank. */
  queueFloor: number
  /** Jobs that can no longer be in time wait for idle capacity until their caller's deadline. */
  servesLate: boolean
  /** Refuses waiting jobs that are expected to be late when capacity has fallen or more urgent jobs have come. */
  reviews: boolean
  /** A job starts when there is capacity for all its tasks, except one of the most urgent rank. */
  allOrNothing: boolean
  /** Share of the capacity that less urgent jobs leave free, times the demand for more urgent work. */
  headroom: number
}

/**
 * Chosen by the replay in docs/design/admission.md. Callers need a size floor of 0.5; an entry measures the share of
 * the largest tenth from few jobs, so the rest is a margin. With a headroom of 0.1, the least urgent queue loses 0.06
 * to 0.08 of its jobs for a gain of 0.003 of all at most.
 */
export const DEFAULT: Rules = {
  sizeFloor: 0.7,
  queueFloor: 0.08,
  servesLate: true,
  reviews: true,
  allOrNothing: true,
  headroom: 0.06
}
