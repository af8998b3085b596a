import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as interfaces from './interface.ts'

/** Capacity in millicores of the service's workers that this entry gets when all entries are under load. */
export const entryShare = (agents: fleet.Agents, service: string): number => {
  let total = 0
  for (const { worker, entryCount } of agents.all()) {
    if (worker?.service === service) total += worker.capacity.millicores / entryCount
  }
  return total
}

/** False if a task of the job fits none of the known workers, whatever else they run. */
export const canEverRun = (agents: fleet.Agents, job: interfaces.Job): boolean => {
  const workers = [...agents.all()].flatMap(({ worker }) => worker?.service === job.queue.service ? [worker] : [])
  if (workers.length === 0) return true
  return job.steps.every(({ tasks }) => tasks.every((task) => workers.some((worker) =>
    runs.fits(task.amount, worker.capacity) && (!task.label || worker.labels.includes(task.label)))))
}
