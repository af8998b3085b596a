import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as jobs from './jobs.ts'

/** Terms added to an agent's score, which is otherwise the free share of its worker's capacity. */
const SCORE = { sameJob: 0.5, rack: 1, zone: 0.05, avoided: -2 } as const

export interface SelectionContext {
  zone: string
  now: number
  candidates: Iterable<fleet.Agent>
  /** Keys of the requirements that no candidate met earlier in this pass; candidates only lose capacity in a pass. */
  unplaceable: Set<string>
}

/** Key of what the task requires of a worker, or undefined if it also depends on where the job's other tasks are. */
const requirementsOf = ({ job, task, step, heldBy }: jobs.TaskState): string | undefined => {
  if (heldBy !== undefined || job.job.steps[step]!.maxPerWorker !== Infinity) return undefined
  const { millicores, memoryMb, accelerators } = task.amount
  return `${job.job.queue.service} ${millicores} ${memoryMb} ${accelerators} ${task.label ?? ''}`
}

const placedTasks = (agent: fleet.Agent, { job, step }: jobs.TaskState): number => job.placed[step]!.get(agent) ?? 0

const isEligible = (agents: fleet.Agents, agent: fleet.Agent, state: jobs.TaskState, now: number): boolean => {
  const { worker } = agent
  const { task, job } = state
  if (state.heldBy !== undefined && agent.name !== state.heldBy && now < state.heldUntil) return false
  if (!worker || worker.leaving || worker.service !== job.job.queue.service) return false
  if (agents.evacuations.covers(agent)) return false
  if (!runs.fits(task.amount, agent.free)) return false
  if (task.label && !worker.labels.includes(task.label)) return false
  if (placedTasks(agent, state) >= job.job.steps[state.step]!.maxPerWorker) return false
  agent.health.running = agent.tasks.size
  return agents.health.accepts(agent.health) || agents.health.isTrialDue(agent.health, now)
}

/**
 * Returns the candidate to run the task, or undefined if none is eligible. Prefers the task's rack and agents that
 * already run tasks of the same step, then the largest free share of capacity.
 */
export const chooseAgent = (
  agents: fleet.Agents, state: jobs.TaskState, { zone, now, candidates, unplaceable }: SelectionContext
): fleet.Agent | undefined => {
  const requirements = requirementsOf(state)
  if (requirements !== undefined && unplaceable.has(requirements)) return undefined
  let best: fleet.Agent | undefined
  let bestScore = -Infinity
  for (const agent of candidates) {
    if (!isEligible(agents, agent, state, now)) continue
    const worker = agent.worker!
    let score = agent.free.millicores / worker.capacity.millicores
    if (placedTasks(agent, state) > 0) score += SCORE.sameJob
    if (state.task.rack && worker.labels.includes(state.task.rack)) score += SCORE.rack
    if (worker.zone === zone) score += SCORE.zone
    if (state.avoidedAgents.has(agent.name)) score += SCORE.avoided
    if (score > bestScore) [best, bestScore] = [agent, score]
  }
  if (!best && requirements !== undefined) unplaceable.add(requirements)
  return best
}
