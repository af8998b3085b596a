import type * as clock from '@mustarddeck/clock'
import * as runs from '@mustarddeck/runs'
import type * as sites from './site.ts'

/** Usual round trip time in ms of a call to the worker. */
const CALL_MS = 1
/** Time in ms from a stop call to the end of the run. */
const STOP_MS = 30
/** Interval in ms between checks for expired leases. */
const EXPIRY_CHECK_MS = 10
/** Maximum lease in ms that a worker grants unless its settings say otherwise. */
export const MAX_LEASE_MS = 1000

/** Faults that a test sets and clears. */
export interface Faults {
  /** Delay in ms after which start and stop calls take effect, unanswered; 0 to execute and answer them immediately. */
  executionDelayMs: number
  /** Start and stop calls are neither executed nor answered; list calls are answered. */
  ordersLost: boolean
  /** Round trip time in ms of start and stop calls. */
  callMs: number
  /** Delay in ms after which list calls take effect, unanswered; 0 to execute and answer them immediately. */
  listingExecutionDelayMs: number
  /** Time in ms by which responses to list calls arrive late. */
  listingDelayMs: number
  /** The worker answers no calls and executes none. */
  unresponsive: boolean
  /** Start calls are refused with an error. */
  unhealthy: boolean
  /** Whether tasks started from now on succeed, fail almost immediately, or never end. */
  tasks: 'succeed' | 'fail' | 'hang'
}

export interface Settings {
  id: string
  capacity: runs.Resources
  /** Resources that a task holds. */
  resourcesOf (task: runs.TaskId): runs.Resources
  /** Run time of a task in ms. */
  runMsOf (task: runs.TaskId): number
  maxLeaseMs?: number
  site: sites.Site
  timers: clock.Timers
}

interface ActiveRun extends runs.RunId {
  amount: runs.Resources
  cancel: clock.Cancellation
}

/** A simulated worker that executes orders even beyond its capacity and records violations in its site. */
export interface StandIn {
  calls: runs.WorkerCalls
  faults: Faults
  worker (): runs.Worker
  running (): runs.TaskId[]
  /** Ends all runs and starts a new incarnation under the same id. */
  restart (): void
  /** Like `restart`, but under another id. */
  replace (nextId: string): void
  /** Stops the worker permanently; the ends of its runs are not reported. */
  stop (): void
}

export const createFaults = (): Faults => ({
  executionDelayMs: 0,
  ordersLost: false,
  callMs: CALL_MS,
  listingExecutionDelayMs: 0,
  listingDelayMs: 0,
  unresponsive: false,
  unhealthy: false,
  tasks: 'succeed'
})

export const create = (settings: Settings): StandIn => {
  const { id: firstId, capacity, resourcesOf, runMsOf, maxLeaseMs = MAX_LEASE_MS, site, timers } = settings
  let id = firstId
  const faults = createFaults()
  const running = new Map<runs.TaskId, ActiveRun>()
  const highestRuns = new Map<runs.TaskId, number>()
  let ended: runs.Listing['ended'] = []
  let bornMs = timers.now().getTime() + 1
  let startedAt = timers.monotonic()
  let nextEndNumber = 1
  let token = 0
  let leaseUntilMs = 0
  let waiters: Array<() => void> = []

  const clockMs = (): number => Math.floor(timers.monotonic() - startedAt)
  const wakeWaiters = (): void => { for (const waiter of waiters.splice(0)) waiter() }

  const finish = (run: ActiveRun, end: runs.RunEnd): void => {
    if (running.get(run.task) !== run) return
    run.cancel()
    running.delete(run.task)
    site.running.delete(run.task)
    highestRuns.set(run.task, Math.max(run.run, highestRuns.get(run.task) ?? 0))
    ended.push({ number: nextEndNumber++, task: run.task, run: run.run, end })
    wakeWaiters()
  }
  const endExpiredRuns = (): void => {
    cancelExpiry = timers.after(EXPIRY_CHECK_MS, endExpiredRuns)
    if (clockMs() > leaseUntilMs) for (const run of [...running.values()]) finish(run, 'lapsed')
  }
  let cancelExpiry = timers.after(EXPIRY_CHECK_MS, endExpiredRuns)
  const extendLease = (request: runs.LeaseRequest | undefined): void => {
    if (request) leaseUntilMs = Math.max(leaseUntilMs, Math.min(request.untilMs, clockMs() + maxLeaseMs))
  }

  const startRun = ({ task, run }: runs.RunId): void => {
    const other = site.running.get(task)
    if (other !== undefined) site.violations.push(`${task} starts on ${id} while running on ${other}`)
    site.running.set(task, id)
    site.starts.set(task, (site.starts.get(task) ?? 0) + 1)
    const amount = resourcesOf(task)
    const activeRun: ActiveRun = { task, run, amount, cancel: () => {} }
    running.set(task, activeRun)
    const used = [...running.values()].reduce((sum, active) => runs.add(sum, active.amount), runs.NO_RESOURCES)
    if (!runs.fits(used, capacity)) site.violations.push(`${task} exceeds the capacity of ${id}`)
    if (faults.tasks === 'hang') return
    const fails = faults.tasks === 'fail'
    activeRun.cancel = timers.after(fails ? 5 : runMsOf(task), () => finish(activeRun, fails ? 'failed' : 'done'))
  }
  const start = (order: runs.Order): runs.StartReply => {
    if (faults.unhealthy) return { kind: 'refused', reason: 'unwell' }
    if (order.token < token) return { kind: 'refused', reason: 'outdated-token' }
    token = order.token
    if (order.lease.untilMs < clockMs()) return { kind: 'refused', reason: 'late' }
    extendLease(order.lease)
    if (running.get(order.task)?.run === order.run) return { kind: 'started' }
    if (order.run <= (highestRuns.get(order.task) ?? 0)) return { kind: 'refused', reason: 'outdated-run' }
    startRun(order)
    return { kind: 'started' }
  }
  const stop = ({ task, run }: runs.RunId, stopToken: number): runs.StopReply => {
    if (stopToken < token) return { kind: 'refused' }
    token = stopToken
    highestRuns.set(task, Math.max(run, highestRuns.get(task) ?? 0))
    const current = running.get(task)
    if (current && current.run <= run) timers.after(STOP_MS, () => finish(current, 'stopped'))
    return { kind: 'acknowledged' }
  }
  /** Applies the effects of a list call; returns false if its token is outdated. */
  const acceptListing = ({ token: listToken, lastSeen, lease }: runs.ListOptions): boolean => {
    if (listToken < token) return false
    token = listToken
    ended = ended.filter(({ number }) => number > lastSeen)
    extendLease(lease)
    return true
  }
  const snapshot = (): runs.Listing => ({
    clockMs: clockMs(),
    bornMs,
    running: [...running.values()].map(({ task, run }) => ({ task, run })),
    ended: [...ended]
  })

  /** Whether a call with this request reaches the present incarnation; one executed late may reach the next as well. */
  const isAddressee = (request: runs.LeaseRequest | undefined): boolean =>
    request === undefined || request.bornMs === bornMs
  const wait = (ms: number): Promise<void> => new Promise((resolve) => timers.after(ms, resolve))
  /** Executes a call immediately, or delayed and without an answer, or never, depending on the faults. */
  const deliver = async <Reply extends { kind: string }>(
    timeoutMs: number, run: () => Reply
  ): Promise<Reply | { kind: 'silent' }> => {
    const { unresponsive, ordersLost, executionDelayMs, callMs } = faults
    const isLost = unresponsive || ordersLost
    if (!isLost && executionDelayMs === 0) {
      await wait(callMs)
      return run()
    }
    // A restart of the worker does not cancel the call: its new incarnation executes it.
    if (!isLost) timers.after(executionDelayMs, run)
    await wait(timeoutMs)
    return { kind: 'silent' }
  }

  class Calls extends runs.WorkerCalls {
    override async start (worker: runs.WorkerId, order: runs.Order, timeoutMs: number): Promise<runs.StartReply> {
      if (!isAddressee(order.lease)) {
        await wait(faults.unresponsive ? timeoutMs : CALL_MS)
        return faults.unresponsive ? { kind: 'silent' } : { kind: 'refused', reason: 'other-life' }
      }
      return deliver(timeoutMs, () => worker === id ? start(order) : { kind: 'refused', reason: 'other-life' })
    }

    override stop (
      worker: runs.WorkerId | undefined, run: runs.RunId, stopToken: number, timeoutMs: number
    ): Promise<runs.StopReply> {
      return deliver(timeoutMs, () => (worker ?? id) === id ? stop(run, stopToken) : { kind: 'refused' })
    }

    override async list (
      worker: runs.WorkerId | undefined, options: runs.ListOptions
    ): Promise<runs.ListReply> {
      const askedAt = timers.monotonic()
      const reachesAddressee = isAddressee(options.lease)
      await wait(CALL_MS)
      if (faults.unresponsive || faults.listingExecutionDelayMs > 0) {
        const isExecuted = !faults.unresponsive && reachesAddressee
        if (isExecuted) timers.after(faults.listingExecutionDelayMs, () => acceptListing(options))
        await wait(options.timeoutMs)
        return { kind: 'silent' }
      }
      if ((worker ?? id) !== id || !reachesAddressee) return { kind: 'refused', reason: 'other-life' }
      const calledIncarnation = bornMs
      if (!acceptListing(options)) return { kind: 'refused', reason: 'outdated-token' }
      if (ended.length === 0 && options.waitMs > 0) {
        await Promise.race([wait(options.waitMs), new Promise<void>((resolve) => waiters.push(resolve))])
      }
      // The connection ended with the incarnation that was called.
      if (bornMs !== calledIncarnation) return { kind: 'silent' }
      const listing = snapshot()
      if (faults.listingDelayMs > 0) await wait(faults.listingDelayMs)
      return timers.monotonic() - askedAt < options.timeoutMs ? { kind: 'listing', listing } : { kind: 'silent' }
    }
  }

  const restart = (): void => {
    for (const run of [...running.values()]) finish(run, 'lapsed')
    ended = []
    highestRuns.clear()
    nextEndNumber = 1
    token = 0
    leaseUntilMs = 0
    startedAt = timers.monotonic()
    bornMs = timers.now().getTime() + 1
    waiters = []
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
    restart,
    replace: (nextId) => {
      restart()
      id = nextId
    },
    stop: () => {
      cancelExpiry()
      for (const { cancel } of running.values()) cancel()
    }
  }
}
