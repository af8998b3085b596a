import type * as ledgers from '@mustarddeck/ledger'
import type * as messages from '@mustarddeck/messages'
import type * as placements from '@mustarddeck/placement'
import * as types from '@mustarddeck/types'
import type * as agentPeers from './agents.ts'
import type * as contexts from './context.ts'
import * as jobs from './job.ts'
import type * as waiting from './waiters.ts'

/** The jobs that this process owns: admission, dispatch, ends of tasks and outcomes. */
export interface OwnedJobs {
  /** Admits a submission under an id whose lookup was `open`; otherwise the id is refused for good. */
  admit (id: types.JobId, submission: types.Submission): types.Outcome | undefined
  /** Starts as many waiting tasks as there are grants for. */
  dispatch (): void
  finished (agent: agentPeers.AgentPeer, message: messages.Finished): void
  rejected (agent: agentPeers.AgentPeer, message: messages.Rejected): void
  /** The link to an agent is down: its tasks are unresolved. */
  agentDown (agent: agentPeers.AgentPeer): void
  /** The same agent is linked again: asks for the state of its unresolved tasks. */
  agentUp (agent: agentPeers.AgentPeer): void
  resumed (agent: agentPeers.AgentPeer, message: messages.Resumed): void
  /**
   * The agent's incarnation is gone with its records. `hasDeparted`: the membership shows it, and whether the owner was
   * fenced before is known.
   */
  agentLost (incarnation: types.Incarnation, hasDeparted: boolean): void
  cancel (job: jobs.Job): void
  fenced (incarnation: types.Incarnation): void
  /** Withdraws jobs that waited too long. */
  expireWaiting (): void
  /** Withdraws what still waits of jobs whose block is to retire. */
  expireOverdue (): void
  /** Jobs with tasks on an agent that has been absent since before this time. */
  unresolvedOn (incarnation: types.Incarnation): types.JobId[]
  /** Jobs without an outcome. */
  open (): number
  inProgress (): number
}

export const create = ({ context, ledger, placement, waiters, agents, fenced }: {
  context: contexts.Context
  ledger: ledgers.Ledger<jobs.Job>
  placement: placements.Placement
  waiters: waiting.Waiters
  agents: agentPeers.Agents
  /** An agent refused a task because its owner incarnation is fenced there. */
  fenced: (incarnation: types.Incarnation) => void
}): OwnedJobs => {
  const open = new Map<types.JobId, jobs.Job>()
  /** Jobs with tasks in progress, by agent incarnation, with the number of those tasks. */
  const byAgent = new Map<types.Incarnation, Map<types.JobId, number>>()
  let inProgress = 0

  const count = (agent: types.Incarnation, job: types.JobId, change: 1 | -1): void => {
    inProgress += change
    const counts = byAgent.get(agent) ?? new Map<types.JobId, number>()
    byAgent.set(agent, counts)
    const next = (counts.get(job) ?? 0) + change
    if (next > 0) counts.set(job, next)
    else counts.delete(job)
    if (counts.size === 0) byAgent.delete(agent)
  }
  const leaveProgress = (job: jobs.Job, index: number, at: jobs.Location, state: jobs.TaskState): void => {
    count(at.agent, job.id, -1)
    jobs.setState(job, index, state)
  }

  const settleIfOver = (job: jobs.Job): void => {
    const outcome = job.outcome ? undefined : jobs.conclude(job)
    if (!outcome) return
    open.delete(job.id)
    placement.withdraw(job.id)
    ledger.resize(job, jobs.settle(job, outcome))
    context.log('outcome', { job: job.id, outcome: outcome.kind })
    waiters.settle(job.id, outcome)
  }
  const stop = (job: jobs.Job, reason: jobs.Stop): void => {
    if (job.outcome || job.stop) return
    job.stop = reason
    placement.withdraw(job.id)
    settleIfOver(job)
  }
  const abort = (job: jobs.Job): void => {
    const indexes = new Map<types.LinkId, number[]>()
    for (const { index, at } of jobs.inProgress(job)) {
      if (agents.get(at.link)) indexes.set(at.link, [...indexes.get(at.link) ?? [], index])
    }
    for (const [link, list] of indexes) {
      context.send(link, { kind: 'cancel-tasks', job: job.id, indexes: list })
    }
  }

  const start = (dispatch: placements.Dispatch): void => {
    const job = open.get(dispatch.job)!
    const agent = agents.get(dispatch.link)!
    const { index, link, limitMs, resources } = dispatch
    const at = { link, agent: agent.incarnation, placedOn: link }
    const task = job.submission.tasks[index]!
    jobs.setState(job, index, { kind: 'sent', at })
    count(agent.incarnation, job.id, 1)
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
    leaveProgress(job, index, at, { kind: 'ended', outcome: end })
    const key = { link: at.placedOn, job: job.id, index }
    placement.finished({ ...key, end: end.kind, runMs: end.runMs, renewed }, context.now())
    if (end.kind === 'finished') return settleIfOver(job)
    const isFirst = !job.stop
    stop(job, end.kind === 'cancelled' ? 'cancelled' : 'task-failed')
    // Tasks that may not run twice are left to end by themselves, so that their effect is known.
    if (isFirst && job.submission.idempotent) abort(job)
    settleIfOver(job)
  }
  /** The task has certainly not started. */
  const returnToQueue = (job: jobs.Job, index: number, at: jobs.Location): void => {
    leaveProgress(job, index, at, { kind: 'waiting' })
    settleIfOver(job)
  }
  /** The state of a task that was sent to this agent over this link. */
  const sentState = (agent: agentPeers.AgentPeer, id: types.JobId, index: number) => {
    const job = open.get(id)
    const state = job?.states[index]
    return job && state?.kind === 'sent' && state.at.link === agent.link ? { job, at: state.at } : undefined
  }

  const resolve = (
    agent: agentPeers.AgentPeer, job: jobs.Job, record: messages.JobRecord | undefined, isDropped: boolean
  ): void => {
    const tasks = new Map(record?.tasks.map((task) => [task.index, task]))
    for (const { index, at } of jobs.inProgress(job)) {
      if (job.states[index]?.kind !== 'unresolved' || at.agent !== agent.incarnation) continue
      const task = tasks.get(index)
      if (task?.outcome) endTask(job, index, at, task.outcome, false)
      else if (task) jobs.setState(job, index, { kind: 'sent', at: { ...at, link: agent.link } })
      else if (isDropped) loseTask(job, index, at)
      else requeue(job, index, at)
    }
    if (!isDropped) return
    // The agent fenced the owner before it dropped the records, and others may have seen them in between.
    job.mayBeRecovered = true
    stop(job, 'owner-fenced')
    settleIfOver(job)
  }
  const requeue = (job: jobs.Job, index: number, at: jobs.Location): void => {
    returnToQueue(job, index, at)
    placement.requeue(job.id, index, context.now())
  }
  const loseTask = (job: jobs.Job, index: number, at: jobs.Location): void => {
    leaveProgress(job, index, at, { kind: 'lost' })
    const key = { link: at.placedOn, job: job.id, index }
    placement.finished({ ...key, end: 'lost', runMs: 0, renewed: false }, context.now())
  }
  const jobsOn = (agent: types.Incarnation): jobs.Job[] =>
    [...byAgent.get(agent)?.keys() ?? []].map((id) => open.get(id)!)

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
      open.set(id, job)
      return undefined
    },
    dispatch: () => {
      for (let next = placement.next(context.now()); next; next = placement.next(context.now())) start(next)
      for (const { link, waiting: wanted } of placement.reports(context.now())) {
        context.send(link, { kind: 'demand', waiting: wanted })
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
      leaveProgress(job, index, at, { kind: 'waiting' })
      placement.rejected({ job: id, index, link: at.placedOn }, reason, context.now())
      if (reason === 'fenced' || reason === 'retired') fenced(types.parseJobId(id)!.incarnation)
      settleIfOver(job)
    },
    agentDown: (agent) => {
      for (const job of jobsOn(agent.incarnation)) {
        for (const { index, at } of jobs.inProgress(job)) {
          if (at.agent === agent.incarnation) jobs.setState(job, index, { kind: 'unresolved', at })
        }
      }
    },
    agentUp: (agent) => {
      const asked = [...byAgent.get(agent.incarnation)?.keys() ?? []]
      if (asked.length > 0) context.send(agent.link, { kind: 'resume', jobs: asked })
    },
    resumed: (agent, { jobs: asked, dropped, records }) => {
      const byId = new Map(records.map((record) => [record.job, record]))
      const droppedOwners = new Set(dropped)
      for (const id of asked) {
        const job = open.get(id)
        if (job) resolve(agent, job, byId.get(id), droppedOwners.has(types.parseJobId(id)!.incarnation))
      }
    },
    agentLost: (incarnation, hasDeparted) => {
      for (const job of jobsOn(incarnation)) {
        if (!hasDeparted) job.mayBeRecovered = true
        for (const { index, at } of jobs.inProgress(job)) {
          if (at.agent === incarnation) loseTask(job, index, at)
        }
        context.log('worker-lost', { job: job.id, agent: incarnation })
        stop(job, 'worker-lost')
        settleIfOver(job)
      }
    },
    cancel: (job) => {
      stop(job, 'cancelled')
      if (!job.outcome) abort(job)
    },
    fenced: (incarnation) => {
      for (const job of [...open.values()]) {
        if (types.parseJobId(job.id)!.incarnation !== incarnation) continue
        job.mayBeRecovered = true
        stop(job, 'owner-fenced')
      }
    },
    expireWaiting: () => {
      for (const id of placement.overdue(context.now())) {
        const job = open.get(id)
        if (job) stop(job, 'queue-time')
      }
    },
    expireOverdue: () => {
      for (const job of ledger.overdue(context.now())) stop(job, 'queue-time')
    },
    unresolvedOn: (incarnation) => [...byAgent.get(incarnation)?.keys() ?? []],
    open: () => open.size,
    inProgress: () => inProgress
  }
}
