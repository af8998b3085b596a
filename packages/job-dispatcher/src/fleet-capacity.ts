import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as interfaces from './interface.ts'

/** Agent on whose worker tasks can be started. */
export type UsableAgent = fleet.Agent & { worker: runs.Worker }

const isUsable = (agent: fleet.Agent, service: string): agent is UsableAgent =>
  agent.worker?.service === service && !agent.worker.leaving && !agent.health.out

/** Agents on whose workers tasks of the service can be started, whether they have free capacity or not. */
export const usableAgents = (agents: fleet.Agents, service: string): UsableAgent[] =>
  agents.inService().filter((agent): agent is UsableAgent => isUsable(agent, service))

/** Capacity in millicores of the service's workers, and this entry's part when all entries are under load. */
export const capacityOf = (agents: fleet.Agents, service: string): { total: number, share: number } => {
  const capacity = { total: 0, share: 0 }
  for (const { worker, entryCount } of usableAgents(agents, service)) {
    capacity.total += worker.capacity.millicores
    capacity.share += worker.capacity.millicores / entryCount
  }
  return capacity
}

/**
 * Why a task cannot be started whatever else the workers run: it fits none of the known ones, or only those in zones
 * that are evacuated.
 */
export type Limit = 'never-runnable' | 'evacuated'

/** Limits at one moment. Each kind of task is compared with the workers once, however many jobs are assessed. */
export interface Limits {
  /** True if the task fits only workers in evacuated zones. */
  isEvacuated (service: string, task: interfaces.Task): boolean
  /** Undefined if all tasks can be started, or if no worker of the service is known yet. */
  ofJob (job: interfaces.Job): Limit | undefined
}

/** True if the task fits the worker while nothing else runs there. */
export const isFit = ({ amount, label }: interfaces.Task, { capacity, labels }: runs.Worker): boolean =>
  runs.fits(amount, capacity) && (!label || labels.includes(label))

export const createLimits = (agents: fleet.Agents): Limits => {
  const byRequirements = new Map<string, Limit | undefined>()

  const assess = (service: string, task: interfaces.Task): Limit | undefined => {
    let hasWorkers = false
    let fitsEvacuated = false
    for (const agent of agents.all()) {
      if (agent.worker?.service !== service) continue
      hasWorkers = true
      if (!isFit(task, agent.worker)) continue
      if (!agents.evacuations.covers(agent)) return undefined
      fitsEvacuated = true
    }
    if (fitsEvacuated) return 'evacuated'
    return hasWorkers ? 'never-runnable' : undefined
  }
  const ofTask = (service: string, task: interfaces.Task): Limit | undefined => {
    const { amount: { millicores, memoryMb, accelerators }, label } = task
    const requirements = `${millicores} ${memoryMb} ${accelerators} ${service.length} ${service} ${label ?? ''}`
    if (!byRequirements.has(requirements)) byRequirements.set(requirements, assess(service, task))
    return byRequirements.get(requirements)
  }
  return {
    isEvacuated: (service, task) => !agents.evacuations.isEmpty() && ofTask(service, task) === 'evacuated',
    ofJob: ({ queue, steps }) => {
      const limits = new Set(steps.flatMap(({ tasks }) => tasks.map((task) => ofTask(queue.service, task))))
      if (limits.has('never-runnable')) return 'never-runnable'
      return limits.has('evacuated') ? 'evacuated' : undefined
    }
  }
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
