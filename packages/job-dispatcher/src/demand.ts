import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import * as jobs from './jobs.ts'
import type * as waitingJobs from './waiting-jobs.ts'

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
  announce (agents: Iterable<fleet.Agent>, waiting: waitingJobs.WaitingJobs): void
  /** Withdraws or lowers the sent demand; called when the agent has reported capacity and tasks have been placed. */
  revise (agent: fleet.Agent, waiting: waitingJobs.WaitingJobs): void
  forget (agent: fleet.Agent): void
}

/** Demand last sent to an agent: the priority, and the monotonic ms by which a task has to start. */
interface SentDemand {
  priority: number
  startDeadline: number
}

export const create = ({ timers, send }: Options): DemandNotifier => {
  const lastSent = new Map<number, SentDemand>()

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

  /** Jobs that wait for a rack ask its agents only, so that others offer their room to jobs that would use it. */
  const mostUrgentFor = (worker: runs.Worker, waiting: waitingJobs.WaitingJobs): jobs.JobState | undefined => {
    const now = timers.monotonic()
    return waiting.mostUrgent(worker.service, (job) => jobs.mayUse(job, worker, now))
  }

  return {
    announce: (agents, waiting) => {
      if (waiting.size === 0) return
      // Many agents have workers of the same type and rack.
      const mostUrgent = new Map<string, jobs.JobState | undefined>()
      for (const agent of agents) {
        if (!agent.worker || agent.worker.leaving) continue
        const key = [agent.worker.service, ...agent.worker.labels].join(' ')
        if (!mostUrgent.has(key)) mostUrgent.set(key, mostUrgentFor(agent.worker, waiting))
        const job = mostUrgent.get(key)
        if (job && !agent.health.out && mustNotify(lastSent.get(agent.link), job)) notify(agent, job)
      }
    },
    revise: (agent, waiting) => {
      const sent = lastSent.get(agent.link)
      if (!sent || agent.free.millicores <= 0) return
      const job = agent.worker && mostUrgentFor(agent.worker, waiting)
      if (!job || overstatesUrgency(sent, job)) notify(agent, job)
    },
    forget: ({ link }) => { lastSent.delete(link) }
  }
}
