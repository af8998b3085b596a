/** A run is late after this multiple of its expected run time, plus `MIN_OVERDUE_MS` for delays of processes. */
const OVERDUE_FACTOR = 3
const MIN_OVERDUE_MS = 250
/** Run time of the long tail over the mean; some queues have 3 such runs in 100. */
const TAIL_FACTOR = 7
/** Multiple of the expected run time at which a run is hung: the tail, times 1.3 for a declared time that is off. */
const HUNG_FACTOR = 9
/** Median over mean run time of a queue with a tail, from which it is reckoned whether a run can still end in time. */
const MEDIAN_SHARE = 0.8

/** Allowance in ms for stopping a run and ordering it elsewhere, as chosen; a few messages and a listing. */
const RESTART_MS = 150
/**
 * Multiple of the expected run time elsewhere that is left for a restart. In the replay 2 completed 0.2% more jobs than
 * 1 and 0.1% more than 3.
 */
const RESTART_FACTOR = 2

/** A run that goes on. Times are in ms. */
export interface Run {
  expectedMs: number
  /** Expected run time on a typical worker. */
  elsewhereMs: number
  /** Time from the order until the result is of no more use. */
  usefulMs: number
  /** The worker is out of rotation. */
  onFaultyWorker: boolean
  /** Some runs of the queue have a long tail on other workers. */
  hasTail: boolean
  /** Another run has ended on the worker since the order. */
  workerIsActive: boolean
}

/**
 * Time in ms from the order after which the run is late. `othersAreLate`: another run on the same worker is late, so
 * that a delay of a process no longer explains it.
 */
export const lateAfterMs = ({ expectedMs }: Pick<Run, 'expectedMs'>, othersAreLate: boolean): number =>
  OVERDUE_FACTOR * expectedMs + (othersAreLate ? 0 : MIN_OVERDUE_MS)

/**
 * Time in ms from the order after which the run is stopped, to be started elsewhere. Load pattern: 3 runs in 100 take 7
 * times as long, beside workers on which runs hang. On a worker that goes on to end runs, a late run most likely
 * belongs to the tail, and goes on if it can end in time and as long as a run elsewhere still can. Otherwise it is
 * stopped as soon as it is late.
 */
export const stopAfterMs = (run: Run): number => {
  const { expectedMs, elsewhereMs, usefulMs, onFaultyWorker, hasTail, workerIsActive } = run
  const lateMs = lateAfterMs(run, false)
  const mayEndInTime = TAIL_FACTOR * MEDIAN_SHARE * expectedMs <= usefulMs
  const goesOn = hasTail && workerIsActive && !onFaultyWorker && mayEndInTime
  const latestMs = usefulMs - RESTART_MS - RESTART_FACTOR * elsewhereMs
  return goesOn ? Math.max(lateMs, Math.min(HUNG_FACTOR * expectedMs, latestMs)) : lateMs
}
