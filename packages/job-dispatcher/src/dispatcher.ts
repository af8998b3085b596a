import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'
import * as admission from './admission.ts'
import * as fleet from './agents.ts'
import * as agentSelection from './agent-selection.ts'
import * as begunJobs from './begun-jobs.ts'
import * as runEstimates from './estimates.ts'
import * as evacuatedJobReviews from './evacuated-jobs.ts'
import * as fleetDiscovery from './fleet-discovery.ts'
import * as heldJobs from './held-jobs.ts'
import type * as interfaces from './interface.ts'
import * as jobEndLog from './job-end-log.ts'
import * as jobs from './jobs.ts'
import * as demand from './demand.ts'
import * as rackWait from './rack-wait.ts'
import * as rackWaits from './rack-waits.ts'
import * as refusals from './refusals.ts'
import type * as retryTimes from './retry-times.ts'
import * as reviewTimer from './review-timer.ts'
import * as runHealths from './run-health.ts'
import * as startOrders from './start-orders.ts'
import * as waitingJobs from './waiting-jobs.ts'

export interface Options {
  timers: clock.Timers
  log: log.Log
  /** Zone of this entry; its workers are preferred to equally free ones in other zones. */
  zone: string
  /** Longest time in ms that a run may continue after its agent stopped acting for this entry. */
  lapseAfterMs: number
  send (link: number, message: runs.ToAgent): void
  /** Called once for each job that ends. */
  onJobEnd (job: interfaces.Job, outcome: interfaces.Outcome, tookMs: number): void
  /** Expected run time of a task away from its data over that near it. */
  farFactor?: number
  /** Called for each order that did not start its task. */
  onRefusedOrder (reason: string): void
  /** Called for each wait of a task for its rack that ends. */
  onRackWait? (outcome: rackWaits.WaitOutcome): void
  /** Decides on waits for racks; other policies are for comparisons. */
  waitPolicy?: rackWait.Policy
  /** Called when a worker leaves or returns to rotation, with the event's name in the log. */
  onRotation? (event: string): void
  /** Called for each run that is late, and for each one that is then stopped. */
  onLateRun? (kind: runHealths.LateRun): void
  /** Called for each job that admission refuses. */
  onRefusal? (cause: admission.Cause): void
  /** Computes the times after which refused callers retry; other ones are for comparisons. */
  retryTimes?: retryTimes.RetryTimes
}

/** Tasks ordered in one pass, by agent. */
type Batch = Map<fleet.Agent, jobs.TaskState[]>

export const create = (options: Options): interfaces.Dispatcher => {
  const { timers, log, zone, lapseAfterMs, send } = options
  const agents = fleet.create()
  const { waitPolicy: policy = new rackWait.ByCost() } = options
  const waits = rackWaits.create({ timers, log, onRackWait: options.onRackWait ?? (() => {}) })
  const estimates = runEstimates.create(options)
  const runHealth = runHealths.create({
    timers,
    log,
    agents,
    estimates,
    onRotation: (event) => options.onRotation?.(event),
    onLateRun: (kind) => options.onLateRun?.(kind)
  })
  const demandNotifier = demand.create({ timers, send })
  const byKey = new Map<runs.JobKey, jobs.JobState>()
  /** Tasks that may be on a worker, including those of ended jobs. */
  const outstanding = new Map<runs.TaskId, jobs.TaskState>()
  const waiting = waitingJobs.create()
  const begun = begunJobs.create()
  const held = heldJobs.create()
  const discovery = fleetDiscovery.create(timers)
  let drainDeadline: number | undefined
  let placementScheduled = false
  let lastOrder = 0

  /** Expected run time on the agent's worker, or on a typical one near the task's data. */
  const expectedRunMs = ({ job, task }: jobs.TaskState, agent?: fleet.Agent, far = false): number => {
    const place = agent?.worker && { worker: agent.worker, agent: agent.name, far }
    return estimates.expectedRunMs(job.job.queue.name, task, place)
  }

  const admissions = admission.create({ agents, waiting, expectedRunMs, knowsFleet: () => !discovery.isIncomplete() })

  const endJob = (state: jobs.JobState, outcome: interfaces.Outcome, inputs?: admission.Inputs): void => {
    if (state.ended) return
    state.ended = true
    if (jobs.hasBegun(state)) begun.add(state.job.key)
    waiting.delete(state)
    if (byKey.get(state.job.key) === state) byKey.delete(state.job.key)
    for (const task of state.tasks) stopTask(task)
    runHealth.jobEnded(state)
    held.revise(state)
    const tookMs = timers.monotonic() - state.arrivedAt
    jobEndLog.write(log, state, outcome, tookMs, inputs)
    options.onJobEnd(state.job, outcome, tookMs)
    for (const answer of state.answers.splice(0)) answer(outcome)
  }

  const stopTask = (task: jobs.TaskState): void => {
    waits.end(task, 'job-ended')
    if (jobs.isUnassigned(task)) task.phase = 'done'
    if (task.phase !== 'ordered') return
    task.phase = 'stopping'
    send(task.agent!.link, { kind: 'stop', tasks: [task.task.id] })
  }

  /** Marks the task as being on no worker; queues it again unless its job has ended. */
  const releaseTask = (task: jobs.TaskState): void => {
    const id = task.task.id
    if (task.agent) agents.removeOrder(task.agent, id)
    if (task.agent?.tasks.delete(id)) jobs.adjustPlaced(task, task.agent, -1)
    if (outstanding.delete(id)) task.job.outstanding--
    held.revise(task.job)
    task.heldBy = undefined
    task.phase = task.job.ended ? 'done' : 'waiting'
    if (!task.job.ended) waiting.add(task.job)
    schedulePlacement()
  }

  const onEnded = (agent: fleet.Agent, message: runs.EndedMessage): void => {
    const task = outstanding.get(message.task)
    if (!task || task.agent?.name !== agent.name || task.order !== message.order) return
    const { job } = task
    releaseTask(task)
    if (message.end === 'unstarted') {
      if (message.reason === 'unwell') runHealth.failed(task, agent, message.ranMs)
      // A run that an earlier attempt has ordered through another entry.
      if (message.reason === 'still-running' || message.reason === 'earlier-run') job.mayHaveStarted = true
      if (message.reason === 'still-running') {
        Object.assign(task, { heldBy: agent.name, heldUntil: timers.monotonic() + lapseAfterMs })
      }
      options.onRefusedOrder(message.reason ?? 'unknown')
      log.info('order-refused', { task: task.task.id, agent: agent.name, reason: message.reason })
      if (message.reason === 'evacuated') {
        agents.evacuations.report(agent, true)
        scheduleEvacuatedReview()
      } else if (message.reason !== 'no-room') task.avoidedAgents.add(agent.name)
      return
    }
    job.mayHaveStarted = true
    if (message.end === 'done') {
      runHealth.done(task, agent, message.ranMs)
      if (job.ended) return
      task.phase = 'done'
      if (jobs.complete(job, task)) endJob(job, { kind: 'completed' })
      return
    }
    if (!job.ended) {
      log.info('task-again', { task: task.task.id, agent: agent.name, end: message.end, failures: task.failures })
    }
    if (message.end === 'failed') onFailed(task, agent, message.ranMs)
  }

  const onFailed = (task: jobs.TaskState, agent: fleet.Agent, ranMs: number): void => {
    runHealth.failed(task, agent, ranMs)
    task.failures++
    task.avoidedAgents.add(agent.name)
    if (task.failures >= task.job.job.queue.maxAttempts) endJob(task.job, { kind: 'failed', task: task.task.id })
  }

  const schedulePlacement = (): void => {
    if (placementScheduled) return
    placementScheduled = true
    timers.after(0, () => {
      placementScheduled = false
      reviewEvacuated()
      place()
    })
  }
  const reviewEvacuated = (): void => { if (evacuatedJobs.review()) reassess() }
  const scheduleEvacuatedReview = (): void => {
    evacuatedJobs.mayHaveChanged()
    schedulePlacement()
  }
  /** Places waiting tasks on the given agent or on any, the most urgent jobs first. */
  const place = (onlyAgent?: fleet.Agent): void => {
    if (waiting.size === 0) return
    const batch: Batch = new Map()
    const candidates = onlyAgent ? [onlyAgent] : agents.inService().filter(({ free }) => free.millicores > 0)
    if (candidates.every(({ free }) => free.millicores <= 0)) return
    const situation: agentSelection.SelectionContext = {
      ...agentSelection.createPass(timers.monotonic()), zone, candidates, policy, waits, expectedRunMs
    }
    for (const job of [...waiting]) {
      // A report of one worker concerns only the jobs whose tasks fit it.
      if (!onlyAgent || jobs.fitsSome(job, onlyAgent.free)) placeJob(job, situation, batch)
    }
    for (const [agent, tasks] of batch) startOrders.send(options, agent, tasks)
  }
  const placeJob = (job: jobs.JobState, situation: agentSelection.SelectionContext, batch: Batch): void => {
    const unplaced: jobs.TaskState[] = []
    for (const task of job.tasks) {
      if (task.phase !== 'waiting') continue
      const choice = outstanding.has(task.task.id) ? undefined : agentSelection.chooseAgent(agents, task, situation)
      waits.apply(task, choice)
      if (choice && !rackWait.isWait(choice)) order(task, choice, batch)
      else unplaced.push(task)
    }
    jobs.noteAwaitedRacks(job, unplaced)
    if (unplaced.length === 0) waiting.delete(job)
  }
  const order = (task: jobs.TaskState, agent: fleet.Agent, batch: Batch): void => {
    const tasks = batch.get(agent)
    if (tasks) tasks.push(task)
    else {
      agent.sequence++
      batch.set(agent, [task])
    }
    const orderedAt = timers.monotonic()
    Object.assign(task, { phase: 'ordered', agent, orders: task.orders + 1, order: ++lastOrder, orderedAt })
    agent.tasks.set(task.task.id, task)
    jobs.setPlace(task, agent)
    jobs.adjustPlaced(task, agent, 1)
    agents.order(agent, task.task.id, task.task.amount)
    outstanding.set(task.task.id, task)
    task.job.outstanding++
  }
  const endIfLate = (job: jobs.JobState, now: number): void => {
    if (now >= job.callerDeadline - jobs.ANSWER_MARGIN_MS) {
      if (jobs.hasBegun(job)) endJob(job, { kind: 'unknown', reason: 'patience' })
      else refuseForOverload([admissions.expired(job, now)])
    } else if (now > job.latestStart && !jobs.hasBegun(job) && !mayStillBeServed(job, now)) {
      refuseForOverload([admissions.expired(job, now)])
    }
  }
  /** While agents are about to link, a job may start late as long as its caller still waits for the result. */
  const mayStillBeServed = ({ callerDeadline, criticalPathMs }: jobs.JobState, now: number): boolean =>
    discovery.isIncomplete() && now + criticalPathMs < callerDeadline - jobs.ANSWER_MARGIN_MS
  const { refuse, refuseForOverload } = refusals.create({
    timers, begun, retries: options.retryTimes, endJob, onRefusal: (cause) => options.onRefusal?.(cause)
  })
  const evacuatedJobs = evacuatedJobReviews.create({ agents, discovery, openJobs: () => byKey.values(), refuse })
  /** Judges the waiting jobs again; called whenever usable capacity has fallen. */
  const reassess = (): void => refuseForOverload(admissions.reassess(timers.monotonic()))

  const review = (): void => {
    const now = timers.monotonic()
    reviewEvacuated()
    for (const job of [...byKey.values()]) endIfLate(job, now)
    for (const task of [...outstanding.values()]) {
      if (task.phase === 'lost' && now >= task.mayRunUntil) {
        log.info('task-again', { task: task.task.id, agent: task.agent?.name, end: 'lost' })
        releaseTask(task)
      } else if (task.phase === 'ordered') {
        const answerBy = task.job.callerDeadline - jobs.ANSWER_MARGIN_MS
        if (runHealth.isOverdue(task, task.agent!, answerBy)) stopTask(task)
      }
    }
    place()
    demandNotifier.announce(agents.inService(), waiting)
  }
  const reviews = reviewTimer.create({ timers, review, isWaiting: () => waiting.size > 0 })

  const join = (key: runs.JobKey, answer: interfaces.Answer, callerTimeoutMs: number): boolean => {
    const job = byKey.get(key)
    if (!job) return false
    job.answers.push(answer)
    job.callerDeadline = Math.max(job.callerDeadline, timers.monotonic() + callerTimeoutMs)
    return true
  }
  const submit = (job: interfaces.Job, answer: interfaces.Answer): void => {
    const now = timers.monotonic()
    if (join(job.key, answer, job.callerTimeoutMs)) return
    const state = jobs.create(job, now, (task) => estimates.expectedRunMs(job.queue.name, task), answer)
    log.info('job', { job: job.key, queue: job.queue.name, tasks: state.tasks.length, patienceMs: job.callerTimeoutMs })
    byKey.set(job.key, state)
    held.add(state)
    for (const step of job.steps) estimates.addStep(step.tasks)
    const limit = evacuatedJobs.limitOf(job)
    if (limit) return refuse(state, limit)
    if (drainDeadline !== undefined && now + state.criticalPathMs > drainDeadline) return refuse(state, 'draining')
    waiting.add(state)
    refuseForOverload(admissions.admit(state, now))
    if (state.ended) return
    place()
    reviews.hasten()
  }

  const markLost = (task: jobs.TaskState, mayRunUntil: number): void => {
    task.phase = 'lost'
    task.mayRunUntil = mayRunUntil
    // The agent's report that the run started may have been lost with the link.
    task.job.mayHaveStarted = true
  }
  return {
    submit,
    join,
    holds: held.has,
    heldKeys: held.keys,
    relinquish: (key) => {
      const job = byKey.get(key)
      if (job) endJob(job, { kind: 'unknown', reason: 'taken-over' })
    },
    abandon: (key, answer) => {
      const job = byKey.get(key)
      if (!job?.answers.includes(answer)) return
      job.answers = job.answers.filter((other) => other !== answer)
      if (job.answers.length === 0) endJob(job, { kind: 'unknown', reason: 'caller-gone' })
    },
    cancel: (key) => {
      const job = byKey.get(key)
      if (job) endJob(job, { kind: 'cancelled' })
      return job !== undefined
    },
    state: (key) => {
      const job = byKey.get(key)
      return job && (jobs.hasBegun(job) ? 'running' : 'pending')
    },
    waiting: () => {
      const counts = new Map<interfaces.QueueName, number>()
      for (const job of byKey.values()) {
        const { name } = job.job.queue
        if (!jobs.hasBegun(job)) counts.set(name, (counts.get(name) ?? 0) + 1)
      }
      return counts
    },
    agentUp: (link, name, incarnation) => {
      discovery.agentLinked()
      agents.up(link, name, incarnation)
    },
    agentDown: (link, trustedUntil) => {
      const agent = agents.down(link, timers.monotonic())
      if (!agent) return
      for (const name of agents.forgetGone(timers.monotonic())) estimates.forget(name)
      demandNotifier.forget(agent)
      const mayRunUntil = trustedUntil + lapseAfterMs
      const waitMs = Math.round(mayRunUntil - timers.monotonic())
      const ids = [...agent.tasks.keys()]
      if (ids.length > 0) log.info('tasks-lost', { tasks: ids.slice(0, startOrders.MAX_LOGGED_TASKS).join(','), agent: agent.name, count: ids.length, waitMs })
      for (const task of agent.tasks.values()) markLost(task, mayRunUntil)
      reassess()
    },
    receive: (link, message) => {
      const agent = agents.get(link)
      if (!agent) return
      if (message.kind === 'room') {
        const wasInService = !agents.evacuations.covers(agent)
        const wasUsable = agent.worker?.leaving === false
        agents.update(agent, message)
        if (wasUsable && agent.worker?.leaving !== false) reassess()
        if (agents.evacuations.covers(agent) === wasInService) scheduleEvacuatedReview()
        if (message.worker && !agent.hasReportedWorker) releaseFormerIncarnation(agent)
        agent.hasReportedWorker ||= message.worker !== undefined
        place(agent)
        return demandNotifier.revise(agent, waiting)
      }
      onEnded(agent, message)
    },
    evacuate: (zones) => {
      agents.evacuations.replace(zones, agents.all())
      evacuatedJobs.mayHaveChanged()
      reviewEvacuated()
      place()
    },
    suspended: (uncountedMs) => {
      const now = timers.monotonic()
      for (const job of [...byKey.values()]) {
        jobs.advance(job, uncountedMs)
        endIfLate(job, now)
      }
      reassess()
    },
    drain: (remainingMs) => { drainDeadline = timers.monotonic() + remainingMs },
    leave: () => {
      drainDeadline = -Infinity
      for (const job of [...byKey.values()]) {
        if (jobs.hasBegun(job)) endJob(job, { kind: 'unknown', reason: 'leaving' })
        else refuse(job, 'draining')
      }
    },
    stop: () => reviews.stop()
  }

  /** Releases lost tasks of the agent's former incarnation: it reports its worker only once no earlier run is left. */
  function releaseFormerIncarnation ({ name, incarnation }: fleet.Agent): void {
    for (const task of [...outstanding.values()]) {
      if (task.phase === 'lost' && task.agent?.name === name && task.agent.incarnation !== incarnation) releaseTask(task)
    }
  }
}
