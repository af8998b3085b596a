import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import * as jobs from './jobs.ts'

/** Difference in ms between the sent and the current start deadline above which the agent is notified again. */
const TOLERANCE_MS = 50
/** Time to start in ms that is sent for tasks whose latest start has passed. */
const OVERDUE_WITHIN_MS = 50

export interface Options {
  timers: clock.Clock
  send (link: number, message: runs.DemandMessage): void
}

/** Notifies agents of the most urgent task that waits for capacity on their workers. */
export interface DemandNotifier {
  /** Notifies agents that have not been sent demand as urgent as that of the waiting jobs. */
  announce (agents: Iterable<fleet.Agent>, waiting: Iterable<jobs.JobState>): void
  /** Withdraws or lowers the sent demand; called when the agent has reported capacity and tasks have been placed. */
  revise (agent: fleet.Agent, waiting: Iterable<jobs.JobState>): void
  forget (agent: fleet.Agent): void
}

/** Demand last sent to an agent: the priority, and the monotonic ms by which a task has to start. */
interface SentDemand {
  priority: number
  startDeadline: number
}

export const create = ({ timers, send }: Options): DemandNotifier => {
  const lastSent = new Map<number, SentDemand>()

  /** Returns the most urgent job of each service. */
  const mostUrgent = (waiting: Iterable<jobs.JobState>): Map<string, jobs.JobState> => {
    const byService = new Map<string, jobs.JobState>()
    for (const job of waiting) {
      const { service } = job.job.queue
      const current = byService.get(service)
      if (!current || jobs.compareUrgency(job, current) < 0) byService.set(service, job)
    }
    return byService
  }
  const notify = ({ link }: fleet.Agent, job: jobs.JobState | undefined): void => {
    if (!job) {
      lastSent.delete(link)
      return send(link, { kind: 'want' })
    }
    const now = timers.monotonic()
    const { priority } = job.job.queue
    const withinMs = Math.max(OVERDUE_WITHIN_MS, Math.round(job.latestStart - now))
    lastSent.set(link, { priority, startDeadline: now + withinMs })
    send(link, { kind: 'want', urgency: { priority, withinMs } })
  }
  /** True if the sent demand is less urgent than the job or its start deadline has passed. */
  const mustNotify = (sent: SentDemand | undefined, { job, latestStart }: jobs.JobState): boolean => {
    const now = timers.monotonic()
    if (!sent || sent.startDeadline < now || sent.priority > job.queue.priority) return true
    return sent.priority === job.queue.priority &&
      sent.startDeadline > Math.max(latestStart, now + OVERDUE_WITHIN_MS) + TOLERANCE_MS
  }
  const overstatesUrgency = (sent: SentDemand, { job, latestStart }: jobs.JobState): boolean =>
    sent.priority < job.queue.priority || latestStart > sent.startDeadline + TOLERANCE_MS

  return {
    announce: (agents, waiting) => {
      const byService = mostUrgent(waiting)
      if (byService.size === 0) return
      for (const agent of agents) {
        const job = agent.worker && !agent.worker.leaving ? byService.get(agent.worker.service) : undefined
        if (job && !agent.health.out && mustNotify(lastSent.get(agent.link), job)) notify(agent, job)
      }
    },
    revise: (agent, waiting) => {
      const sent = lastSent.get(agent.link)
      if (!sent || agent.free.millicores <= 0) return
      const job = agent.worker && mostUrgent(waiting).get(agent.worker.service)
      if (!job || overstatesUrgency(sent, job)) notify(agent, job)
    },
    forget: ({ link }) => { lastSent.delete(link) }
  }
}
