import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as interfaces from './interface.ts'

/** Capacity in millicores of the service's workers that this entry gets when all entries are under load. */
export const entryShare = (agents: fleet.Agents, service: string): number => {
  let total = 0
  for (const { worker, entryCount } of agents.inService()) {
    if (worker?.service === service && !worker.leaving) total += worker.capacity.millicores / entryCount
  }
  return total
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

const isFit = ({ amount, label }: interfaces.Task, { capacity, labels }: runs.Worker): boolean =>
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
