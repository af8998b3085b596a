import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import * as jobs from './jobs.ts'

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

/** What an agent was told: the priority, and the monotonic ms by which a task has to start. */
interface Told {
  priority: number
  by: number
}

export const create = ({ timers, send }: Options): Wants => {
  const told = new Map<number, Told>()

  /** The most urgent job for each service. */
  const mostUrgent = (waiting: Iterable<jobs.JobState>): Map<string, jobs.JobState> => {
    const byService = new Map<string, jobs.JobState>()
    for (const job of waiting) {
      const { service } = job.job.queue
      const known = byService.get(service)
      if (!known || jobs.compareUrgency(job, known) < 0) byService.set(service, job)
    }
    return byService
  }
  const tell = ({ link }: fleet.Agent, job: jobs.JobState | undefined): void => {
    if (!job) {
      told.delete(link)
      return send(link, { kind: 'want' })
    }
    const now = timers.monotonic()
    const { priority } = job.job.queue
    const withinMs = Math.max(OVERDUE_WITHIN_MS, Math.round(job.latestStart - now))
    told.set(link, { priority, by: now + withinMs })
    send(link, { kind: 'want', urgency: { priority, withinMs } })
  }
  /** True if the agent was told of nothing as urgent, or the time that it was told is over. */
  const isNews = (known: Told | undefined, { job, latestStart }: jobs.JobState): boolean => {
    const now = timers.monotonic()
    if (!known || known.by < now || known.priority > job.queue.priority) return true
    return known.priority === job.queue.priority &&
      known.by > Math.max(latestStart, now + OVERDUE_WITHIN_MS) + TOLERANCE_MS
  }
  const isExaggerated = (known: Told, { job, latestStart }: jobs.JobState): boolean =>
    known.priority < job.queue.priority || latestStart > known.by + TOLERANCE_MS

  return {
    announce: (agents, waiting) => {
      const byService = mostUrgent(waiting)
      if (byService.size === 0) return
      for (const agent of agents) {
        const job = agent.worker && !agent.worker.leaving ? byService.get(agent.worker.service) : undefined
        if (job && !agent.health.out && isNews(told.get(agent.link), job)) tell(agent, job)
      }
    },
    answer: (agent, waiting) => {
      const known = told.get(agent.link)
      if (!known || agent.free.millicores <= 0) return
      const job = agent.worker && mostUrgent(waiting).get(agent.worker.service)
      if (!job || isExaggerated(known, job)) tell(agent, job)
    },
    forget: ({ link }) => { told.delete(link) }
  }
}
