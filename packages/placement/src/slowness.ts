import type * as types from '@mustarddeck/types'
import type * as health from './health.ts'
import * as model from './run-time-model.ts'
import * as shares from './shares.ts'

/** Slowdown that the test detects. Below its half a worker stays in use: the expected end tells how slow it is. */
const SLOWDOWN = 4
const LOG_SLOWDOWN = Math.log(SLOWDOWN)
/** Logarithm of the slowdown at which a run counts neither for nor against its worker. */
const NEUTRAL = LOG_SLOWDOWN / 2
/** Slowdown beyond which a run counts as one of the tail, whatever its cause. */
const LOG_TAIL = Math.log(3)
/** Prior runs of the tail and all runs of a queue on the other workers, added to those counted. */
const PRIOR_TAIL = { hits: 0.5, ended: 50 }
/**
 * Share of runs from which a queue counts as having a tail: less than half of the 3 in 100 of known tails, more than
 * the prior.
 */
const MIN_TAIL_SHARE = 0.012
/**
 * Bounds on the evidence of one run for slowness, by what removes a worker: with a long tail four runs in a row, which
 * a healthy one has in 8 of 10 million rows of four; without one three runs, or two that are late and go on.
 */
const RUN_EVIDENCE = { tail: 3.1, noTail: 4.2, late: 6.2 } as const
/** Bound on the evidence of one step on one worker against slowness. */
const MAX_RELIEF = 3
/** Runs of one step on one worker that count: those that can remove it. */
const MAX_COUNTED_RUNS = 4

/** Runs of one step on one worker. */
interface Group {
  worker: health.WorkerHealth
  runs: number
  /** Sum of the deviations, less the worker's factor, bounded. */
  sum: number
  /** Deviations of the shortest run that has ended and of the shortest late one; a long tail affects the longest. */
  least: number
  leastLate: number
  /** Variance of what is expected on the worker. */
  variance: number
  /** Evidence that is already counted. */
  counted: number
  /** Runs that are still going on. */
  late: number
}

/** Runs of one step, each compared with those on other workers. */
export interface Comparison {
  readonly type: types.TaskTypeName
  readonly tasks: number
  groups: Map<health.WorkerHealth, Group>
  runs: number
  ended: number
  sum: number
}

export interface Verdict extends health.Slowness {
  worker: health.WorkerHealth
  /** Run time over what is expected of a worker of the type, given the runs of the step on other workers. */
  slowdown: number
}

/**
 * Evidence of slow workers from the runs of a step: the logarithm of the likelihood ratio of a worker that is
 * `SLOWDOWN` times slower to one that is as its type. Load pattern: declared times are off by one factor for a whole
 * step, and some run times have a long tail. A step on one worker is one piece of evidence; it is judged by the runs
 * of the step on other workers once there are any, and at the latest at the end of the step.
 */
export interface Evidence {
  compare (type: types.TaskTypeName, tasks: number): Comparison
  /** Adds a run that has ended, or one that is late and goes on. Returns what has changed. */
  add (comparison: Comparison, worker: health.WorkerHealth, deviation: model.Deviation, late: boolean): Verdict[]
  /** Replaces the deviation of a run that was late and has ended. */
  end (
    comparison: Comparison, worker: health.WorkerHealth, late: model.Deviation, deviation: model.Deviation
  ): Verdict[]
  /** Judges what has not been judged: no more runs will be added. */
  close (comparison: Comparison): Verdict[]
  /** True if runs of the type on other workers have a long tail. */
  hasTail (worker: health.WorkerHealth, type: types.TaskTypeName): boolean
}

/** Upper bound on the logarithm of the probability that a standard normal variable exceeds `deviations`. */
const logOfUpperTail = (deviations: number): number =>
  deviations <= 1 ? Math.log(0.5) : -(deviations ** 2) / 2 - Math.log(deviations * Math.sqrt(2 * Math.PI))

const bounded = ({ value, worker }: model.Deviation): number =>
  Math.max(-model.MAX_PEER_DEVIATION, Math.min(model.MAX_PEER_DEVIATION, value - worker))

export const create = (): Evidence => {
  const tails = shares.create(PRIOR_TAIL)

  const hasTail = (worker: health.WorkerHealth, type: types.TaskTypeName): boolean =>
    tails.ofPeers(worker.tails, type) >= MIN_TAIL_SHARE
  /** Factor of the step by the runs on other workers. */
  const stepFactor = (comparison: Comparison, group: Group): { mean: number, variance: number } => {
    const runs = comparison.runs - group.runs
    const variance = 1 / (1 / model.STEP_VARIANCE + runs / model.PEER_VARIANCE)
    return { mean: variance * (comparison.sum - group.sum) / model.PEER_VARIANCE, variance }
  }
  const judge = (comparison: Comparison, group: Group): Verdict => {
    const { worker, runs, late } = group
    const step = stepFactor(comparison, group)
    const variance = step.variance + group.variance + model.TASK_VARIANCE + model.WORKER_VARIANCE
    const slowdown = Math.min(group.least, group.leastLate) - step.mean
    // The run may hang as well as be slow, so that the probability of being as long counts for a late one.
    const ratio = late > 0
      ? -logOfUpperTail(slowdown / Math.sqrt(variance))
      : (slowdown - NEUTRAL) * LOG_SLOWDOWN / variance
    const perRun = hasTail(worker, comparison.type) ? RUN_EVIDENCE.tail : RUN_EVIDENCE[late > 0 ? 'late' : 'noTail']
    // A run that goes on may still turn out long, so that it tells nothing in favour of its worker.
    const relief = late > 0 ? 0 : MAX_RELIEF
    const total = Math.max(-relief, Math.min(ratio, perRun * Math.min(runs, MAX_COUNTED_RUNS)))
    const evidence = total - group.counted
    group.counted = total
    return { worker, evidence, isUnusual: slowdown > NEUTRAL, slowdown: Math.exp(slowdown) }
  }
  const judgeAll = (comparison: Comparison): Verdict[] =>
    [...comparison.groups.values()].map((group) => judge(comparison, group))
  const isComplete = ({ ended, tasks }: Comparison): boolean => ended >= tasks
  const judgeAfter = (comparison: Comparison, group: Group): Verdict[] => {
    if (isComplete(comparison)) return judgeAll(comparison)
    // A trial is judged at once.
    const isDue = comparison.runs > group.runs || group.late > 0 || group.worker.out
    return isDue ? [judge(comparison, group)] : []
  }
  return {
    compare: (type, tasks) => ({ type, tasks, groups: new Map(), runs: 0, ended: 0, sum: 0 }),
    add: (comparison, worker, deviation, late) => {
      let group = comparison.groups.get(worker)
      if (!group) {
        group = { worker, runs: 0, sum: 0, least: Infinity, leastLate: Infinity, variance: 0, counted: 0, late: 0 }
        comparison.groups.set(worker, group)
      }
      group.runs++
      group.sum += bounded(deviation)
      group.variance = deviation.variance
      comparison.runs++
      comparison.sum += bounded(deviation)
      if (late) {
        group.late++
        group.leastLate = Math.min(group.leastLate, deviation.value)
      } else {
        comparison.ended++
        group.least = Math.min(group.least, deviation.value)
      }
      tails.add(worker.tails, comparison.type, deviation.value - stepFactor(comparison, group).mean > LOG_TAIL)
      return judgeAfter(comparison, group)
    },
    end: (comparison, worker, late, deviation) => {
      const group = comparison.groups.get(worker)
      if (!group) return []
      const change = bounded(deviation) - bounded(late)
      group.sum += change
      comparison.sum += change
      group.least = Math.min(group.least, deviation.value)
      if (--group.late === 0) group.leastLate = Infinity
      comparison.ended++
      return judgeAfter(comparison, group)
    },
    close: (comparison) => judgeAll(comparison),
    hasTail
  }
}
