import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as jobs from './jobs.ts'

/** Difference in ms between what an agent was told and what is so now, from which on it is told again. */
const TOLERANCE_MS = 50
/** Time in ms that an agent is told for tasks whose latest start has passed. */
const OVERDUE_WITHIN_MS = 50

export interface Options {
  timers: clock.Clock
  send (link: number, message: runs.WantMessage): void
}

/** Tells agents how urgent the tasks are that wait for room on their workers. */
export interface Wants {
  /** Tells the agents that do not know of the waiting jobs. */
  announce (agents: Iterable<fleet.Agent>, waiting: Iterable<jobs.JobState>): void
  /** The agent has offered room, and what can use it has been placed. */
  answer (agent: fleet.Agent, waiting: Iterable<jobs.JobState>): void
  forget (agent: fleet.Agent): void
}

export const create = ({ timers, send }: Options): Wants => {
  /** Monotonic ms that agents were told, by link. */
  const told = new Map<number, number>()

  /** Monotonic ms by which the most urgent task for each service has to start. */
  const urgencies = (waiting: Iterable<jobs.JobState>): Map<string, number> => {
    const byService = new Map<string, number>()
    for (const { job, latestStart } of waiting) {
      const known = byService.get(job.queue.service)
      if (known === undefined || latestStart < known) byService.set(job.queue.service, latestStart)
    }
    return byService
  }
  const tell = ({ link }: fleet.Agent, by: number | undefined): void => {
    if (by === undefined) {
      told.delete(link)
      return send(link, { kind: 'want' })
    }
    const now = timers.monotonic()
    const withinMs = Math.max(OVERDUE_WITHIN_MS, Math.round(by - now))
    told.set(link, now + withinMs)
    send(link, { kind: 'want', withinMs })
  }
  return {
    announce: (agents, waiting) => {
      const byService = urgencies(waiting)
      if (byService.size === 0) return
      const now = timers.monotonic()
      for (const agent of agents) {
        const by = agent.worker && !agent.worker.leaving ? byService.get(agent.worker.service) : undefined
        if (by === undefined || agent.health.out) continue
        const known = told.get(agent.link) ?? -Infinity
        if (known < now || known > Math.max(by, now + OVERDUE_WITHIN_MS) + TOLERANCE_MS) tell(agent, by)
      }
    },
    answer: (agent, waiting) => {
      const known = told.get(agent.link)
      if (known === undefined || agent.free.millicores <= 0) return
      const by = agent.worker && urgencies(waiting).get(agent.worker.service)
      if (by === undefined || by > known + TOLERANCE_MS) tell(agent, by)
    },
    forget: ({ link }) => { told.delete(link) }
  }
}
