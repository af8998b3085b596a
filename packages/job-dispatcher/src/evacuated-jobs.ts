import type * as fleet from './agents.ts'
import * as fleetCapacity from './fleet-capacity.ts'
import type * as fleetDiscovery from './fleet-discovery.ts'
import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'

export interface Options {
  agents: fleet.Agents
  discovery: fleetDiscovery.FleetDiscovery
  openJobs (): Iterable<jobs.JobState>
  refuse (job: jobs.JobState, reason: interfaces.NotRunReason): void
}

/**
 * Refuses the jobs that have not begun and fit no worker, or only workers in evacuated zones. While agents are about to
 * link, such jobs wait: the workers of the agents to come may fit them.
 */
export interface EvacuatedJobs {
  /** The evacuations have changed, or a job may wait that fits no worker in service. */
  mayHaveChanged (): void
  /** Refuses such jobs if there may be any. Returns true if they were assessed. */
  review (): boolean
  /** Why a new job must be refused, if it must be. */
  limitOf (job: interfaces.Job): fleetCapacity.Limit | undefined
}

export const create = ({ agents, discovery, openJobs, refuse }: Options): EvacuatedJobs => {
  let isPending = false

  return {
    mayHaveChanged: () => { isPending = true },
    review: () => {
      if (!isPending || discovery.isIncomplete()) return false
      isPending = false
      const limits = fleetCapacity.createLimits(agents)
      for (const job of [...openJobs()]) {
        const limit = limits.ofJob(job.job)
        if (limit && !jobs.hasBegun(job)) refuse(job, limit)
      }
      return true
    },
    limitOf: (job) => {
      const limit = fleetCapacity.createLimits(agents).ofJob(job)
      if (!limit || !discovery.isIncomplete()) return limit
      isPending = true
      return undefined
    }
  }
}
