import type * as demandRates from './demand-rates.ts'
import type * as fairShares from './fair-shares.ts'
import * as fleetCapacity from './fleet-capacity.ts'
import type * as forecasts from './forecast.ts'
import * as jobs from './jobs.ts'
import type * as policies from './rules.ts'

/** Tells during one pass of placement which waiting jobs may take capacity; asked in order of urgency. */
export interface StartGate {
  mayStart (job: jobs.JobState): boolean
}

export interface Parts extends Pick<forecasts.View, 'agents'> {
  rules: policies.Rules
  rates: demandRates.DemandRates
  shares: fairShares.FairShares
}

/** Gate that every job passes. */
export const OPEN: StartGate = { mayStart: () => true }

/**
 * Holds back jobs whose tasks would occupy capacity that more urgent work needs before the next of them ends, or of
 * which only a part could start. Load pattern: a burst of tasks of 1.3 s fills all workers, and tasks of 86 ms that
 * have to start within 110 ms wait for their ends; jobs that start in part run late and keep others from being in time.
 */
export const create = ({ agents, rules, rates, shares }: Parts, now: number): StartGate => {
  const freeByUnit = new Map<string, number>()
  const reserves = new Map<string, number>()

  const reserveOf = (service: string, rank: number): number => {
    const key = `${service} ${rank}`
    let reserve = reserves.get(key)
    if (reserve === undefined) {
      const { total, share } = fleetCapacity.capacityOf(agents, service)
      reserves.set(key, reserve = rules.headroom * total * rates.upTo(rank - 1, share, now))
    }
    return reserve
  }
  return {
    mayStart: (job) => {
      if (job.rank === 0 || jobs.hasBegun(job)) return true
      const { service } = job.job.queue
      const task = jobs.nextTask(job)
      const { millicores, memoryMb, accelerators } = task.amount
      const unit = `${service} ${millicores} ${memoryMb} ${accelerators} ${task.label ?? ''}`
      let free = freeByUnit.get(unit)
      if (free === undefined) freeByUnit.set(unit, free = fleetCapacity.freeNow(agents, service, task))
      const reserve = reserveOf(service, job.rank)
      if (free < reserve + millicores) return false
      const all = jobs.waitingMillicores(job)
      if (rules.allOrNothing && !shares.protectsSize(job) && free < reserve + all) {
        // A job that would take most of the workers runs in parts.
        const { total } = fleetCapacity.capacityOf(agents, service)
        if (all <= jobs.MAX_CAPACITY_SHARE * total || free < jobs.MAX_CAPACITY_SHARE * total) return false
      }
      freeByUnit.set(unit, free - all)
      return true
    }
  }
}
