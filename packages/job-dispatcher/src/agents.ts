import * as placement from '@mustarddeck/placement'
import * as runs from '@mustarddeck/runs'
import * as evacuations from './evacuations.ts'
import type * as jobs from './jobs.ts'

/** Time in ms without a link after which a worker counts as gone; a restart of its machine is shorter. */
const FORGET_AFTER_MS = 600_000

/** State of an agent as known to one entry. */
export interface Agent {
  link: number
  name: string
  incarnation: string
  /** Undefined while no task can be started there. */
  worker: runs.Worker | undefined
  /** Free capacity last reported by the agent, less the orders that the report doesn't include. */
  free: runs.Resources
  /** Entries sharing the worker, including this one. */
  entryCount: number
  /** Sequence number of the latest start message. */
  sequence: number
  /** Orders not yet included in the agent's reported free capacity. */
  inFlight: Map<runs.TaskId, { sequence: number, amount: runs.Resources }>
  /** Whether the agent has reported its worker on this link. */
  hasReportedWorker: boolean
  /** Zone for whose evacuation the agent refuses orders. */
  evacuatedZone: string | undefined
  /** Tasks ordered on this agent that have not ended. */
  tasks: Map<runs.TaskId, jobs.TaskState>
  health: placement.health.WorkerHealth
}

interface HealthRecord {
  bornMs: number
  health: placement.health.WorkerHealth
  /** Monotonic ms at which the agent's link was lost; undefined while there is one. */
  goneAt: number | undefined
}

/** Agents by link, and the health of their workers, which is kept when a link closes. */
export interface Agents {
  up (link: number, name: string, incarnation: string): Agent
  down (link: number, now: number): Agent | undefined
  /** Drops the health of workers without a link for `FORGET_AFTER_MS`, and returns their agents' names. */
  forgetGone (now: number): string[]
  get (link: number): Agent | undefined
  all (): IterableIterator<Agent>
  /** Returns the agents on whose worker something may be started. */
  inService (): Agent[]
  /** Applies the agent's report of its worker and free capacity. */
  update (agent: Agent, report: runs.CapacityMessage): void
  /** Reserves the amount for an order that the agent's report doesn't include yet. */
  order (agent: Agent, task: runs.TaskId, amount: runs.Resources): void
  /** Removes an order that the agent's later reports include or that has no effect. */
  removeOrder (agent: Agent, task: runs.TaskId): void
  readonly health: placement.health.Health
  readonly evacuations: evacuations.Evacuations
}

export const create = (): Agents => {
  const byLink = new Map<number, Agent>()
  const healthByName = new Map<string, HealthRecord>()
  const health = placement.health.create({ enabled: true })
  const evacuated = evacuations.create()

  const updateFree = (agent: Agent, reported: runs.Resources): void => {
    agent.free = reported
    for (const { amount } of agent.inFlight.values()) agent.free = runs.subtract(agent.free, amount)
  }
  /** Starts a new health record for a new incarnation of the worker. */
  const trackHealth = (agent: Agent, { bornMs }: runs.Worker): void => {
    const previous = healthByName.get(agent.name)
    if (previous?.bornMs === bornMs) {
      agent.health = previous.health
      previous.goneAt = undefined
      return
    }
    if (previous) health.remove(previous.health)
    agent.health = placement.health.createWorkerHealth()
    health.admit(agent.health)
    healthByName.set(agent.name, { bornMs, health: agent.health, goneAt: undefined })
  }
  return {
    health,
    evacuations: evacuated,
    up: (link, name, incarnation) => {
      const agent: Agent = {
        link,
        name,
        incarnation,
        worker: undefined,
        free: runs.NO_RESOURCES,
        entryCount: 1,
        sequence: 0,
        inFlight: new Map(),
        hasReportedWorker: false,
        evacuatedZone: undefined,
        tasks: new Map(),
        health: placement.health.createWorkerHealth()
      }
      byLink.set(link, agent)
      return agent
    },
    down: (link, now) => {
      const agent = byLink.get(link)
      byLink.delete(link)
      if (agent) evacuated.forget(agent, byLink.values())
      const record = agent && healthByName.get(agent.name)
      const isLinked = [...byLink.values()].some(({ name }) => name === agent?.name)
      if (record && !isLinked) record.goneAt = now
      return agent
    },
    forgetGone: (now) => {
      const names: string[] = []
      for (const [name, { goneAt, health: workerHealth }] of healthByName) {
        if (goneAt === undefined || now - goneAt < FORGET_AFTER_MS) continue
        health.remove(workerHealth)
        healthByName.delete(name)
        names.push(name)
      }
      return names
    },
    get: (link) => byLink.get(link),
    all: () => byLink.values(),
    inService: () => [...byLink.values()].filter((agent) => !evacuated.covers(agent)),
    update: (agent, { worker, free, sequence, sharers, evacuated: isEvacuated }) => {
      if (worker && worker.bornMs !== agent.worker?.bornMs) trackHealth(agent, worker)
      agent.worker = worker
      if (worker) evacuated.report(agent, isEvacuated === true)
      agent.entryCount = sharers
      for (const [task, order] of agent.inFlight) if (order.sequence <= sequence) agent.inFlight.delete(task)
      updateFree(agent, free)
    },
    order: (agent, task, amount) => {
      agent.inFlight.set(task, { sequence: agent.sequence, amount })
      agent.free = runs.subtract(agent.free, amount)
    },
    removeOrder: (agent, task) => {
      const order = agent.inFlight.get(task)
      if (!order) return
      agent.inFlight.delete(task)
      agent.free = runs.add(agent.free, order.amount)
    }
  }
}
