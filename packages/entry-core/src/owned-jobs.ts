import type * as ledgers from '@mustarddeck/ledger'
import type * as messages from '@mustarddeck/messages'
import type * as placements from '@mustarddeck/placement'
import * as types from '@mustarddeck/types'
import type * as agentPeers from './agents.ts'
import type * as contexts from './context.ts'
import * as jobs from './job.ts'
import type * as waiterRegistries from './waiters.ts'

/** Jobs owned by this process, from admission and dispatch to their outcomes. */
export interface OwnedJobs {
  /** Admits a submission under an `open` id, or refuses the id for good and returns the outcome. */
  admit (id: types.JobId, submission: types.Submission): types.Outcome | undefined
  /** Sends waiting tasks to agents while there are grants, and reports demand to agents. */
  dispatch (): void
  finished (agent: agentPeers.AgentPeer, message: messages.Finished): void
  rejected (agent: agentPeers.AgentPeer, message: messages.Rejected): void
  /** Marks the agent's tasks as unresolved when its link is down. */
  agentDown (agent: agentPeers.AgentPeer): void
  /** Asks an agent that is linked again for the state of its unresolved tasks. */
  agentUp (agent: agentPeers.AgentPeer): void
  resumed (agent: agentPeers.AgentPeer, message: messages.Resumed): void
  /**
   * Marks the tasks of an agent incarnation as lost, because it is gone with its records. `hasDeparted`: the membership
   * shows the departure, so it is also known whether the owner was fenced before.
   */
  agentLost (incarnation: types.Incarnation, hasDeparted: boolean): void
  cancel (job: jobs.Job): void
  /** Stops the jobs of a fenced incarnation of this process. */
  handleFence (incarnation: types.Incarnation): void
  /** Stops jobs that exceeded their maximum wait in the queue. */
  expireQueued (): void
  /** Stops unfinished jobs in id blocks that are due to retire. */
  expireRetiring (): void
  /** Jobs with tasks in progress on the agent. */
  jobsOnAgent (incarnation: types.Incarnation): types.JobId[]
  /** Jobs without an outcome. */
  openCount (): number
  /** Number of tasks in progress. */
  inProgressCount (): number
}

export const create = ({ context, ledger, placement, waiters, agents, onFenced }: {
  context: contexts.Context
  ledger: ledgers.Ledger<jobs.Job>
  placement: placements.Placement
  waiters: waiterRegistries.WaiterRegistry
  agents: agentPeers.Agents
  /** Called when an agent rejects a task because its owner incarnation is fenced there. */
  onFenced: (incarnation: types.Incarnation) => void
}): OwnedJobs => {
  const openJobs = new Map<types.JobId, jobs.Job>()
  /** Number of tasks in progress by agent incarnation and job. */
  const taskCountsByAgent = new Map<types.Incarnation, Map<types.JobId, number>>()
  let tasksInProgress = 0

  const changeTaskCount = (agent: types.Incarnation, job: types.JobId, change: 1 | -1): void => {
    tasksInProgress += change
    const counts = taskCountsByAgent.get(agent) ?? new Map<types.JobId, number>()
    taskCountsByAgent.set(agent, counts)
    const next = (counts.get(job) ?? 0) + change
    if (next > 0) counts.set(job, next)
    else counts.delete(job)
    if (counts.size === 0) taskCountsByAgent.delete(agent)
  }
  const endProgress = (job: jobs.Job, index: number, at: jobs.Location, state: jobs.TaskState): void => {
    changeTaskCount(at.agent, job.id, -1)
    jobs.setState(job, index, state)
  }

  const endJobIfDone = (job: jobs.Job): void => {
    const outcome = job.outcome ? undefined : jobs.finalOutcome(job)
    if (!outcome) return
    openJobs.delete(job.id)
    placement.withdraw(job.id)
    ledger.resize(job, jobs.storeOutcome(job, outcome))
    context.log('outcome', { job: job.id, outcome: outcome.kind })
    waiters.replyAll(job.id, outcome)
  }
  const stopJob = (job: jobs.Job, reason: jobs.StopReason): void => {
    if (job.outcome || job.stopReason) return
    job.stopReason = reason
    placement.withdraw(job.id)
    endJobIfDone(job)
  }
  const abortTasks = (job: jobs.Job): void => {
    const indexes = new Map<types.LinkId, number[]>()
    for (const { index, at } of jobs.tasksInProgress(job)) {
      if (agents.get(at.link)) indexes.set(at.link, [...indexes.get(at.link) ?? [], index])
    }
    for (const [link, list] of indexes) {
      context.send(link, { kind: 'cancel-tasks', job: job.id, indexes: list })
    }
  }

  const sendStart = (dispatch: placements.Dispatch): void => {
    const job = openJobs.get(dispatch.job)!
    const agent = agents.get(dispatch.link)!
    const { index, link, limitMs, resources } = dispatch
    const at = { link, agent: agent.incarnation, placementLink: link }
    const task = job.submission.tasks[index]!
    jobs.setState(job, index, { kind: 'sent', at })
    changeTaskCount(agent.incarnation, job.id, 1)
    context.log('place', { job: job.id, task: task.name, worker: agent.worker, reason: dispatch.reason })
    context.send(link, {
      kind: 'start',
      job: job.id,
      index,
      attempt: job.attempts[index]!++,
      total: job.states.length,
      digest: job.digest,
      name: task.name,
      type: job.submission.type,
      payload: task.payload,
      limitMs,
      resources
    })
  }

  const endTask = (job: jobs.Job, index: number, at: jobs.Location, end: messages.TaskEnd, renewed: boolean): void => {
    endProgress(job, index, at, { kind: 'ended', outcome: end })
    const key = { link: at.placementLink, job: job.id, index }
    placement.finished({ ...key, end: end.kind, runMs: end.runMs, renewed }, context.now())
    if (end.kind === 'finished') return endJobIfDone(job)
    const isFirstStop = !job.stopReason
    stopJob(job, end.kind === 'cancelled' ? 'cancelled' : 'task-failed')
    // Tasks of jobs that aren't idempotent run to their end, so that their effect is known.
    if (isFirstStop && job.submission.idempotent) abortTasks(job)
    endJobIfDone(job)
  }
  /** For a task that has certainly not started. */
  const returnToQueue = (job: jobs.Job, index: number, at: jobs.Location): void => {
    endProgress(job, index, at, { kind: 'waiting' })
    endJobIfDone(job)
  }
  /** Job and location of a task that was sent to this agent over its current link. */
  const sentState = (agent: agentPeers.AgentPeer, id: types.JobId, index: number) => {
    const job = openJobs.get(id)
    const state = job?.states[index]
    return job && state?.kind === 'sent' && state.at.link === agent.link ? { job, at: state.at } : undefined
  }

  const resolveTasks = (
    agent: agentPeers.AgentPeer, job: jobs.Job, record: messages.JobRecord | undefined, recordsDropped: boolean
  ): void => {
    const tasks = new Map(record?.tasks.map((task) => [task.index, task]))
    for (const { index, at } of jobs.tasksInProgress(job)) {
      if (job.states[index]?.kind !== 'unresolved' || at.agent !== agent.incarnation) continue
      const task = tasks.get(index)
      if (task?.outcome) endTask(job, index, at, task.outcome, false)
      else if (task) jobs.setState(job, index, { kind: 'sent', at: { ...at, link: agent.link } })
      else if (recordsDropped) markTaskLost(job, index, at)
      else requeue(job, index, at)
    }
    if (!recordsDropped) return
    // The agent fenced the owner before it dropped the records, and other entries may have read them in between.
    job.possiblyRecovered = true
    stopJob(job, 'owner-fenced')
    endJobIfDone(job)
  }
  const requeue = (job: jobs.Job, index: number, at: jobs.Location): void => {
    returnToQueue(job, index, at)
    placement.requeue(job.id, index, context.now())
  }
  const markTaskLost = (job: jobs.Job, index: number, at: jobs.Location): void => {
    endProgress(job, index, at, { kind: 'lost' })
    const key = { link: at.placementLink, job: job.id, index }
    placement.finished({ ...key, end: 'lost', runMs: 0, renewed: false }, context.now())
  }
  const openJobsOn = (agent: types.Incarnation): jobs.Job[] =>
    [...taskCountsByAgent.get(agent)?.keys() ?? []].map((id) => openJobs.get(id)!)

  return {
    admit: (id, submission) => {
      const { view } = types.parseJobId(id)!
      const { team, type, maxWaitMs } = submission
      const request = {
        id, team, type, maxWaitMs, tasks: submission.tasks.length, registeredOnly: view.kind === 'registered'
      }
      const admission: placements.Admission = ledger.isFull()
        ? { kind: 'refused', reason: 'memory-limit', retryAfterMs: context.settings.retryAfterMs }
        : placement.admit(request, context.now())
      if (admission.kind === 'refused') {
        const { reason, retryAfterMs } = admission
        ledger.refuse(id, reason)
        context.log('refuse', { job: id, reason, team, type })
        return { kind: 'not-run', job: id, reason, final: true, retryAfterMs }
      }
      const job = jobs.create(id, submission)
      ledger.add(job)
      openJobs.set(id, job)
      return undefined
    },
    dispatch: () => {
      for (let next = placement.next(context.now()); next; next = placement.next(context.now())) sendStart(next)
      for (const { link, waiting: waitingByRank } of placement.demandReports(context.now())) {
        context.send(link, { kind: 'demand', waiting: waitingByRank })
      }
      for (const { event, fields } of placement.decisions()) context.log(event, fields)
    },
    finished: (agent, message) => {
      const found = sentState(agent, message.job, message.index)
      if (found) endTask(found.job, message.index, found.at, message.outcome, message.renewed)
      else if (message.renewed) placement.granted(agent.link, 1)
    },
    rejected: (agent, { job: id, index, reason }) => {
      const found = sentState(agent, id, index)
      if (!found) return
      const { job, at } = found
      context.log('rejected', { job: id, index, worker: agent.worker, reason })
      if (reason === 'duplicate') {
        jobs.setState(job, index, { kind: 'unresolved', at })
        return context.send(agent.link, { kind: 'resume', jobs: [id] })
      }
      endProgress(job, index, at, { kind: 'waiting' })
      placement.rejected({ job: id, index, link: at.placementLink }, reason, context.now())
      if (reason === 'fenced' || reason === 'retired') onFenced(types.parseJobId(id)!.incarnation)
      endJobIfDone(job)
    },
    agentDown: (agent) => {
      for (const job of openJobsOn(agent.incarnation)) {
        for (const { index, at } of jobs.tasksInProgress(job)) {
          if (at.agent === agent.incarnation) jobs.setState(job, index, { kind: 'unresolved', at })
        }
      }
    },
    agentUp: (agent) => {
      const unresolvedJobs = [...taskCountsByAgent.get(agent.incarnation)?.keys() ?? []]
      if (unresolvedJobs.length > 0) context.send(agent.link, { kind: 'resume', jobs: unresolvedJobs })
    },
    resumed: (agent, { jobs: requestedJobs, dropped, records }) => {
      const byId = new Map(records.map((record) => [record.job, record]))
      const droppedOwners = new Set(dropped)
      for (const id of requestedJobs) {
        const job = openJobs.get(id)
        if (job) resolveTasks(agent, job, byId.get(id), droppedOwners.has(types.parseJobId(id)!.incarnation))
      }
    },
    agentLost: (incarnation, hasDeparted) => {
      for (const job of openJobsOn(incarnation)) {
        if (!hasDeparted) job.possiblyRecovered = true
        for (const { index, at } of jobs.tasksInProgress(job)) {
          if (at.agent === incarnation) markTaskLost(job, index, at)
        }
        context.log('worker-lost', { job: job.id, agent: incarnation })
        stopJob(job, 'worker-lost')
        endJobIfDone(job)
      }
    },
    cancel: (job) => {
      stopJob(job, 'cancelled')
      if (!job.outcome) abortTasks(job)
    },
    handleFence: (incarnation) => {
      for (const job of [...openJobs.values()]) {
        if (types.parseJobId(job.id)!.incarnation !== incarnation) continue
        job.possiblyRecovered = true
        stopJob(job, 'owner-fenced')
      }
    },
    expireQueued: () => {
      for (const id of placement.overdue(context.now())) {
        const job = openJobs.get(id)
        if (job) stopJob(job, 'queue-time')
      }
    },
    expireRetiring: () => {
      for (const job of ledger.overdueJobs(context.now())) stopJob(job, 'queue-time')
    },
    jobsOnAgent: (incarnation) => [...taskCountsByAgent.get(incarnation)?.keys() ?? []],
    openCount: () => openJobs.size,
    inProgressCount: () => tasksInProgress
  }
}
