import type * as clock from '@mustarddeck/clock'
import * as runs from '@mustarddeck/runs'
import type * as sites from './site.ts'

/** Time in ms of a call to the worker and back, and of a stop. */
const CALL_MS = 1
const STOP_MS = 30
/** Time in ms between checks for leases that have expired. */
const EXPIRY_CHECK_MS = 10
/** Longest lease in ms. */
const MAX_LEASE_MS = 1000

/** Faults that a test sets and clears. */
export interface Faults {
  /** Time in ms after which the next orders are carried out, without an answer; 0 for at once and answered. */
  lateMs: number
  /** The worker answers nothing and does nothing. */
  silent: boolean
  /** Starts are answered with an error, and do nothing. */
  unwell: boolean
  /** Tasks that start now end as failed at once, or never end. */
  tasks: 'sound' | 'fail' | 'hang'
}

export interface Settings {
  id: string
  capacity: runs.Amount
  /** What each task holds. */
  amountOf (task: runs.TaskId): runs.Amount
  /** Run time of a task in ms. */
  runMsOf (task: runs.TaskId): number
  site: sites.Site
  timers: clock.Timers
}

interface Running extends runs.RunId {
  amount: runs.Amount
  cancel: clock.Cancellation
}

/** A worker that starts whatever it is told to start, and notes when that was wrong. */
export interface StandIn {
  calls: runs.WorkerCalls
  faults: Faults
  worker (): runs.Worker
  running (): runs.TaskId[]
  /** Ends everything that runs and begins a new life under the same id. */
  restart (): void
  /** Ends the worker for good; what runs then is not told any more. */
  stop (): void
}

export const create = ({ id, capacity, amountOf, runMsOf, site, timers }: Settings): StandIn => {
  const faults: Faults = { lateMs: 0, silent: false, unwell: false, tasks: 'sound' }
  const running = new Map<runs.TaskId, Running>()
  const highest = new Map<runs.TaskId, number>()
  let ended: runs.Listing['ended'] = []
  let bornMs = timers.now().getTime() + 1
  let startedAt = timers.monotonic()
  let nextEnd = 1
  let token = 0
  let leaseUntilMs = 0
  let waiters: Array<() => void> = []

  const clockMs = (): number => Math.floor(timers.monotonic() - startedAt)
  const wake = (): void => { for (const waiter of waiters.splice(0)) waiter() }

  const finish = (run: Running, end: runs.RunEnd): void => {
    if (running.get(run.task) !== run) return
    run.cancel()
    running.delete(run.task)
    site.running.delete(run.task)
    highest.set(run.task, Math.max(run.run, highest.get(run.task) ?? 0))
    ended.push({ number: nextEnd++, task: run.task, run: run.run, end })
    wake()
  }
  const expire = (): void => {
    cancelExpiry = timers.after(EXPIRY_CHECK_MS, expire)
    if (clockMs() > leaseUntilMs) for (const run of [...running.values()]) finish(run, 'lapsed')
  }
  let cancelExpiry = timers.after(EXPIRY_CHECK_MS, expire)
  const extend = (untilMs: number | undefined): void => {
    if (untilMs !== undefined) leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + MAX_LEASE_MS))
  }

  const begin = ({ task, run }: runs.RunId): void => {
    const other = site.running.get(task)
    if (other !== undefined) site.broken.push(`${task} starts on ${id} and runs on ${other}`)
    site.running.set(task, id)
    site.starts.set(task, (site.starts.get(task) ?? 0) + 1)
    const amount = amountOf(task)
    const entry: Running = { task, run, amount, cancel: () => {} }
    running.set(task, entry)
    const used = [...running.values()].reduce((sum, each) => runs.plus(sum, each.amount), runs.NOTHING)
    if (!runs.fits(used, capacity)) site.broken.push(`${task} brings ${id} over its capacity`)
    if (faults.tasks === 'hang') return
    const fails = faults.tasks === 'fail'
    entry.cancel = timers.after(fails ? 5 : runMsOf(task), () => finish(entry, fails ? 'failed' : 'done'))
  }
  const start = (order: runs.Order): runs.StartReply => {
    if (faults.unwell) return { kind: 'refused', reason: 'unwell' }
    if (order.token < token) return { kind: 'refused', reason: 'outdated-token' }
    token = order.token
    if (order.leaseUntilMs < clockMs()) return { kind: 'refused', reason: 'late' }
    extend(order.leaseUntilMs)
    if (running.get(order.task)?.run === order.run) return { kind: 'started' }
    if (order.run <= (highest.get(order.task) ?? 0)) return { kind: 'refused', reason: 'outdated-run' }
    begin(order)
    return { kind: 'started' }
  }
  const stop = ({ task, run }: runs.RunId, stopToken: number): runs.StopReply => {
    if (stopToken < token) return { kind: 'refused' }
    token = stopToken
    highest.set(task, Math.max(run, highest.get(task) ?? 0))
    const current = running.get(task)
    if (current && current.run <= run) timers.after(STOP_MS, () => finish(current, 'stopped'))
    return { kind: 'acknowledged' }
  }
  const snapshot = (): runs.Listing => ({
    clockMs: clockMs(),
    bornMs,
    running: [...running.values()].map(({ task, run }) => ({ task, run })),
    ended: [...ended]
  })

  const wait = (ms: number): Promise<void> => new Promise((resolve) => timers.after(ms, resolve))
  /** Carries out a call now, or late and without an answer, or never. */
  const deliver = async <Reply extends { kind: string }>(
    timeoutMs: number, run: () => Reply
  ): Promise<Reply | { kind: 'silent' }> => {
    const { silent, lateMs } = faults
    if (!silent && lateMs === 0) {
      await wait(CALL_MS)
      return run()
    }
    if (!silent) timers.after(lateMs, run)
    await wait(timeoutMs)
    return { kind: 'silent' }
  }

  class Calls extends runs.WorkerCalls {
    override start (_worker: runs.WorkerId, order: runs.Order, timeoutMs: number): Promise<runs.StartReply> {
      return deliver(timeoutMs, () => start(order))
    }

    override stop (
      _worker: runs.WorkerId | undefined, run: runs.RunId, stopToken: number, timeoutMs: number
    ): Promise<runs.StopReply> {
      return deliver(timeoutMs, () => stop(run, stopToken))
    }

    override async list (
      _worker: runs.WorkerId | undefined, options: runs.ListOptions
    ): Promise<runs.ListReply> {
      await wait(CALL_MS)
      if (faults.silent) {
        await wait(options.timeoutMs)
        return { kind: 'silent' }
      }
      if (options.token < token) return { kind: 'refused', reason: 'outdated-token' }
      token = options.token
      ended = ended.filter(({ number }) => number > options.lastSeen)
      extend(options.leaseUntilMs)
      if (ended.length === 0 && options.waitMs > 0) {
        await Promise.race([wait(options.waitMs), new Promise<void>((resolve) => waiters.push(resolve))])
      }
      return { kind: 'listing', listing: snapshot() }
    }
  }

  return {
    calls: new Calls(),
    faults,
    worker: () => ({
      id: id as runs.WorkerId,
      bornMs,
      service: 'corkbook',
      zone: 'khangai-a',
      capacity,
      labels: ['a', 'r1-1'],
      leaving: false
    }),
    running: () => [...running.keys()],
    restart: () => {
      for (const run of [...running.values()]) finish(run, 'lapsed')
      ended = []
      highest.clear()
      nextEnd = 1
      token = 0
      leaseUntilMs = 0
      startedAt = timers.monotonic()
      bornMs = timers.now().getTime() + 1
      waiters = []
    },
    stop: () => {
      cancelExpiry()
      for (const { cancel } of running.values()) cancel()
    }
  }
}
