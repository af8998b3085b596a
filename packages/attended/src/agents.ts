import * as placement from '@mustarddeck/placement'
import * as runs from '@mustarddeck/runs'
import type * as jobs from './jobs.ts'

/** An agent as one entry sees it. */
export interface Agent {
  link: number
  name: string
  life: string
  /** Absent while nothing can be started there. */
  worker: runs.Worker | undefined
  /** Free room as the agent told it, less the orders that it had not seen by then. */
  free: runs.Amount
  /** Entries that share the worker, this one included. */
  sharers: number
  /** Number of the latest message with orders. */
  sequence: number
  /** Orders that the agent's figure does not contain yet. */
  inFlight: Map<runs.TaskId, { sequence: number, amount: runs.Amount }>
  /** The agent has told of its worker on this link. */
  hasTold: boolean
  /** Tasks ordered there that have not ended. */
  tasks: Map<runs.TaskId, jobs.TaskState>
  health: placement.health.WorkerHealth
}

/** Agents by link, and the health of their workers, which outlasts a link. */
export interface Agents {
  up (link: number, name: string, life: string): Agent
  down (link: number): Agent | undefined
  get (link: number): Agent | undefined
  all (): IterableIterator<Agent>
  /** Takes note of what the agent says of its worker. */
  update (agent: Agent, room: runs.RoomMessage): void
  order (agent: Agent, task: runs.TaskId, amount: runs.Amount): void
  /** The order is settled: its effect shows in what the agent tells from now on, or it has none. */
  settle (agent: Agent, task: runs.TaskId): void
  readonly health: placement.health.Health
}

export const create = (): Agents => {
  const byLink = new Map<number, Agent>()
  const healthByName = new Map<string, { bornMs: number, health: placement.health.WorkerHealth }>()
  const health = placement.health.create({ enabled: true })

  const refresh = (agent: Agent, told: runs.Amount): void => {
    agent.free = told
    for (const { amount } of agent.inFlight.values()) agent.free = runs.minus(agent.free, amount)
  }
  /** A new life of a worker is judged anew. */
  const judge = (agent: Agent, { bornMs }: runs.Worker): void => {
    const known = healthByName.get(agent.name)
    if (known?.bornMs === bornMs) {
      agent.health = known.health
      return
    }
    if (known) health.remove(known.health)
    agent.health = placement.health.createWorkerHealth()
    health.admit(agent.health)
    healthByName.set(agent.name, { bornMs, health: agent.health })
  }
  return {
    health,
    up: (link, name, life) => {
      const agent: Agent = {
        link,
        name,
        life,
        worker: undefined,
        free: runs.NOTHING,
        sharers: 1,
        sequence: 0,
        inFlight: new Map(),
        hasTold: false,
        tasks: new Map(),
        health: placement.health.createWorkerHealth()
      }
      byLink.set(link, agent)
      return agent
    },
    down: (link) => {
      const agent = byLink.get(link)
      byLink.delete(link)
      return agent
    },
    get: (link) => byLink.get(link),
    all: () => byLink.values(),
    update: (agent, { worker, free, sequence, sharers }) => {
      if (worker && worker.bornMs !== agent.worker?.bornMs) judge(agent, worker)
      agent.worker = worker
      agent.sharers = sharers
      for (const [task, order] of agent.inFlight) if (order.sequence <= sequence) agent.inFlight.delete(task)
      refresh(agent, free)
    },
    order: (agent, task, amount) => {
      agent.inFlight.set(task, { sequence: agent.sequence, amount })
      agent.free = runs.minus(agent.free, amount)
    },
    settle: (agent, task) => {
      const order = agent.inFlight.get(task)
      if (!order) return
      agent.inFlight.delete(task)
      agent.free = runs.plus(agent.free, order.amount)
    }
  }
}
