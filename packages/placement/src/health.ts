import type * as types from '@mustarddeck/types'
import type * as runTimes from './run-times.ts'

/** Share of failures assumed of a worker that is faulty, in the test against its peers. */
const FAULTY_SHARE = 0.5
/** Bound of one failure's evidence, so that at least three are needed whatever the peers' share is. */
const MAX_FAILURE_EVIDENCE = 3
const FAILURE_THRESHOLD = 8.5
/** Evidence from which on only one task at a time goes to the worker. */
const SUSPICION = 2.5
/** Slowdown that the test for slow workers looks for, as a logarithm. */
const SLOWDOWN = Math.log(2.5)
const SLOWNESS_THRESHOLD = 12
/** Deviation up to which a trial task counts as passed. */
const TRIAL_DEVIATION = 1.3
const TRIALS_TO_RETURN = 3
const FIRST_TRIAL_MS = 2000
const LAST_TRIAL_MS = 60_000
/** Time in ms that a due trial task waits for less urgent work before urgent work may be one. */
const URGENT_TRIAL_DELAY_MS = 10_000
/** Largest share of workers out of rotation; beyond it the cause is not the workers. */
const MAX_OUT = 1 / 3
/** Outcomes after which an old one has lost about two thirds of its weight. */
const MEMORY = 300
/** Failures and outcomes assumed of a type's peers before any is known. */
const PRIOR = { failed: 0.1, ended: 5 }

interface Tally {
  ended: number
  failed: number
}

/** What one entry knows of a worker's health. */
export interface WorkerHealth {
  out: boolean
  failureEvidence: number
  slownessEvidence: number
  tallies: Map<types.TaskTypeName, Tally>
  /** Time in ms of the next trial task, while out of rotation. */
  trialAt: number
  trialDelayMs: number
  trialsPassed: number
  /** Tasks in progress. */
  running: number
}

export interface Result {
  type: types.TaskTypeName
  failed: boolean
  runMs: number
  /** Absent for a task that was not started. */
  runTimes?: runTimes.RunTimes
}

export interface Health {
  admit (worker: WorkerHealth): void
  remove (worker: WorkerHealth): void
  /** True if another task may go to the worker in the ordinary way. */
  accepts (worker: WorkerHealth): boolean
  /** True if a trial task is due; an `urgent` one only where no other came for long. */
  wantsTrial (worker: WorkerHealth, now: number, urgent?: boolean): boolean
  /** Returns the event if the worker left or returned to rotation. */
  record (worker: WorkerHealth, result: Result, now: number): 'worker-out' | 'worker-back' | undefined
  /** Share of a type's tasks that failed on the other workers. */
  peerFailures (worker: WorkerHealth, type: types.TaskTypeName): number
}

export const createWorkerHealth = (): WorkerHealth => ({
  out: false,
  failureEvidence: 0,
  slownessEvidence: 0,
  tallies: new Map(),
  trialAt: 0,
  trialDelayMs: FIRST_TRIAL_MS,
  trialsPassed: 0,
  running: 0
})

const count = (tallies: Map<types.TaskTypeName, Tally>, type: types.TaskTypeName, failed: boolean): void => {
  const tally = tallies.get(type) ?? { ended: 0, failed: 0 }
  tally.ended += 1 - tally.ended / MEMORY
  tally.failed += (failed ? 1 : 0) - tally.failed / MEMORY
  tallies.set(type, tally)
}

/**
 * Sequential tests of each worker against its peers: for failures by the likelihood ratio of a worker that fails half
 * of its tasks to one like its peers, for slowness by cumulated deviations from the type's run times. Both compare
 * within a type, so a type that fails or is slow everywhere counts against no worker.
 */
export const create = ({ enabled }: { enabled: boolean }): Health => {
  const all = new Map<types.TaskTypeName, Tally>()
  const workers = new Set<WorkerHealth>()

  const peerFailures = ({ tallies }: WorkerHealth, type: types.TaskTypeName): number => {
    const [total, own] = [all.get(type), tallies.get(type)]
    const ended = Math.max(0, (total?.ended ?? 0) - (own?.ended ?? 0))
    const failed = Math.min(ended, Math.max(0, (total?.failed ?? 0) - (own?.failed ?? 0)))
    return (failed + PRIOR.failed) / (ended + PRIOR.ended)
  }
  const weighFailure = (worker: WorkerHealth, { type, failed }: Result): void => {
    const share = Math.min(0.95, Math.max(0.002, peerFailures(worker, type)))
    const evidence = failed ? Math.log(FAULTY_SHARE / share) : Math.log((1 - FAULTY_SHARE) / (1 - share))
    worker.failureEvidence = Math.max(0, worker.failureEvidence + Math.min(MAX_FAILURE_EVIDENCE, evidence))
  }
  const weighSlowness = (worker: WorkerHealth, { failed, runMs, runTimes }: Result): void => {
    if (failed || !runTimes) return
    const shift = SLOWDOWN / runTimes.spread()
    const evidence = runTimes.deviation(runMs) * shift - shift * shift / 2
    worker.slownessEvidence = Math.max(0, worker.slownessEvidence + evidence)
  }
  const mayLeave = (): boolean => {
    // A single worker has no peers to stand out from, and without it nothing would run.
    if (workers.size < 2) return false
    let out = 0
    for (const worker of workers) if (worker.out) out++
    return out + 1 <= Math.max(1, workers.size * MAX_OUT)
  }
  const leave = (worker: WorkerHealth, now: number): 'worker-out' | undefined => {
    if (!mayLeave()) return undefined
    Object.assign(worker, { out: true, trialsPassed: 0, trialAt: now + worker.trialDelayMs })
    return 'worker-out'
  }
  const judgeTrial = (worker: WorkerHealth, { failed, runMs, runTimes }: Result, now: number): 'worker-back' | undefined => {
    if (failed || (runTimes && runTimes.deviation(runMs) > TRIAL_DEVIATION)) {
      worker.trialsPassed = 0
      worker.trialDelayMs = Math.min(LAST_TRIAL_MS, worker.trialDelayMs * 2)
      worker.trialAt = now + worker.trialDelayMs
      return undefined
    }
    worker.trialAt = now
    if (++worker.trialsPassed < TRIALS_TO_RETURN) return undefined
    const halved = { failureEvidence: SUSPICION, slownessEvidence: SLOWNESS_THRESHOLD / 2 }
    Object.assign(worker, { out: false, ...halved })
    return 'worker-back'
  }
  return {
    admit: (worker) => { workers.add(worker) },
    remove: (worker) => { workers.delete(worker) },
    accepts: ({ out, failureEvidence, running }) =>
      !enabled || (!out && (failureEvidence < SUSPICION || running === 0)),
    wantsTrial: ({ out, running, trialAt }, now, urgent = false) =>
      out && running === 0 && now >= trialAt + (urgent ? URGENT_TRIAL_DELAY_MS : 0),
    record: (worker, result, now) => {
      weighFailure(worker, result)
      weighSlowness(worker, result)
      count(all, result.type, result.failed)
      count(worker.tallies, result.type, result.failed)
      if (!enabled) return undefined
      // Tasks that were dispatched before the worker left rotation are no trials.
      if (worker.out) return now >= worker.trialAt ? judgeTrial(worker, result, now) : undefined
      const stands = worker.failureEvidence > FAILURE_THRESHOLD || worker.slownessEvidence > SLOWNESS_THRESHOLD
      return stands ? leave(worker, now) : undefined
    },
    peerFailures
  }
}
