import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import * as jobs from './jobs.ts'
import * as rackWait from './rack-wait.ts'
import type * as rackWaits from './rack-waits.ts'
import * as racks from './racks.ts'

/** Terms added to an agent's score, which is otherwise the free share of its worker's capacity. */
const SCORE = {
  /** Saves start messages: at 0.4 of the capacity 0.46 for each start rather than 0.71, at no loss of jobs in time. */
  sameJob: 0.5,
  zone: 0.05,
  /** Larger than all other terms: such an agent is used only if no other one is eligible. */
  avoided: -1000,
  /**
   * For each multiple of the task's typical run time that it is expected to take there: 20% more outweigh all other
   * terms but one of a full free share. Weights of -1 and -2 serve fewer callers in time between types of near speeds.
   */
  runTime: -5
} as const

export interface SelectionContext {
  zone: string
  now: number
  candidates: Iterable<fleet.Agent>
  /** Keys of the requirements that no candidate met earlier in this pass; candidates only lose capacity in a pass. */
  unplaceable: Set<string>
  policy: rackWait.Policy
  waits: rackWaits.RackWaits
  /** Expected run time in ms on a typical worker near, or on the agent's worker, near or far. */
  expectedRunMs (task: jobs.TaskState, agent?: fleet.Agent, far?: boolean): number
  /** Reachable workers by service and label, built when a task first asks for a rack in this pass. */
  rackViews: Map<string, racks.RackView>
  /** Millicores of the tasks that wait for each rack, of those looked at so far. */
  queued: Map<string, number>
  /** Tasks of each group that are not placed, and the millicores of them in `queued`. */
  groups: Map<jobs.JobState, Map<number, { unplaced: number, queued: number }>>
}

/** Creates the state that one pass keeps. */
export const createPass = (now: number): Pick<SelectionContext, 'now' | 'unplaceable' | 'rackViews' | 'queued' | 'groups'> =>
  ({ now, unplaceable: new Set(), rackViews: new Map(), queued: new Map(), groups: new Map() })

/** True if where the task may run also depends on where an earlier run or the job's other tasks are. */
const isConstrainedByRuns = ({ job, step, heldBy }: jobs.TaskState): boolean =>
  heldBy !== undefined || job.job.steps[step]!.maxPerWorker !== Infinity

const placedTasks = (agent: fleet.Agent, { job, step }: jobs.TaskState): number => job.placed[step]!.get(agent) ?? 0

/** True if the agent's worker may be used for the task when it has room. */
const isUsable = ({ worker }: fleet.Agent, { task, job }: jobs.TaskState): boolean =>
  worker !== undefined && !worker.leaving && worker.service === job.job.queue.service &&
    (!task.label || worker.labels.includes(task.label))

/** True if the agent, whose worker is usable and has room, may get the task. */
const isEligible = (agents: fleet.Agents, agent: fleet.Agent, state: jobs.TaskState, now: number): boolean => {
  if (state.heldBy !== undefined && agent.name !== state.heldBy && now < state.heldUntil) return false
  if (agents.evacuations.covers(agent)) return false
  if (placedTasks(agent, state) >= state.job.job.steps[state.step]!.maxPerWorker) return false
  agent.health.running = agent.tasks.size
  return agents.health.accepts(agent.health) || agents.health.isTrialDue(agent.health, now)
}

/**
 * Returns the eligible agent with the best score. With `within` only those of the given rack count on which the task
 * has not failed.
 */
const findBest = (
  agents: fleet.Agents, state: jobs.TaskState, context: SelectionContext, rack: string | undefined, within: boolean
): fleet.Agent | undefined => {
  const { zone, now, candidates, unplaceable, expectedRunMs } = context
  const key = within ? `${state.requirements} on ${rack}` : state.requirements
  if (unplaceable.has(key) || unplaceable.has(state.requirements)) return undefined
  const typicalMs = expectedRunMs(state)
  const isConstrained = isConstrainedByRuns(state) || (within && state.avoidedAgents.size > 0)
  let hasRoom = false
  let best: fleet.Agent | undefined
  let bestScore = -Infinity
  for (const agent of candidates) {
    if (!isUsable(agent, state) || !runs.fits(state.task.amount, agent.free)) continue
    const worker = agent.worker!
    const isNear = rack === undefined || racks.isOn(worker, rack)
    if (within && !isNear) continue
    hasRoom = true
    if (within && state.avoidedAgents.has(agent.name)) continue
    if (!isEligible(agents, agent, state, now)) continue
    let score = agent.free.millicores / worker.capacity.millicores
    if (placedTasks(agent, state) > 0) score += SCORE.sameJob
    if (worker.zone === zone) score += SCORE.zone
    if (state.avoidedAgents.has(agent.name)) score += SCORE.avoided
    score += SCORE.runTime * expectedRunMs(state, agent, !isNear) / typicalMs
    if (score > bestScore) [best, bestScore] = [agent, score]
  }
  if (!best && (!hasRoom || !isConstrained)) unplaceable.add(key)
  return best
}

const viewOf = (agents: fleet.Agents, state: jobs.TaskState, context: SelectionContext): racks.RackView => {
  const key = `${state.job.job.queue.service} ${state.task.label ?? ''}`
  let view = context.rackViews.get(key)
  if (!view) {
    view = racks.createView({
      usable: agents.inService().filter((agent) => !agent.health.out && isUsable(agent, state)),
      now: context.now,
      expectedRunMs: (task, agent) => context.expectedRunMs(task, agent, task.place?.far)
    })
    context.rackViews.set(key, view)
  }
  return view
}

const groupOf = ({ job, step }: jobs.TaskState, { groups }: SelectionContext): { unplaced: number, queued: number } => {
  let bySteps = groups.get(job)
  if (!bySteps) groups.set(job, bySteps = new Map())
  let group = bySteps.get(step)
  if (!group) {
    const unplaced = job.tasks.filter((task) => task.step === step && task.phase === 'waiting').length
    bySteps.set(step, group = { unplaced, queued: 0 })
  }
  return group
}

/** Expected time in ms until the rack has room for the task, or for all unplaced tasks of its group. */
const roomInMs = (agents: fleet.Agents, state: jobs.TaskState, context: SelectionContext, rack: string): number => {
  const group = state.job.job.steps[state.step]!.sameRack ? groupOf(state, context) : undefined
  const queued = (context.queued.get(rack) ?? 0) - (group?.queued ?? 0)
  return viewOf(agents, state, context)
    .roomInMs(rack, state.task.amount, group?.unplaced ?? 1, Math.max(0, queued), context.expectedRunMs(state))
}

/** Rack near which the task runs fastest; undefined if there is none, or if its group is on several racks already. */
const preferredRack = (agents: fleet.Agents, state: jobs.TaskState, context: SelectionContext): string | undefined => {
  const { job, step, task } = state
  if (task.rack !== undefined || !job.job.steps[step]!.sameRack) return task.rack
  const hasBegun = job.placed[step]!.size > 0 || job.remaining[step]! < job.job.steps[step]!.tasks.length
  if (hasBegun && job.groupRacks[step] !== undefined) return jobs.isSpread(state) ? undefined : job.groupRacks[step]
  // A rack that has room for the whole group, or has it soonest.
  let best: string | undefined
  let bestMs = Infinity
  for (const rack of viewOf(agents, state, context).names()) {
    const inMs = roomInMs(agents, state, context, rack)
    if (inMs < bestMs) [best, bestMs] = [rack, inMs]
  }
  return best
}

/** Returns how the task's wait has ended, or undefined if it goes on. */
const endOfWait = (
  agents: fleet.Agents, state: jobs.TaskState, context: SelectionContext, wait: rackWait.Wait
): rackWaits.WaitOutcome | undefined => {
  if (context.now >= wait.until) return 'expired'
  if (viewOf(agents, state, context).millicores(wait.rack) < wait.millicores) return 'capacity-fell'
  const group = state.job.groupRacks[state.step]
  const isRegrouped = group !== undefined && (group !== wait.rack || jobs.isSpread(state))
  return isRegrouped && state.job.placed[state.step]!.size > 0 ? 'regrouped' : undefined
}

const enqueue = (state: jobs.TaskState, context: SelectionContext, wait: rackWait.Wait): rackWait.Wait => {
  const { millicores } = state.task.amount
  context.queued.set(wait.rack, (context.queued.get(wait.rack) ?? 0) + millicores)
  if (state.job.job.steps[state.step]!.sameRack) groupOf(state, context).queued += millicores
  return wait
}

/** Counts the task as placed in its group if there is an agent for it. */
const notePlaced = (
  state: jobs.TaskState, context: SelectionContext, agent: fleet.Agent | undefined
): fleet.Agent | undefined => {
  if (agent && state.job.job.steps[state.step]!.sameRack) groupOf(state, context).unplaced--
  return agent
}

/** Returns a wait for the rack, or an agent of it, if that is better than the agent elsewhere. */
const preferRack = (
  agents: fleet.Agents, state: jobs.TaskState, context: SelectionContext, rack: string, elsewhere: fleet.Agent
): fleet.Agent | rackWait.Wait | undefined => {
  const { now, policy, expectedRunMs } = context
  const { job, step } = state
  const view = viewOf(agents, state, context)
  const isAvoided = view.agents(rack).every(({ name }) => state.avoidedAgents.has(name))
  if (isAvoided || state.heldBy !== undefined) return undefined
  const expectedRoomInMs = roomInMs(agents, state, context, rack)
  const farMs = expectedRunMs(state, elsewhere, true)
  // A pass over the room that one agent reported has no other candidates. Room that the task may not use, as on a
  // worker that is suspected to be faulty, is not worth a wait.
  if (expectedRoomInMs === 0) {
    const onRack = { ...context, candidates: view.agents(rack), unplaceable: new Set<string>() }
    const near = findBest(agents, state, onRack, rack, true)
    return near && expectedRunMs(state, near, false) < farMs ? near : undefined
  }
  const endBy = job.latestStart + job.criticalPathMs - job.laterPathsMs[step]!
  const isFirstStep = job.job.steps[step]!.after.length === 0
  const inputs: rackWait.Inputs = {
    now,
    nearMs: Math.min(...view.agents(rack).map((agent) => expectedRunMs(state, agent, false))),
    farMs,
    roomInMs: expectedRoomInMs,
    busyShare: view.busyShare,
    affectedTasks: job.job.steps[step]!.sameRack ? job.remaining[step]! : 1,
    endBy,
    latestStart: isFirstStep ? job.latestStart : endBy - expectedRunMs(state),
    limit: state.waitLimit
  }
  const until = policy.decide(inputs)
  return until === undefined ? undefined : { rack, since: now, until, millicores: view.millicores(rack), inputs }
}

/**
 * Returns the candidate to run the task, a wait for the task's rack, or undefined if no candidate is eligible. Prefers
 * the shortest expected run, then agents that already run tasks of the same step, which saves messages, then the
 * largest free share of capacity.
 */
export const chooseAgent = (
  agents: fleet.Agents, state: jobs.TaskState, context: SelectionContext
): fleet.Agent | rackWait.Wait | undefined => {
  const { rackWait: wait } = state
  if (wait) {
    const end = endOfWait(agents, state, context, wait)
    // The cost of a pass doesn't grow with the tasks that wait: only the rack's own candidates are considered for them.
    if (!end) {
      const near = findBest(agents, state, context, wait.rack, true)
      return notePlaced(state, context, near) ?? enqueue(state, context, wait)
    }
    context.waits.end(state, end)
  }
  if (context.unplaceable.has(state.requirements)) return undefined
  const rack = preferredRack(agents, state, context)
  let best = findBest(agents, state, context, rack, false)
  if (best && rack !== undefined && !racks.isOn(best.worker!, rack)) {
    const onRack = preferRack(agents, state, context, rack, best)
    if (rackWait.isWait(onRack)) return enqueue(state, context, onRack)
    best = onRack ?? best
  }
  return notePlaced(state, context, best)
}
