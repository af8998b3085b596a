import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as runs from '@mustarddeck/runs'
import * as admission from './admission.ts'
import * as fleet from './agents.ts'
import * as choice from './choice.ts'
import * as learning from './estimates.ts'
import type * as attended from './interface.ts'
import * as jobs from './jobs.ts'
import * as wanting from './wants.ts'

/** Time in ms between reviews of waiting, lost and overdue tasks. */
const REVIEW_MS = 20
/** A run counts as standing still after this multiple of its expected run time and `MIN_OVERDUE_MS` more. */
const OVERDUE_FACTOR = 3
const MIN_OVERDUE_MS = 250
/** Time in ms after which a caller that was refused should try again. */
const RETRY_AFTER_MS = 1000
/** Time in ms after a new link in which more agents may come, so that the fleet's size is not known yet. */
const SETTLING_MS = 300
/** Time in ms before the end of a caller's patience at which its answer is sent, so that it still arrives. */
const ANSWER_MARGIN_MS = 40
/** Tasks that one line names; the log cuts longer values. */
const MAX_LOGGED_TASKS = 16

export interface Options {
  timers: clock.Timers
  log: log.Log
  /** Zone of this entry; its own workers go before equally free ones elsewhere. */
  zone: string
  /** Longest time in ms that a run may go on after its agent has ceased to act for this entry. */
  lapseAfterMs: number
  send (link: number, message: runs.ToAgent): void
  /** Called once for each job that ends. */
  onJobEnd (job: attended.Job, outcome: attended.Outcome, tookMs: number): void
  /** Called for each order after which the task was not started. */
  onRefusedOrder (reason: string): void
}

/** Orders for one agent that leave in one message. */
type Batch = Map<fleet.Agent, jobs.TaskState[]>

export const create = (options: Options): attended.Dispatcher => {
  const { timers, log, zone, lapseAfterMs, send } = options
  const agents = fleet.create()
  const estimates = learning.create()
  const wants = wanting.create({ timers, send })
  const byKey = new Map<runs.JobKey, jobs.JobState>()
  /** Tasks that may be on a worker, also those of jobs that have ended. */
  const unsettled = new Map<runs.TaskId, jobs.TaskState>()
  const waiting = new Set<jobs.JobState>()
  let latestLinkAt = timers.monotonic()
  let drainsBy: number | undefined
  let placing = false

  const estimateOf = (state: jobs.TaskState): number => estimates.of(state.job.job.queue.name, state.task)

  const end = (state: jobs.JobState, outcome: attended.Outcome): void => {
    if (state.ended) return
    state.ended = true
    waiting.delete(state)
    if (byKey.get(state.job.key) === state) byKey.delete(state.job.key)
    for (const task of state.tasks) stop(task)
    const tookMs = timers.monotonic() - state.arrivedAt
    // What was not served is kept in the log before what was.
    const write = outcome.kind === 'not-run' || outcome.kind === 'unknown' || outcome.kind === 'failed' ? log.warn : log.info
    write('job-end', {
      job: state.job.key,
      queue: state.job.queue.name,
      outcome: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : undefined,
      tookMs: Math.round(tookMs),
      tasks: state.tasks.length
    })
    options.onJobEnd(state.job, outcome, tookMs)
    for (const answer of state.answers.splice(0)) answer(outcome)
  }

  const stop = (task: jobs.TaskState): void => {
    if (jobs.isUnordered(task)) task.phase = 'done'
    if (task.phase !== 'ordered') return
    task.phase = 'stopping'
    send(task.agent!.link, { kind: 'stop', tasks: [task.task.id] })
  }

  /** The task is on no worker any more; it waits again if its job goes on. */
  const settle = (task: jobs.TaskState): void => {
    const id = task.task.id
    if (task.agent) agents.settle(task.agent, id)
    if (task.agent?.tasks.delete(id)) jobs.count(task, task.agent, -1)
    unsettled.delete(id)
    task.phase = task.job.ended ? 'done' : 'waiting'
    if (!task.job.ended) waiting.add(task.job)
    placeSoon()
  }

  const onEnded = (agent: fleet.Agent, message: runs.EndedMessage): void => {
    const task = unsettled.get(message.task)
    if (!task || task.agent?.name !== agent.name) return
    const { job } = task
    const queue = job.job.queue.name
    settle(task)
    if (message.end === 'unstarted') {
      if (message.reason === 'unwell') judge(task, agent, true, message.ranMs)
      options.onRefusedOrder(message.reason ?? 'unknown')
      log.info('order-refused', { task: task.task.id, agent: agent.name, reason: message.reason })
      if (message.reason !== 'no-room') task.avoid.add(agent.name)
      return
    }
    job.mayHaveStarted = true
    if (message.end === 'done') {
      judge(task, agent, false, message.ranMs)
      estimates.learn(queue, task.task, message.ranMs)
      if (job.ended) return
      task.phase = 'done'
      if (jobs.complete(job, task)) end(job, { kind: 'completed' })
      return
    }
    if (!job.ended) {
      log.info('task-again', { task: task.task.id, agent: agent.name, end: message.end, failures: task.failures })
    }
    if (message.end === 'failed') onFailed(task, agent, message.ranMs)
  }

  const onFailed = (task: jobs.TaskState, agent: fleet.Agent, ranMs: number): void => {
    judge(task, agent, true, ranMs)
    task.failures++
    task.avoid.add(agent.name)
    if (task.failures >= task.job.job.queue.maxAttempts) end(task.job, { kind: 'failed', task: task.task.id })
  }

  const judge = ({ job, task }: jobs.TaskState, agent: fleet.Agent, failed: boolean, ranMs: number): void => {
    const queue = job.job.queue.name
    const result = {
      type: queue as unknown as Parameters<typeof agents.health.peerFailures>[1],
      failed,
      runMs: estimates.scaled(task, ranMs),
      runTimes: estimates.runTimes(queue)
    }
    agent.health.running = agent.tasks.size
    const event = agents.health.record(agent.health, result, timers.monotonic())
    if (event) log.warn(event, { agent: agent.name, queue })
  }

  const placeSoon = (): void => {
    if (placing) return
    placing = true
    timers.after(0, () => {
      placing = false
      place()
    })
  }
  /** Starts what fits on one agent or on any, the most urgent jobs first. */
  const place = (only?: fleet.Agent): void => {
    if (waiting.size === 0) return
    const batch: Batch = new Map()
    const candidates = only ? [only] : [...agents.all()].filter(({ free }) => free.millicores > 0)
    const inOrder = [...waiting].sort(jobs.compareUrgency)
    for (const job of inOrder) placeJob(job, { zone, now: timers.monotonic(), candidates }, batch)
    for (const [agent, tasks] of batch) sendOrders(agent, tasks)
  }
  const placeJob = (job: jobs.JobState, situation: choice.Situation, batch: Batch): void => {
    let left = 0
    for (const task of job.tasks) {
      if (task.phase !== 'waiting') continue
      const agent = unsettled.has(task.task.id) ? undefined : choice.choose(agents, task, situation)
      if (agent) order(task, agent, batch)
      else left++
    }
    if (left === 0) waiting.delete(job)
  }
  const order = (task: jobs.TaskState, agent: fleet.Agent, batch: Batch): void => {
    const tasks = batch.get(agent)
    if (tasks) tasks.push(task)
    else {
      agent.sequence++
      batch.set(agent, [task])
    }
    Object.assign(task, { phase: 'ordered', agent, orders: task.orders + 1, orderedAt: timers.monotonic() })
    agent.tasks.set(task.task.id, task)
    jobs.count(task, agent, 1)
    agents.order(agent, task.task.id, task.task.amount)
    unsettled.set(task.task.id, task)
  }
  const sendOrders = (agent: fleet.Agent, tasks: jobs.TaskState[]): void => {
    const bySpec = new Map<string, jobs.TaskState[]>()
    for (const task of tasks) {
      const spec = task.job.job.spec
      bySpec.set(spec, [...bySpec.get(spec) ?? [], task])
    }
    for (const [spec, group] of bySpec) {
      const wanted = group.map(({ task, orders }) => ({ task: task.id, run: orders, amount: task.amount }))
      send(agent.link, { kind: 'start', sequence: agent.sequence, spec, tasks: wanted })
      for (let from = 0; from < group.length; from += MAX_LOGGED_TASKS) {
        const ids = group.slice(from, from + MAX_LOGGED_TASKS).map(({ task }) => task.id).join(',')
        log.info('order', { tasks: ids, agent: agent.name, freeMillicores: agent.free.millicores })
      }
    }
  }

  const giveUp = (job: jobs.JobState, now: number): void => {
    if (now >= job.patienceEnds - ANSWER_MARGIN_MS) {
      return jobs.hasBegun(job) ? end(job, { kind: 'unknown', reason: 'patience' }) : refuse(job, 'overload')
    }
    if (now > job.latestStart && !jobs.hasBegun(job)) refuse(job, 'overload')
  }
  const refuse = (job: jobs.JobState, reason: attended.NotRunReason): void =>
    end(job, { kind: 'not-run', reason, retryAfterMs: RETRY_AFTER_MS })

  const reviewRun = (task: jobs.TaskState, agent: fleet.Agent, ranMs: number): void => {
    const expectedMs = estimateOf(task)
    if (ranMs <= OVERDUE_FACTOR * expectedMs + MIN_OVERDUE_MS) return
    log.warn('run-overdue', { task: task.task.id, agent: agent.name, expectedMs: Math.round(expectedMs) })
    judge(task, agent, true, ranMs)
    task.avoid.add(agent.name)
    // It has most likely run, even if its agent cannot tell any more.
    task.job.mayHaveStarted = true
    stop(task)
  }

  const review = (): void => {
    cancelReview = timers.after(REVIEW_MS, review)
    const now = timers.monotonic()
    for (const job of [...byKey.values()]) giveUp(job, now)
    for (const task of [...unsettled.values()]) {
      if (task.phase === 'lost' && now >= task.settledAt) {
        log.info('task-again', { task: task.task.id, agent: task.agent?.name, end: 'lost' })
        settle(task)
      } else if (task.phase === 'ordered') reviewRun(task, task.agent!, now - task.orderedAt)
    }
    place()
    wants.announce(agents.all(), waiting)
  }
  let cancelReview = timers.after(REVIEW_MS, review)

  const workOf = (job: jobs.JobState): number => job.tasks.reduce((sum, task) =>
    jobs.isUnordered(task) ? sum + task.task.amount.millicores * estimateOf(task) : sum, 0)
  /** Part of the service's workers that is this entry's when all entries are under load. */
  const ownShare = (service: string): number => {
    let total = 0
    for (const { worker, sharers } of agents.all()) {
      if (worker?.service === service) total += worker.capacity.millicores / sharers
    }
    return total
  }
  const canEverRun = (job: attended.Job): boolean => {
    const workers = [...agents.all()].flatMap(({ worker }) => worker?.service === job.queue.service ? [worker] : [])
    if (workers.length === 0) return true
    return job.steps.every(({ tasks }) => tasks.every((task) => workers.some((worker) =>
      runs.fits(task.amount, worker.capacity) && (!task.label || worker.labels.includes(task.label)))))
  }
  const submit = (job: attended.Job, answer: attended.Answer): void => {
    const now = timers.monotonic()
    const known = byKey.get(job.key)
    if (known) {
      known.answers.push(answer)
      return
    }
    const state = jobs.create(job, now, (task) => estimates.of(job.queue.name, task), answer)
    log.info('job', { job: job.key, queue: job.queue.name, tasks: state.tasks.length, patienceMs: job.patienceMs })
    byKey.set(job.key, state)
    if (!canEverRun(job)) return refuse(state, 'never-runnable')
    if (drainsBy !== undefined && now + state.chainMs > drainsBy) return refuse(state, 'draining')
    const backlog = { waiting, workOf, millicores: ownShare(job.queue.service) }
    const refused = now - latestLinkAt > SETTLING_MS ? admission.refusals(state, backlog, now) : []
    for (const job of refused) refuse(job, 'overload')
    if (state.ended) return
    waiting.add(state)
    place()
  }

  const lose = (task: jobs.TaskState, settledAt: number): void => {
    task.phase = 'lost'
    task.settledAt = settledAt
    // What the agent has said of a start may have been lost with it.
    task.job.mayHaveStarted = true
  }
  return {
    submit,
    abandon: (key, answer) => {
      const job = byKey.get(key)
      if (!job?.answers.includes(answer)) return
      job.answers = job.answers.filter((other) => other !== answer)
      if (job.answers.length === 0) end(job, { kind: 'unknown', reason: 'caller-gone' })
    },
    cancel: (key) => {
      const job = byKey.get(key)
      if (job) end(job, { kind: 'cancelled' })
      return job !== undefined
    },
    state: (key) => {
      const job = byKey.get(key)
      return job && (jobs.hasBegun(job) ? 'running' : 'pending')
    },
    waiting: () => {
      const counts = new Map<attended.QueueName, number>()
      for (const job of byKey.values()) {
        const { name } = job.job.queue
        if (!jobs.hasBegun(job)) counts.set(name, (counts.get(name) ?? 0) + 1)
      }
      return counts
    },
    agentUp: (link, name, life) => {
      latestLinkAt = timers.monotonic()
      agents.up(link, name, life)
    },
    agentDown: (link, trustedUntil) => {
      const agent = agents.down(link)
      if (!agent) return
      wants.forget(agent)
      for (const task of agent.tasks.values()) lose(task, trustedUntil + lapseAfterMs)
    },
    receive: (link, message) => {
      const agent = agents.get(link)
      if (!agent) return
      if (message.kind === 'room') {
        agents.update(agent, message)
        if (message.worker && !agent.hasTold) settleFormerLife(agent)
        agent.hasTold ||= message.worker !== undefined
        place(agent)
        return wants.answer(agent, waiting)
      }
      onEnded(agent, message)
    },
    drain: (remainingMs) => { drainsBy = timers.monotonic() + remainingMs },
    leave: () => {
      drainsBy = -Infinity
      for (const job of [...byKey.values()]) {
        if (jobs.hasBegun(job)) end(job, { kind: 'unknown', reason: 'leaving' })
        else refuse(job, 'draining')
      }
    },
    stop: () => cancelReview()
  }

  /** An agent that has started again has seen its worker without runs before it says that there is room. */
  function settleFormerLife ({ name, life }: fleet.Agent): void {
    for (const task of [...unsettled.values()]) {
      if (task.phase === 'lost' && task.agent?.name === name && task.agent.life !== life) settle(task)
    }
  }
}
