import TinyQueue from 'tinyqueue'
import type * as random from '@mustarddeck/random'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as admissions from './admission.ts'
import * as floodControl from './floods.ts'
import * as workerHealth from './health.ts'
import * as hosts from './hosts.ts'
import * as placement from './interface.ts'
import * as policies from './policy.ts'
import * as queueing from './queues.ts'
import * as teamQuotas from './quotas.ts'
import * as demandReports from './demand-reports.ts'
import * as classReserves from './reserves.ts'

interface RunningTask {
  host: hosts.Host
  flow: queueing.Flow
  resources: types.Resources
  /** Expected run time in ms that the flow was charged at dispatch; corrected when the task ends. */
  chargedMs: number
}

export interface Options {
  random: random.Random
  /** Position among the entries, by which team quotas are divided; the default is a single entry. */
  position?: placement.Position
  policy?: Partial<policies.Policy>
}

/** Wait limit of a job that sets none, as a multiple of its class's target wait. */
const DEFAULT_MAX_WAIT_FACTOR = 10

/** Largest expected wait in ms for the entry's own slots before it requests more, whatever the class's target. */
const MAX_REPORT_THRESHOLD_MS = 8000

/** Time in ms after a recall for another entry's flood for which this entry acts as if it had a flood itself. */
const FLOOD_RECALL_EFFECT_MS = 2000

const taskKey = (job: types.JobId, index: number): string => `${job}/${index}`

export const create = ({ random, position = { index: 0, count: 1 }, policy }: Options): placement.Placement =>
  new Dispatcher(random, position, { ...policies.DEFAULT, ...policy })

class Dispatcher extends placement.Placement {
  private readonly health: workerHealth.Health
  private readonly hosts: hosts.Hosts
  private readonly queues: queueing.Queues
  private readonly quotas: teamQuotas.Quotas
  private readonly admission: admissions.Admission
  private readonly floods: floodControl.Floods
  private readonly reserves: classReserves.Reserves
  private readonly reporter: demandReports.Reports
  private readonly jobs = new Map<types.JobId, queueing.Job>()
  private readonly running = new Map<string, RunningTask>()
  /** Jobs by the time at which they become overdue; started and withdrawn jobs are dropped when they reach the head. */
  private readonly jobsByDueTime = new TinyQueue<queueing.Job>([], (left, right) => left.dueAt - right.dueAt)
  private classes = new Map<number, types.PriorityClass>()
  private teams = new Set<types.TeamName>()
  /** Time in ms of the latest call of `next`. */
  private latestTime = 0
  private recalledForFloodUntil = 0
  private newDecisions: placement.DecisionEvent[] = []

  constructor (
    random: random.Random, private readonly position: placement.Position, private readonly policy: policies.Policy
  ) {
    super()
    this.health = workerHealth.create({ enabled: policy.health })
    this.hosts = hosts.create({ random, health: this.health })
    this.queues = queueing.create(policy)
    this.quotas = teamQuotas.create(position)
    const components = { hosts: this.hosts, queues: this.queues, quotas: this.quotas, capacity: () => this.capacity() }
    this.admission = admissions.create(components)
    this.floods = floodControl.create(this.queues)
    this.reserves = classReserves.create({
      queues: this.queues,
      policy,
      capacity: () => this.capacity(),
      targetWait: (level) => this.targetWait(level),
      hasFlood: () => this.hasFlood()
    })
    this.reporter = demandReports.create({
      ...components,
      waitingByLevel: () => this.waitingByLevel(),
      isTrialDue: (host, now) => this.health.isTrialDue(host.health, now),
      evenShare: () => this.hosts.slots() / this.position.count,
      reportThresholdMs: (level) => Math.min(MAX_REPORT_THRESHOLD_MS, this.targetWait(level) * policy.reportWaitRatio),
      hasFlood: () => this.hasFlood()
    })
  }

  override configure (rules: types.Rules): void {
    this.reserves.configure(rules)
    this.classes = new Map(rules.priorityClasses.map((priorityClass) => [priorityClass.rank, priorityClass]))
    this.teams = new Set(rules.teams.map((team) => team.name))
    this.queues.configure(rules)
    this.quotas.configure(rules)
  }

  override workerConnected (link: types.LinkId, worker: placement.Worker, now: number): void {
    this.hosts.add(link, worker)
    this.admission.fleetChanged(now)
  }

  override workerRegistered (link: types.LinkId): void {
    const host = this.hosts.get(link)
    if (host) host.worker = { ...host.worker, registered: true }
  }

  override workerDisconnected (link: types.LinkId, now: number): void {
    this.hosts.remove(link)
    this.admission.fleetChanged(now)
  }

  override granted (link: types.LinkId, slots: number): void {
    const host = this.hosts.get(link)
    if (!host) return
    host.requested = Math.max(0, host.requested - slots)
    this.hosts.grant(host, slots)
  }

  override recalled (link: types.LinkId, slots: number, flood = false): number {
    const host = this.hosts.get(link)
    if (flood) this.recalledForFloodUntil = this.latestTime + FLOOD_RECALL_EFFECT_MS
    if (!host) return 0
    const spare = this.hosts.unused() - this.reserves.retained()
    const count = Math.max(0, Math.min(slots, host.granted, spare))
    this.hosts.grant(host, -count)
    return count
  }

  override admit (waiting: placement.WaitingJob, now: number): placement.Admission {
    const type = this.queues.find(waiting.type)
    if (!type) return { kind: 'refused', reason: 'unknown-task-type' }
    if (!this.teams.has(waiting.team)) return { kind: 'refused', reason: 'unknown-team' }
    this.queues.addLoad(type, waiting.tasks, this.capacity(), now)
    this.updateFloods(now)
    const targetWaitMs = this.classes.get(type.rank)?.targetWaitMs ?? Infinity
    const refusal = this.admission.check(waiting, type, targetWaitMs, now)
    if (refusal) return refusal
    const dueAt = now + (waiting.maxWaitMs ?? targetWaitMs * DEFAULT_MAX_WAIT_FACTOR)
    const job = this.queues.add(waiting, type, dueAt, now)
    this.jobs.set(waiting.id, job)
    if (dueAt < Infinity) this.jobsByDueTime.push(job)
    return { kind: 'admitted' }
  }

  override next (now: number): placement.Dispatch | undefined {
    this.latestTime = now
    this.quotas.observe(this.hosts.held() / Math.max(1, this.hosts.slots()), now)
    if (this.hosts.unused() === 0 || this.queues.active.size === 0) return undefined
    const lowest = this.queues.levels() - 1
    for (let level = 0; level <= lowest; level++) {
      if (this.hosts.unused() <= this.reserves.reservedAgainst(level)) return undefined
      const dispatch = this.nextAtLevel(level, now)
      if (dispatch) return dispatch
    }
    return undefined
  }

  override finished ({ link, job, index, end, runMs, renewed }: placement.EndedTask, now: number): void {
    const task = this.release(job, index)
    if (task && end !== 'lost') this.recordOutcome(task, end, runMs, now)
    const host = this.hosts.get(link)
    if (host && renewed) this.hosts.grant(host, 1)
    const jobState = this.jobs.get(job)
    if (task && jobState && --jobState.unfinished === 0) this.jobs.delete(job)
  }

  override rejected (key: placement.DispatchKey, reason: messages.RejectionReason, now: number): void {
    const host = this.hosts.get(key.link)
    const task = this.running.get(taskKey(key.job, key.index))
    if (host && reason === 'no-resources') this.hosts.backOffResources(host, now)
    if (host && (reason === 'memory-limit' || reason === 'backend-unreachable')) this.hosts.backOff(host, now)
    if (host && reason === 'unregistered') host.worker = { ...host.worker, registered: false }
    if (task && reason === 'backend-unreachable') {
      this.updateHealth(task.host, { type: task.flow.type.rules.name, failed: true, runMs: 0 }, now)
    }
    this.requeue(key.job, key.index)
  }

  override requeue (id: types.JobId, index: number): void {
    const task = this.release(id, index)
    if (task) this.queues.adjustCharge(task.flow, task.chargedMs, 0)
    const job = this.jobs.get(id)
    if (!job || job.withdrawn || job.requeued.includes(index)) return
    job.requeued.push(index)
    this.queues.enqueue(job, 1)
  }

  override withdraw (id: types.JobId): void {
    const job = this.jobs.get(id)
    if (job) this.queues.withdraw(job)
    this.jobs.delete(id)
  }

  override overdue (now: number): types.JobId[] {
    const ids: types.JobId[] = []
    for (let job = this.firstDue(); job && job.dueAt <= now; job = this.firstDue()) {
      ids.push(job.waiting.id)
      this.withdraw(job.waiting.id)
    }
    return ids
  }

  override demandReports (now: number): placement.DemandReport[] {
    return this.reporter.due(now)
  }

  override demand (link: types.LinkId): number[] {
    const host = this.hosts.get(link)
    return host ? this.reporter.demandOf(host) : []
  }

  override backlog (): placement.Backlog[] {
    const types = [...this.queues.all()].filter(({ waiting, running }) => waiting + running > 0)
    return types.map(({ rules, waiting, running, level, rank }) => ({
      type: rules.name, priorityClass: rules.priorityClass, waiting, running, flooding: level !== rank
    })).sort((one, other) => one.type < other.type ? -1 : 1)
  }

  override waiting (): number {
    let waiting = 0
    for (const type of this.queues.active) waiting += type.waiting
    return waiting
  }

  override decisions (): placement.DecisionEvent[] {
    const decisions = this.newDecisions
    this.newDecisions = []
    return decisions
  }

  override deadline (): number | undefined {
    const wakeAt = this.queues.active.size > 0 ? this.hosts.nextBackoffEnd(this.latestTime) : undefined
    const at = Math.min(this.firstDue()?.dueAt ?? Infinity, this.reporter.deadline() ?? Infinity, wakeAt ?? Infinity)
    return at === Infinity ? undefined : at
  }

  /** Slots that this entry can rely on: those that it holds, or an even share of the fleet's slots if larger. */
  private capacity (): number {
    return Math.max(1, this.hosts.held(), this.hosts.slots() / this.position.count)
  }

  /** Target wait in ms of a level; the flood level uses that of the least urgent class. */
  private targetWait (level: number): number {
    return (this.classes.get(level) ?? this.classes.get(level - 1))?.targetWaitMs ?? Infinity
  }

  private firstDue (): queueing.Job | undefined {
    for (let job = this.jobsByDueTime.peek(); job; job = this.jobsByDueTime.peek()) {
      if (!job.started && !job.withdrawn) return job
      this.jobsByDueTime.pop()
    }
    return undefined
  }

  /** True while a flood, submitted to this entry or another one, takes all slots that other work leaves free. */
  private hasFlood (): boolean {
    return this.floods.count() > 0 || this.latestTime < this.recalledForFloodUntil
  }

  private nextAtLevel (level: number, now: number): placement.Dispatch | undefined {
    const skipped = new Set<unknown>()
    const types = [...this.queues.active].filter((type) => type.level === level)
    for (let type = queueing.minByVirtualTime(types, skipped); type; type = queueing.minByVirtualTime(types, skipped)) {
      for (
        let flow = queueing.minByVirtualTime(type.active, skipped); flow;
        flow = queueing.minByVirtualTime(type.active, skipped)
      ) {
        const dispatch = this.quotas.mayStart(flow.team) ? this.start(flow, now) : undefined
        if (dispatch) return dispatch
        skipped.add(flow)
      }
      skipped.add(type)
    }
    return undefined
  }

  private start (flow: queueing.Flow, now: number): placement.Dispatch | undefined {
    const { rules, level, runTimes } = flow.type
    const { resources, timeLimitMs } = rules
    const urgent = level < this.queues.levels() - 2
    const job = this.queues.head(flow)
    const host = job && this.hosts.choose({ resources, registeredOnly: flow.registeredOnly, urgent }, now)
    if (!job || !host) return undefined
    const index = this.queues.take(job)
    job.started = true
    this.hosts.startTask(host, resources)
    flow.type.running++
    this.quotas.started(flow.team)
    const id = job.waiting.id
    this.running.set(taskKey(id, index), { host, flow, resources, chargedMs: runTimes.mean() })
    const reason = host.health.out ? 'trial' : level === flow.type.rank ? 'in order' : 'above fair share'
    return { link: host.link, job: id, index, limitMs: timeLimitMs, resources, reason }
  }

  private release (job: types.JobId, index: number): RunningTask | undefined {
    const key = taskKey(job, index)
    const task = this.running.get(key)
    if (!task) return undefined
    this.running.delete(key)
    task.flow.type.running--
    this.quotas.ended(task.flow.team)
    if (this.hosts.get(task.host.link) === task.host) this.hosts.endTask(task.host, task.resources)
    return task
  }

  private recordOutcome (
    { host, flow, chargedMs }: RunningTask, end: messages.TaskEnd['kind'], runMs: number, now: number
  ): void {
    const { type } = flow
    this.queues.adjustCharge(flow, chargedMs, runMs)
    if (end === 'cancelled') return
    this.updateHealth(host, { type: type.rules.name, failed: end === 'failed', runMs, runTimes: type.runTimes }, now)
    // Failed tasks are left out, since an immediate failure does not show how long the type's tasks run.
    if (end === 'finished') type.runTimes.add(runMs)
  }

  private updateHealth (host: hosts.Host, result: workerHealth.Result, now: number): void {
    const event = this.health.record(host.health, result, now)
    if (event) this.newDecisions.push({ event, fields: { worker: host.worker.name, type: result.type } })
  }

  private updateFloods (now: number): void {
    if (!this.policy.floodControl) return
    for (const type of this.floods.check(this.capacity(), now)) {
      const event = type.level === type.rank ? 'flood-end' : 'flood'
      this.newDecisions.push({
        event, fields: { type: type.rules.name, slots: Math.round(this.queues.load(type, now)) }
      })
    }
  }

  /** Waiting tasks by level, without those of teams that have reached their quota. */
  private waitingByLevel (): number[] {
    const counts = new Array<number>(this.queues.levels()).fill(0)
    for (const type of this.queues.active) {
      for (const flow of type.active) if (this.quotas.mayStart(flow.team)) counts[type.level]! += flow.waiting
    }
    return counts
  }
}
