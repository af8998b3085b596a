import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as interfaces from './interface.ts'

/** Agent on whose worker tasks can be started. */
export type UsableAgent = fleet.Agent & { worker: runs.Worker }

const isUsable = (agent: fleet.Agent, service: string): agent is UsableAgent =>
  agent.worker?.service === service && !agent.worker.leaving && !agent.health.out

/** Agents on whose workers tasks of the service can be started, whether they have free capacity or not. */
export const usableAgents = (agents: fleet.Agents, service: string): UsableAgent[] =>
  [...agents.all()].filter((agent): agent is UsableAgent => isUsable(agent, service))

/** Capacity in millicores of the service's workers, and this entry's part when all entries are under load. */
export const capacityOf = (agents: fleet.Agents, service: string): { total: number, share: number } => {
  const capacity = { total: 0, share: 0 }
  for (const { worker, entryCount } of usableAgents(agents, service)) {
    capacity.total += worker.capacity.millicores
    capacity.share += worker.capacity.millicores / entryCount
  }
  return capacity
}

/** Free capacity of the agent's worker in millicores that tasks of the given amount can use. */
export const freeFor = ({ free }: fleet.Agent, { millicores, memoryMb, accelerators }: runs.Resources): number => {
  if (millicores <= 0) return Math.max(0, free.millicores)
  const tasks = Math.min(
    free.millicores / millicores,
    memoryMb > 0 ? free.memoryMb / memoryMb : Infinity,
    accelerators > 0 ? free.accelerators / accelerators : Infinity
  )
  return Math.max(0, Math.floor(tasks)) * millicores
}

/** Free capacity in millicores that tasks like this one can use now. */
export const freeNow = (agents: fleet.Agents, service: string, { amount, label }: Pick<interfaces.Task, 'amount' | 'label'>): number =>
  usableAgents(agents, service)
    .filter(({ worker }) => !label || worker.labels.includes(label))
    .reduce((sum, agent) => sum + freeFor(agent, amount), 0)

/** False if a task of the job fits none of the known workers, whatever else they run. */
export const canEverRun = (agents: fleet.Agents, job: interfaces.Job): boolean => {
  const workers = [...agents.all()].flatMap(({ worker }) => worker?.service === job.queue.service ? [worker] : [])
  if (workers.length === 0) return true
  return job.steps.every(({ tasks }) => tasks.every((task) => workers.some((worker) =>
    runs.fits(task.amount, worker.capacity) && (!task.label || worker.labels.includes(task.label)))))
}
