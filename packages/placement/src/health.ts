import type * as types from '@mustarddeck/types'
import type * as runTimes from './run-times.ts'
import * as shares from './shares.ts'

/** Share of its tasks that a faulty worker is assumed to fail, in the likelihood ratio test against its peers. */
const FAULTY_SHARE = 0.5
/** Limit on the evidence of one failure, so that at least three are needed to remove a worker from rotation. */
const MAX_FAILURE_EVIDENCE = 3
/** Failure evidence above which a worker leaves rotation. */
const FAILURE_THRESHOLD = 8.5
/** Failure evidence from which a worker gets only one task at a time. */
const SUSPECT_THRESHOLD = 2.5
/** Runs at a time on a worker with a late run: more than one, as a long task would delay the judgement. */
const MAX_SUSPECT_RUNS = 2
/** Logarithm of the slowdown factor that the test for slow workers detects. */
const LOG_SLOWDOWN = Math.log(2.5)
/** Slowness evidence above which a worker leaves rotation. */
const SLOWNESS_THRESHOLD = 12
/** Deviation in standard deviations of log run time up to which a trial task passes. */
const MAX_TRIAL_DEVIATION = 1.3
const TRIALS_TO_RETURN = 3
const FIRST_TRIAL_DELAY_MS = 2000
const MAX_TRIAL_DELAY_MS = 60_000
/** Time in ms that a due trial waits for less urgent work before an urgent task may be used. */
const URGENT_TRIAL_DELAY_MS = 10_000
/** Largest share of workers out of rotation: if more fail, the cause is not the workers. */
const MAX_OUT_SHARE = 1 / 3
/** Prior failures and outcomes of a type on the other workers, added to those counted. */
const PRIOR_FAILURES = { hits: 0.1, ended: 5 }

/** Health of a worker as observed by one entry. */
export interface WorkerHealth {
  out: boolean
  failureEvidence: number
  slownessEvidence: number
  /** A run is late, and none has ended well since: the worker gets `MAX_SUSPECT_RUNS` tasks at a time. */
  suspect: boolean
  tallies: shares.Tallies
  /** Counts of runs in the long tail. */
  tails: shares.Tallies
  /** Time in ms at which the next trial task is due, while out of rotation. */
  trialAt: number
  trialDelayMs: number
  trialsPassed: number
  /** Tasks in progress. */
  running: number
}

/** What a run time tells about its worker. */
export interface Slowness {
  /** Change of the worker's evidence of slowness: the logarithm of a likelihood ratio. */
  evidence: number
  /** True if the run time is unusual for a worker that is well. */
  isUnusual: boolean
}

export interface Result {
  type: types.TaskTypeName
  failed: boolean
  runMs: number
  /** Absent for a task that was not started. */
  runTimes?: runTimes.RunTimes
  /** Takes the place of a comparison with `runTimes`. */
  slowness?: Slowness
}

export type RotationEvent = 'worker-out' | 'worker-back'

export interface Health {
  admit (worker: WorkerHealth): void
  remove (worker: WorkerHealth): void
  /** True if the worker may get another regular task, as opposed to a trial. */
  accepts (worker: WorkerHealth): boolean
  /** True if a trial task is due; an `urgent` task may be used only after an additional delay. */
  isTrialDue (worker: WorkerHealth, now: number, urgent?: boolean): boolean
  /** Records the outcome of a task. Returns an event if the worker left or returned to rotation. */
  record (worker: WorkerHealth, result: Result, now: number): RotationEvent | undefined
  /**
   * Adds evidence apart from outcomes: of a run that goes on for too long, or a correction of earlier evidence. Returns
   * an event if the worker left rotation.
   */
  revise (worker: WorkerHealth, slowness: Slowness, now: number): RotationEvent | undefined
  /** Estimated share of a type's tasks that failed on the other workers. */
  peerFailureShare (worker: WorkerHealth, type: types.TaskTypeName): number
}

export const createWorkerHealth = (): WorkerHealth => ({
  out: false,
  failureEvidence: 0,
  slownessEvidence: 0,
  suspect: false,
  tallies: new Map(),
  tails: new Map(),
  trialAt: 0,
  trialDelayMs: FIRST_TRIAL_DELAY_MS,
  trialsPassed: 0,
  running: 0
})

const slownessOf = ({ failed, runMs, runTimes, slowness }: Result): Slowness | undefined => {
  if (slowness || failed || !runTimes) return slowness
  const shift = LOG_SLOWDOWN / runTimes.logDeviation()
  const deviation = runTimes.deviation(runMs)
  return { evidence: deviation * shift - shift * shift / 2, isUnusual: deviation > MAX_TRIAL_DEVIATION }
}

/**
 * Sequential tests of each worker against its peers. Failures: log likelihood ratio of a worker that fails half of its
 * tasks to one that fails like its peers. Slowness: cumulative sum of deviations from the type's run times. Both
 * compare within a task type, so a type that fails or is slow on all workers counts against none of them.
 */
export const create = ({ enabled }: { enabled: boolean }): Health => {
  const failures = shares.create(PRIOR_FAILURES)
  const workers = new Set<WorkerHealth>()

  const peerFailureShare: Health['peerFailureShare'] = ({ tallies }, type) => failures.ofPeers(tallies, type)
  const addFailureEvidence = (worker: WorkerHealth, { type, failed }: Result): void => {
    const share = Math.min(0.95, Math.max(0.002, peerFailureShare(worker, type)))
    const evidence = failed ? Math.log(FAULTY_SHARE / share) : Math.log((1 - FAULTY_SHARE) / (1 - share))
    worker.failureEvidence = Math.max(0, worker.failureEvidence + Math.min(MAX_FAILURE_EVIDENCE, evidence))
  }
  const addSlownessEvidence = (worker: WorkerHealth, evidence: number): void => {
    worker.slownessEvidence = Math.max(0, worker.slownessEvidence + evidence)
  }
  const mayLeaveRotation = (): boolean => {
    // A single worker has no peers to compare with, and without it nothing would run.
    if (workers.size < 2) return false
    let outCount = 0
    for (const worker of workers) if (worker.out) outCount++
    return outCount + 1 <= Math.max(1, workers.size * MAX_OUT_SHARE)
  }
  const evaluate = (worker: WorkerHealth, now: number): RotationEvent | undefined => {
    const isFaulty = worker.failureEvidence > FAILURE_THRESHOLD || worker.slownessEvidence > SLOWNESS_THRESHOLD
    if (!isFaulty || !mayLeaveRotation()) return undefined
    Object.assign(worker, { out: true, trialsPassed: 0, trialAt: now + worker.trialDelayMs })
    return 'worker-out'
  }
  const evaluateTrial = (worker: WorkerHealth, passed: boolean, now: number): RotationEvent | undefined => {
    if (!passed) {
      worker.trialsPassed = 0
      worker.trialDelayMs = Math.min(MAX_TRIAL_DELAY_MS, worker.trialDelayMs * 2)
      worker.trialAt = now + worker.trialDelayMs
      return undefined
    }
    worker.trialAt = now
    if (++worker.trialsPassed < TRIALS_TO_RETURN) return undefined
    const remainingEvidence = { failureEvidence: SUSPECT_THRESHOLD, slownessEvidence: SLOWNESS_THRESHOLD / 2 }
    Object.assign(worker, { out: false, ...remainingEvidence })
    return 'worker-back'
  }
  return {
    admit: (worker) => { workers.add(worker) },
    remove: (worker) => { workers.delete(worker) },
    accepts: ({ out, failureEvidence, suspect, running }) => {
      const limit = failureEvidence >= SUSPECT_THRESHOLD ? 1 : suspect ? MAX_SUSPECT_RUNS : Infinity
      return !enabled || (!out && running < limit)
    },
    isTrialDue: ({ out, running, trialAt }, now, urgent = false) =>
      out && running === 0 && now >= trialAt + (urgent ? URGENT_TRIAL_DELAY_MS : 0),
    record: (worker, result, now) => {
      const slowness = slownessOf(result)
      if (!result.failed && !slowness?.isUnusual) worker.suspect = false
      addFailureEvidence(worker, result)
      if (slowness) addSlownessEvidence(worker, slowness.evidence)
      failures.add(worker.tallies, result.type, result.failed)
      if (!enabled) return undefined
      if (!worker.out) return evaluate(worker, now)
      // Outcomes before the trial is due belong to tasks dispatched before the worker left rotation.
      return now >= worker.trialAt ? evaluateTrial(worker, !result.failed && !slowness?.isUnusual, now) : undefined
    },
    revise: (worker, { evidence, isUnusual }, now) => {
      addSlownessEvidence(worker, evidence)
      // The worker may have been removed since its run.
      if (!enabled || !workers.has(worker)) return undefined
      if (!worker.out) return evaluate(worker, now)
      return isUnusual && now >= worker.trialAt ? evaluateTrial(worker, false, now) : undefined
    },
    peerFailureShare
  }
}
