import * as demandRates from './demand-rates.ts'
import * as fairShares from './fair-shares.ts'
import * as fleetCapacity from './fleet-capacity.ts'
import * as forecasts from './forecast.ts'
import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'
import * as policies from './rules.ts'
import * as startGates from './start-gate.ts'
import type * as waitingJobs from './waiting-jobs.ts'

/** Age in ms from which the plan of the waiting jobs is made again; as often as waiting tasks are reviewed. */
const PLAN_MS = 20
/** Time in ms by which a waiting job may be expected to be late before it is refused: forecasts vary by two buckets. */
const TOLERANCE_MS = 20
/**
 * Share of the entry's capacity that stays free when a late job starts: its answer is worth a fifth of that of a job
 * that arrives next and can be in time.
 */
const LATE_HEADROOM = 0.25

/**
 * Why a job was refused: capacity was missing at its arrival; capacity fell, or more urgent jobs came, while it waited;
 * it could no longer be answered in time.
 */
export type Cause = 'arrival' | 'review' | 'deadline'

/** What led to a refusal, for the log. */
export interface Inputs {
  cause: Cause
  /** Time in ms for which the entry's share is busy with waiting work of the same or higher urgency. */
  backlogMs: number
  /** Time in ms within which the job had to start, and the millicores that were missing for that by the forecast. */
  withinMs: number
  missingMillicores: number
  freeMillicores: number
  shareMillicores: number
}
export interface Refusal {
  job: jobs.JobState
  inputs: Inputs
}

export interface View extends forecasts.View {
  waiting: waitingJobs.WaitingJobs
  /** False while the entry does not know its part of the fleet. */
  knowsFleet (): boolean
}

/** Decides which jobs wait, which of them may start, and which are refused. */
export abstract class Admission {
  /** Adds a new job to the waiting ones and judges it; returns the jobs to refuse, which may include it. */
  abstract admit (job: jobs.JobState, now: number): Refusal[]
  /** Called at intervals: returns the waiting jobs to refuse because their time has run out. */
  abstract review (now: number): Refusal[]
  /** Judges all waiting jobs again after usable capacity has fallen. */
  abstract reassess (now: number): Refusal[]
  /** Gate for one pass of placement. */
  abstract gate (now: number): startGates.StartGate
  /** The caller's deadline has come before the job has begun. */
  abstract expired (job: jobs.JobState, now: number): Refusal
  abstract ended (job: jobs.JobState, outcome: interfaces.Outcome, now: number): void
}

/** Waiting jobs of one rank. */
interface Level {
  rank: number
  /** With the reservations of this level and of all more urgent ones. */
  forecast: forecasts.Forecast
  /** Number of its jobs that may be refused. */
  refusable: number
  /** Work that waits on this level and the more urgent ones, in millicores times ms. */
  work: number
}
interface Plan {
  madeAt: number
  /** The most urgent first. */
  levels: Level[]
}

/** Why a plan is made. */
interface Occasion {
  now: number
  /** Job that has just arrived. */
  added?: jobs.JobState
  /** Waiting jobs that are expected to be late are refused, as capacity has fallen or more urgent jobs have come. */
  isReassessed: boolean
}

/** True for a lack of capacity. Callers that leave, or entries that take jobs over, tell nothing of a queue's share. */
const isUnserved = (outcome: interfaces.Outcome): boolean =>
  (outcome.kind === 'not-run' && outcome.reason === 'overload') ||
  (outcome.kind === 'unknown' && outcome.reason === 'patience')

const createLevel = (rank: number, forecast: forecasts.Forecast, work: number): Level =>
  ({ rank, forecast, work, refusable: 0 })

/**
 * Admission by a forecast of the capacity that becomes free. Load pattern: demand exceeds capacity for seconds, by a
 * burst of one queue or by a loss of workers. Without refusals every job would be late.
 *
 * The plan reserves the forecast capacity for the waiting jobs in order of urgency. It is made at most once in 20 ms
 * and when capacity has fallen; in between, a job is judged by what its level of the plan has left, whatever the
 * number of waiting jobs.
 */
export const create = (view: View, rules: policies.Rules = policies.DEFAULT): Admission => {
  const { agents, waiting } = view
  const shares = fairShares.create(rules)
  const rates = demandRates.create()
  const plans = new Map<string, Plan>()
  /** Jobs that can no longer be in time and wait for idle capacity. */
  const late = new Set<jobs.JobState>()
  /** Monotonic ms of the latest plan that was made since a job came which is more urgent than waiting ones. */
  let preemptedAt = -Infinity

  /** Capacity that the job needs at its start; it may start the rest of its tasks later. */
  const millicoresOf = (job: jobs.JobState, { total }: forecasts.Forecast): number =>
    Math.min(jobs.waitingMillicores(job), jobs.MAX_CAPACITY_SHARE * total)

  const refusalOf = (job: jobs.JobState, { forecast, work }: Level, cause: Cause, now: number): Refusal => {
    const withinMs = job.latestStart - now
    return {
      job,
      inputs: {
        cause,
        backlogMs: Math.round(forecast.share > 0 ? work / forecast.share : 0),
        withinMs: Math.round(withinMs),
        missingMillicores: Math.round(Math.max(0, forecast.shortage(millicoresOf(job, forecast), withinMs))),
        freeMillicores: Math.round(forecast.free),
        shareMillicores: Math.round(forecast.share)
      }
    }
  }
  /** Reserves capacity for the job on its level. Returns false if it is missing, and the job must be refused. */
  const reserve = (job: jobs.JobState, level: Level, withinMs: number): boolean => {
    const { forecast } = level
    const millicores = millicoresOf(job, forecast)
    const isBegun = jobs.hasBegun(job)
    if (forecast.reserve(millicores, job.criticalPathMs, withinMs) === Infinity && !isBegun) {
      // Waiting jobs that would start first can't use the capacity that is free, for example for lack of a label.
      return fleetCapacity.freeNow(agents, job.job.queue.service, jobs.nextTask(job)) >= millicores
    }
    const rest = jobs.waitingMillicores(job) - millicores
    if (rest > 0) forecast.reserve(rest, job.criticalPathMs, Infinity)
    level.work += (millicores + rest) * job.criticalPathMs
    if (!isBegun) level.refusable++
    return true
  }
  const canAnswerLate = (job: jobs.JobState, now: number): boolean =>
    now + job.criticalPathMs < job.callerDeadline - jobs.ANSWER_MARGIN_MS
  const postpone = (job: jobs.JobState): void => {
    waiting.delete(job)
    job.late = true
    late.add(job)
  }
  /** Lets late jobs start for which the given forecast has idle capacity. */
  const startLate = (service: string, forecast: forecasts.Forecast): void => {
    for (const job of late) {
      if (job.job.queue.service !== service) continue
      const millicores = millicoresOf(job, forecast)
      // A smaller one behind it may still find room.
      if (forecast.shortage(millicores + LATE_HEADROOM * forecast.share, 0) > 0) continue
      forecast.reserve(millicores, job.criticalPathMs, 0)
      late.delete(job)
      waiting.add(job)
    }
  }

  /** Plans the jobs of one service, in order of urgency. */
  const makePlan = (service: string, members: jobs.JobState[], { now, added, isReassessed }: Occasion): Refusal[] => {
    const refusals: Refusal[] = []
    const base = forecasts.create(view, service, jobs.nextTask(added ?? members[0]!).amount, now)
    const isJudged = view.knowsFleet() && base.share > 0
    const limits = fleetCapacity.createLimits(agents)
    const levels = [createLevel(-1, base, 0)]
    for (const job of members) {
      // Tasks that wait for the end of an evacuation use no capacity until then.
      if (job.late || (jobs.hasBegun(job) && limits.isEvacuated(service, jobs.nextTask(job)))) continue
      let level = levels.at(-1)!
      if (job.rank !== level.rank) {
        const forecast = level.forecast.next(rates.upTo(job.rank, base.share, now))
        levels.push(level = createLevel(job.rank, forecast, level.work))
      }
      const withinMs = job.latestStart - now
      if (withinMs < 0 && !jobs.hasBegun(job)) {
        if (!canAnswerLate(job, now)) refusals.push(refusalOf(job, level, 'deadline', now))
        else if (isJudged && rules.servesLate) postpone(job)
        else if (isJudged) refusals.push(refusalOf(job, level, 'deadline', now))
      } else if (job === added) {
        const isReserved = reserve(job, level, isJudged ? withinMs : Infinity)
        if (!isReserved && isJudged) refusals.push(refusalOf(job, level, 'arrival', now))
      } else if (isJudged && isReassessed && rules.reviews) {
        if (!reserve(job, level, withinMs + TOLERANCE_MS)) refusals.push(refusalOf(job, level, 'review', now))
      } else reserve(job, level, Infinity)
    }
    if (isJudged) plans.set(service, { madeAt: now, levels })
    startLate(service, levels.at(-1)!.forecast.next(1))
    return refusals
  }
  /** The plan's level of the rank, which is created if no job of the rank waited when the plan was made. */
  const levelOf = ({ levels }: Plan, rank: number, now: number): Level => {
    const index = levels.findLastIndex((level) => level.rank <= rank)
    const found = levels[index]!
    if (found.rank === rank) return found
    const { forecast, work } = found
    const level = createLevel(rank, forecast.next(rates.upTo(rank, forecast.share, now)), work)
    levels.splice(index + 1, 0, level)
    return level
  }
  const makePlans = (occasion: Occasion): Refusal[] => {
    const byService = new Map<string, jobs.JobState[]>()
    for (const job of [...waiting, ...late]) {
      const { service } = job.job.queue
      const members = byService.get(service)
      if (members) members.push(job)
      else byService.set(service, [job])
    }
    plans.clear()
    return [...byService].flatMap(([service, members]) => makePlan(service, members, occasion))
  }

  return {
    review: (now) => makePlans({ now, isReassessed: false }),
    reassess: (now) => makePlans({ now, isReassessed: true }),
    gate: (now) => startGates.create({ agents, rules, rates, shares }, now),
    admit: (job, now) => {
      if (shares.protectsQueue(job.job.queue.name)) job.rank = 0
      shares.offered(job, now)
      rates.add(job, now)
      waiting.add(job)
      const plan = plans.get(job.job.queue.service)
      const preempts = plan?.levels.some(({ rank, refusable }) => rank > job.rank && refusable > 0) ?? false
      const isReassessed = preempts && now - preemptedAt >= PLAN_MS
      if (!plan || isReassessed || now - plan.madeAt >= PLAN_MS) {
        if (isReassessed) preemptedAt = now
        return makePlans({ now, added: job, isReassessed })
      }
      const level = levelOf(plan, job.rank, now)
      if (!reserve(job, level, job.latestStart - now)) return [refusalOf(job, level, 'arrival', now)]
      for (const { rank, forecast } of plan.levels) {
        if (rank > job.rank) forecast.reserve(jobs.waitingMillicores(job), job.criticalPathMs, Infinity)
      }
      return []
    },
    expired: (job, now) => {
      const service = job.job.queue.service
      const level = plans.get(service)?.levels.findLast(({ rank }) => rank <= job.rank)
      if (level) return refusalOf(job, level, 'deadline', now)
      const forecast = forecasts.create(view, service, jobs.nextTask(job).amount, now)
      return refusalOf(job, createLevel(-1, forecast, 0), 'deadline', now)
    },
    ended: (job, outcome, now) => {
      late.delete(job)
      if (isUnserved(outcome)) shares.unserved(job, now)
    }
  }
}
