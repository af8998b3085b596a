import type * as fleet from './agents.ts'
import * as fleetCapacity from './fleet-capacity.ts'
import * as jobs from './jobs.ts'
import type * as waitingJobs from './waiting-jobs.ts'

/**
 * Why a job was refused: capacity was missing at its arrival; more urgent jobs came, or capacity fell, while it waited;
 * it did not begin in time.
 */
export type Cause = 'arrival' | 'preempted' | 'capacity-fell' | 'deadline'

/** What led to a refusal, for the log and for the retry time. */
export interface Inputs {
  cause: Cause
  /** Time in ms for which the entry's share is busy with waiting work of the same or higher urgency. */
  backlogMs: number
  /** Time in ms within which the job had to start. */
  withinMs: number
  /** Capacity in millicores that the entry gets when all entries are under load. */
  shareMillicores: number
}
export interface Refusal {
  job: jobs.JobState
  inputs: Inputs
}

export interface Options {
  agents: fleet.Agents
  waiting: waitingJobs.WaitingJobs
  /** Expected run time in ms of a task on a typical worker. */
  expectedRunMs (task: jobs.TaskState): number
  /** False while the entry does not know its part of the fleet; nothing is refused for a lack of capacity then. */
  knowsFleet (): boolean
}

/**
 * Refuses jobs so that the waiting ones, placed in order of urgency, can start in time. Load pattern: demand exceeds
 * capacity for seconds, by a burst of one queue or by a loss of workers. Without refusals every job would be late.
 */
export interface Admission {
  /**
   * Judges a new job, which already waits. It is refused rather than a waiting job of equal or higher priority, and
   * preempts waiting jobs of lower priority.
   */
  admit (job: jobs.JobState, now: number): Refusal[]
  /** Judges the waiting jobs again after usable capacity has fallen. */
  reassess (now: number): Refusal[]
  /** The job has not begun in time. */
  expired (job: jobs.JobState, now: number): Refusal
}

export const create = ({ agents, waiting, expectedRunMs, knowsFleet }: Options): Admission => {
  /** Work of the job that waits for capacity, in millicores times ms; none for tasks in evacuated zones. */
  const workOf = ({ job, tasks }: jobs.JobState, limits: fleetCapacity.Limits): number => tasks.reduce((sum, state) =>
    jobs.isUnassigned(state) && !limits.isEvacuated(job.queue.service, state.task)
      ? sum + state.task.amount.millicores * expectedRunMs(state)
      : sum, 0)
  const refusalOf = (job: jobs.JobState, cause: Cause, work: number, share: number, now: number): Refusal => ({
    job,
    inputs: {
      cause,
      backlogMs: share > 0 ? Math.round(work / share) : 0,
      withinMs: Math.round(job.latestStart - now),
      shareMillicores: Math.round(share)
    }
  })
  /** Refuses jobs of the service behind too much work; with `added`, it or jobs of lower priority. */
  const select = (service: string, now: number, added?: jobs.JobState): Refusal[] => {
    const refusals: Refusal[] = []
    const share = fleetCapacity.entryShare(agents, service)
    const limits = fleetCapacity.createLimits(agents)
    let work = 0
    for (const job of waiting) {
      if (job.job.queue.service !== service) continue
      const withinMs = job.latestStart - now
      // Refusing other jobs doesn't help a job that is already overdue, and a job that has begun isn't refused.
      if (work > 0 && withinMs > 0 && work / share > withinMs) {
        const isLessUrgent = added !== undefined && job.job.queue.priority > added.job.queue.priority
        if (added && !isLessUrgent) return [refusalOf(added, 'arrival', work, share, now)]
        if (!jobs.hasBegun(job)) {
          refusals.push(refusalOf(job, added ? 'preempted' : 'capacity-fell', work, share, now))
          continue
        }
      }
      work += workOf(job, limits)
    }
    return refusals
  }
  return {
    admit: (job, now) => knowsFleet() ? select(job.job.queue.service, now, job) : [],
    reassess: (now) => {
      if (!knowsFleet()) return []
      const services = new Set([...waiting].map(({ job }) => job.queue.service))
      return [...services].flatMap((service) => select(service, now))
    },
    expired: (job, now) => {
      const { service } = job.job.queue
      const limits = fleetCapacity.createLimits(agents)
      let work = 0
      for (const other of waiting) {
        if (other === job) break
        if (other.job.queue.service === service) work += workOf(other, limits)
      }
      return refusalOf(job, 'deadline', work, fleetCapacity.entryShare(agents, service), now)
    }
  }
}
