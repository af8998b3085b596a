import type * as admission from '../admission.ts'
import * as fleetCapacity from '../fleet-capacity.ts'
import * as jobs from '../jobs.ts'
import * as startGate from '../start-gate.ts'

const NO_INPUTS: admission.Inputs = {
  cause: 'arrival', backlogMs: 0, withinMs: 0, missingMillicores: 0, freeMillicores: 0, shareMillicores: 0
}

/** The policy before admission by a forecast: divides the waiting work by the entry's share of the capacity. */
export const create = ({ agents, estimates, waiting, knowsFleet }: admission.View): admission.Admission => {
  const open = new Set<jobs.JobState>()
  const workOf = ({ tasks, job }: jobs.JobState): number => tasks.reduce((sum, task) => jobs.isUnassigned(task)
    ? sum + task.task.amount.millicores * estimates.expectedRunMs(job.queue.name, task.task)
    : sum, 0)
  const selectRefused = (added: jobs.JobState, now: number): jobs.JobState[] => {
    const preempted: jobs.JobState[] = []
    const millicores = fleetCapacity.capacityOf(agents, added.job.queue.service).share
    let work = 0
    for (const job of [...waiting].sort(jobs.compareUrgency)) {
      if (work > 0 && job.latestStart > now && work / millicores > job.latestStart - now) {
        if (job.rank <= added.rank) return [added]
        if (!jobs.hasBegun(job)) {
          preempted.push(job)
          continue
        }
      }
      work += workOf(job)
    }
    return preempted
  }
  const refuse = (selected: jobs.JobState[]): admission.Refusal[] => selected.map((job) => ({ job, inputs: NO_INPUTS }))
  return {
    admit: (job, now) => {
      const { stretch, objectiveMs } = job.job.queue
      job.latestStart = now + Math.max(objectiveMs, job.criticalPathMs * (stretch - 1) + objectiveMs)
      open.add(job)
      waiting.add(job)
      return knowsFleet() ? refuse(selectRefused(job, now)) : []
    },
    reassess: () => [],
    review: (now) => refuse([...open].filter((job) => now > job.latestStart && !jobs.hasBegun(job))),
    gate: () => startGate.OPEN,
    expired: (job) => ({ job, inputs: NO_INPUTS }),
    ended: (job) => { open.delete(job) }
  }
}
