import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as placement from './interface.ts'

interface Job {
  waiting: placement.WaitingJob
  type: types.TaskType
  rank: number
  since: number
  /** Indexes below this were dispatched. */
  next: number
  /** Dispatched indexes that wait again. */
  again: number[]
  started: boolean
}

interface Host {
  worker: placement.Worker
  granted: number
  used: types.Resources
  /** Tasks in progress, by job and index. */
  tasks: Map<string, types.Resources>
}

const remaining = (job: Job): number => job.waiting.tasks - job.next + job.again.length
const keyOf = (job: types.JobId, index: number): string => `${job}/${index}`

const fits = (worker: placement.Worker, needed: types.Resources, used?: types.Resources): boolean =>
  needed.cores + (used?.cores ?? 0) <= worker.resources.cores &&
  needed.memoryMb + (used?.memoryMb ?? 0) <= worker.resources.memoryMb &&
  needed.accelerators + (used?.accelerators ?? 0) <= worker.resources.accelerators

/** Starts jobs in order of priority class and then of arrival, on the worker with the most unused grants. */
export const create = (_options: Options): placement.Placement => new Dispatcher()

interface Options {
  random: random.Random
  /** Divides small team quotas among entries; the default is a single entry. */
  position?: placement.Position
}

/** Shortest time in ms between two reports of demand. */
const REPORT_INTERVAL_MS = 20

class Dispatcher extends placement.Placement {
  private rules: types.Rules = { version: 0, taskTypes: [], priorityClasses: [], teams: [] }
  private types = new Map<types.TaskTypeName, types.TaskType>()
  private ranks = new Map<types.PriorityClassName, number>()
  private readonly hosts = new Map<types.LinkId, Host>()
  private readonly jobs = new Map<types.JobId, Job>()
  private readonly queues: Set<Job>[] = []
  private reportAt = 0

  override configure (rules: types.Rules): void {
    this.rules = rules
    this.types = new Map(rules.taskTypes.map((type) => [type.name, type]))
    this.ranks = new Map(rules.priorityClasses.map((priorityClass) => [priorityClass.name, priorityClass.rank]))
  }

  override workerUp (link: types.LinkId, worker: placement.Worker): void {
    this.hosts.set(link, { worker, granted: 0, used: { cores: 0, memoryMb: 0, accelerators: 0 }, tasks: new Map() })
  }

  override workerRegistered (link: types.LinkId): void {
    const host = this.hosts.get(link)
    if (host) host.worker = { ...host.worker, registered: true }
  }

  override workerDown (link: types.LinkId): void {
    this.hosts.delete(link)
  }

  override granted (link: types.LinkId, slots: number): void {
    const host = this.hosts.get(link)
    if (host) host.granted += slots
  }

  override recalled (link: types.LinkId, slots: number): number {
    const host = this.hosts.get(link)
    if (!host) return 0
    const count = Math.min(slots, host.granted)
    host.granted -= count
    return count
  }

  override admit (waiting: placement.WaitingJob, now: number): placement.Admission {
    const type = this.types.get(waiting.type)
    if (!type) return { kind: 'refused', reason: 'unknown-task-type' }
    if (!this.rules.teams.some((team) => team.name === waiting.team)) return { kind: 'refused', reason: 'unknown-team' }
    const hosts = [...this.hosts.values()]
    if (hosts.length > 0 && !hosts.some((host) => fits(host.worker, type.resources))) {
      return { kind: 'refused', reason: 'never-runnable' }
    }
    const rank = this.ranks.get(type.priorityClass) ?? 0
    const job: Job = { waiting, type, rank, since: now, next: 0, again: [], started: false }
    this.jobs.set(waiting.id, job)
    this.queue(rank).add(job)
    return { kind: 'admitted' }
  }

  override next (): placement.Dispatch | undefined {
    for (const queue of this.queues) {
      for (const job of queue ?? []) {
        const link = this.choose(job)
        if (link !== undefined) return this.dispatch(job, link)
      }
    }
    return undefined
  }

  override finished (ended: placement.Ended): void {
    this.release(ended)
    const host = this.hosts.get(ended.link)
    if (host && ended.renewed) host.granted++
  }

  override rejected (key: placement.DispatchKey): void {
    this.release(key)
    this.requeue(key.job, key.index)
  }

  override requeue (id: types.JobId, index: number): void {
    const job = this.jobs.get(id)
    if (!job) return
    job.again.push(index)
    this.queue(job.rank).add(job)
  }

  override withdraw (id: types.JobId): void {
    const job = this.jobs.get(id)
    if (job) this.queue(job.rank).delete(job)
    this.jobs.delete(id)
  }

  override overdue (now: number): types.JobId[] {
    const ids = [...this.jobs.values()].filter((job) => this.dueAt(job) <= now).map((job) => job.waiting.id)
    for (const id of ids) this.withdraw(id)
    return ids
  }

  override reports (now: number): placement.Report[] {
    const waiting = this.demand()
    if (!waiting.some((count) => count > 0) || now < this.reportAt) return []
    this.reportAt = now + REPORT_INTERVAL_MS
    return [...this.hosts.keys()].map((link) => ({ link, waiting }))
  }

  override decisions (): placement.Decision[] {
    return []
  }

  override demand (): number[] {
    return Array.from(this.queues, (queue) => [...queue ?? []].reduce((sum, job) => sum + remaining(job), 0))
  }

  override deadline (): number | undefined {
    const reportAt = this.demand().some((count) => count > 0) ? this.reportAt : Infinity
    const due = Math.min(reportAt, ...[...this.jobs.values()].map((job) => this.dueAt(job)))
    return due === Infinity ? undefined : due
  }

  private dueAt (job: Job): number {
    return job.started ? Infinity : job.since + (job.waiting.maxWaitMs ?? Infinity)
  }

  private queue (rank: number): Set<Job> {
    this.queues[rank] ??= new Set()
    return this.queues[rank]
  }

  private choose (job: Job): types.LinkId | undefined {
    let best: [types.LinkId, Host] | undefined
    for (const [link, host] of this.hosts) {
      if (host.granted === 0 || (job.waiting.registeredOnly && !host.worker.registered)) continue
      if (!fits(host.worker, job.type.resources, host.used)) continue
      if (!best || host.granted > best[1].granted) best = [link, host]
    }
    return best?.[0]
  }

  private dispatch (job: Job, link: types.LinkId): placement.Dispatch {
    const host = this.hosts.get(link)!
    const index = job.again.pop() ?? job.next++
    const { resources, timeLimitMs } = job.type
    job.started = true
    host.granted--
    host.tasks.set(keyOf(job.waiting.id, index), resources)
    this.account(host, resources, 1)
    if (remaining(job) === 0) this.queue(job.rank).delete(job)
    return { link, job: job.waiting.id, index, limitMs: timeLimitMs, resources, reason: 'first in class' }
  }

  private release ({ link, job, index }: placement.DispatchKey): void {
    const host = this.hosts.get(link)
    const resources = host?.tasks.get(keyOf(job, index))
    if (!host || !resources) return
    host.tasks.delete(keyOf(job, index))
    this.account(host, resources, -1)
  }

  private account ({ used }: Host, { cores, memoryMb, accelerators }: types.Resources, sign: 1 | -1): void {
    used.cores += sign * cores
    used.memoryMb += sign * memoryMb
    used.accelerators += sign * accelerators
  }
}
