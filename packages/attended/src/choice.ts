import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as jobs from './jobs.ts'

/** Preference of an agent, as a share of its capacity that it may have less of free. */
const WEIGHT = { sameJob: 0.5, rack: 1, zone: 0.05, avoided: -2 } as const

export interface Situation {
  zone: string
  now: number
  candidates: Iterable<fleet.Agent>
}

const countOfStep = (agent: fleet.Agent, { job, step }: jobs.TaskState): number => job.placed[step]!.get(agent) ?? 0

const mayRun = (agents: fleet.Agents, agent: fleet.Agent, state: jobs.TaskState, now: number): boolean => {
  const { worker } = agent
  const { task, job } = state
  if (!worker || worker.leaving || worker.service !== job.job.queue.service) return false
  if (!runs.fits(task.amount, agent.free)) return false
  if (task.label && !worker.labels.includes(task.label)) return false
  if (countOfStep(agent, state) >= job.job.steps[state.step]!.maxPerWorker) return false
  agent.health.running = agent.tasks.size
  return agents.health.accepts(agent.health) || agents.health.wantsTrial(agent.health, now)
}

/**
 * Returns the agent for the task among the candidates: one with room that has tasks of the same job, or else the one
 * with most room.
 */
export const choose = (
  agents: fleet.Agents, state: jobs.TaskState, { zone, now, candidates }: Situation
): fleet.Agent | undefined => {
  let best: fleet.Agent | undefined
  let bestScore = -Infinity
  for (const agent of candidates) {
    if (!mayRun(agents, agent, state, now)) continue
    const worker = agent.worker!
    let score = agent.free.millicores / worker.capacity.millicores
    if (countOfStep(agent, state) > 0) score += WEIGHT.sameJob
    if (state.task.rack && worker.labels.includes(state.task.rack)) score += WEIGHT.rack
    if (worker.zone === zone) score += WEIGHT.zone
    if (state.avoid.has(agent.name)) score += WEIGHT.avoided
    if (score > bestScore) [best, bestScore] = [agent, score]
  }
  return best
}
