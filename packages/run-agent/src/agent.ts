import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as runs from '@mustarddeck/runs'
import * as runLedger from './run-ledger.ts'
import * as leases from './lease.ts'
import * as capacityUpdates from './capacity-updates.ts'
import * as crashes from './crashes.ts'

/**
 * Timeout in ms of start and stop calls; the result is then uncertain. A call to the worker on the same machine usually
 * takes a few ms. Load pattern: orders without an answer; until the timeout their tasks can't be started elsewhere, and
 * the shortest jobs have about 100 ms to spare.
 */
const CALL_TIMEOUT_MS = 30
/** Time in ms that a list call waits for a run to end; short enough for several list calls per lease. */
const LIST_WAIT_MS = 150
/** Time in ms beyond `LIST_WAIT_MS` after which a list call times out. */
const LIST_GRACE_MS = 100
/** Delay in ms before the next list call after one was refused or not answered. */
const LIST_PAUSE_MS = 60
/** Time in ms since the last listing after which the worker counts as unresponsive and gets no new runs. */
const UNRESPONSIVE_AFTER_MS = 350
/** List calls without an answer after which a worker whose lease has expired counts as crashed. */
const CRASHED_AFTER_CALLS = 2
/** Age in ms from which an announcement counts as delayed; the worker's capacity may have shrunk since. */
const DELAYED_AFTER_MS = 1000
/** Time in ms for which the process may stand still and still trust the capacity that the worker last announced. */
const CAPACITY_TRUST_MS = 2000
/** Interval in ms between reviews of the lease and of runs that are uncertain or being stopped. */
const REVIEW_MS = 50
/** Interval in ms between reviews while no run is uncertain or being stopped and the worker responds. */
const IDLE_REVIEW_MS = 150

/** Starts, stops and tracks all runs on one worker. */
export interface Agent {
  /** Handles an announcement of the worker; `clockMs` is its steady clock in ms. */
  workerAnnounced (worker: runs.Worker, clockMs: number | undefined): void
  /** Takes the worker from a record of an earlier incarnation; its capacity counts only once it announces itself. */
  workerRecalled (worker: runs.Worker): void
  /** Called when the worker with this id is gone. */
  workerGone (worker: runs.WorkerId): void
  /** Accepts orders from the entry on this link; `entry` identifies the incarnation of its process. */
  linkUp (link: number, entry: string): void
  /** Stops the runs of the entry, which is gone or can no longer trust this agent. */
  linkDown (link: number): void
  receive (link: number, message: runs.ToAgent): void
  /** Starts no more runs; `whenEmpty` is called when no run is left. */
  drain (whenEmpty: () => void): void
  /** Called after the process stood still for this time: answers to calls pending at that time are not reliable. */
  resumed (gapMs: number): void
  worker (): runs.Worker | undefined
  /** Number of runs that hold capacity on the worker. */
  runCount (): number
  /** Number of those runs that this incarnation of an entry has ordered. */
  runCountOf (entry: string): number
  stop (): void
}

export interface Options {
  calls: runs.WorkerCalls
  timers: clock.Timers
  log: log.Log
  send (link: number, message: runs.FromAgent): void
  /** Called once for each run that held capacity; `ranMs` is the time from the order to the end. */
  onRunEnd (end: runs.RunEnd, ranMs: number): void
  /** Called when the worker crashed or can't be reached any more while it had runs. */
  onWorkerCrash (reason: string): void
}

export const create = ({ calls, timers, log, send, onRunEnd, onWorkerCrash }: Options): Agent => {
  const ledger = runLedger.create()
  const lease = leases.create(timers)
  const token = leases.createFencingToken(timers)
  /** Incarnation of the entry, by link. */
  const entryByLink = new Map<number, string>()
  let worker: runs.Worker | undefined
  /** Start time of the worker incarnation whose runs the ledger holds, from the worker's listings. */
  let listedBornMs: number | undefined
  let lastSeen = 0
  let listedAt = -Infinity
  /** List calls that the worker has not answered since it last did. */
  let unansweredLists = 0
  let stopped = false
  /** Whether runs could be started at the last review. */
  let wasReady = false
  let whenEmpty: (() => void) | undefined

  const isReady = (): boolean => worker !== undefined && !worker.leaving && whenEmpty === undefined &&
    listedBornMs === worker.bornMs && !ledger.hasUnrecognised() && timers.monotonic() - listedAt < UNRESPONSIVE_AFTER_MS

  const updates = capacityUpdates.create({
    timers,
    currentCapacity: () => isReady() ? { worker, free: ledger.free() } : { free: runs.NO_RESOURCES },
    send
  })

  /**
   * Sends the message, with the free capacity, to the entry that ordered the run on the entry's current link. Returns
   * false if that entry is not linked.
   */
  const sendToEntry = (run: runLedger.Run, message: runs.FromAgent): boolean => {
    for (const [link, entry] of entryByLink) {
      if (entry !== run.entry) continue
      send(link, message)
      updates.piggyback(link)
      return true
    }
    return false
  }
  const finish = (run: runLedger.Run, end: runs.RunEnd, reason?: string, crash?: runs.Crash): void => {
    if (ledger.get(run.task) !== run) return
    ledger.remove(run)
    const ranMs = Math.round(timers.monotonic() - run.orderedAt)
    onRunEnd(end, ranMs)
    log.info('run-end', { task: run.task, run: run.run, end, ranMs, reason, bornMs: crash?.bornMs, crash: crash?.suspicion })
    updates.runEnded()
    const reported = sendToEntry(run, { kind: 'ended', task: run.task, run: run.run, end, ranMs, reason, crash })
    // The job may come again at any entry.
    if (crash && !reported) {
      for (const link of entryByLink.keys()) send(link, { kind: 'crashes', crashes: [{ ...crash, task: run.task }] })
    }
    if (whenEmpty && ledger.size() === 0) whenEmpty()
  }
  const refuse = (link: number, task: runs.TaskId, reason: string): void => {
    log.info('run-refused', { task, reason })
    send(link, { kind: 'ended', task, run: 0, end: 'unstarted', ranMs: 0, reason })
    // Deferred until the rest of the start message has been processed, but still in the same frame.
    queueMicrotask(() => updates.piggyback(link))
  }

  const stopRun = async (run: runLedger.Run): Promise<void> => {
    if (run.state !== 'uncertain') run.state = 'stopping'
    if (run.stopPending || run.stopConfirmedAt !== undefined) return
    run.stopPending = true
    const reply = await calls.stop(worker?.id, run, token.current(), CALL_TIMEOUT_MS)
    run.stopPending = false
    // Only listings requested from now on show whether the run is still there.
    if (reply.kind === 'acknowledged') {
      run.stopConfirmedAt = timers.monotonic()
      // The pending list call was made earlier and does not resolve this run.
      if (run.state === 'uncertain') list(0)
    } else log.warn('stop-unanswered', { task: run.task, run: run.run, reply: reply.kind })
  }

  const onStartReply = (run: runLedger.Run, reply: runs.StartReply): void => {
    if (ledger.get(run.task) !== run) return
    if (reply.kind === 'refused') {
      if (reply.reason === 'outdated-token') token.superseded()
      return finish(run, 'unstarted', reply.reason)
    }
    if (reply.kind === 'started') {
      run.startConfirmedAt = timers.monotonic()
      if (run.state === 'ordered') run.state = 'running'
      return
    }
    log.warn('start-unanswered', { task: run.task, run: run.run })
    if (run.state === 'ordered') run.state = 'uncertain'
    stopRun(run)
  }

  const start = async (link: number, spec: string, requested: runs.RequestedTask): Promise<void> => {
    if (!isReady() || !worker) return refuse(link, requested.task, 'not-ready')
    if (ledger.get(requested.task)) return refuse(link, requested.task, 'still-running')
    if (!runs.fits(requested.amount, ledger.free())) return refuse(link, requested.task, 'no-room')
    const leaseUntilMs = lease.nextExpiry()
    if (leaseUntilMs === undefined) return refuse(link, requested.task, 'not-ready')
    const run: runLedger.Run = {
      task: requested.task,
      run: ledger.nextRun(requested.task, requested.run),
      entry: entryByLink.get(link),
      amount: requested.amount,
      state: 'ordered',
      orderedAt: timers.monotonic(),
      startConfirmedAt: undefined,
      stopConfirmedAt: undefined,
      stopPending: false
    }
    ledger.add(run)
    lease.recordRequest(leaseUntilMs)
    log.info('run-order', { task: run.task, run: run.run, link, freeMillicores: ledger.free().millicores })
    const order = { task: run.task, run: run.run, spec, leaseUntilMs, token: token.current() }
    onStartReply(run, await calls.start(worker.id, order, CALL_TIMEOUT_MS))
  }

  /** Ends all runs; `crashOf` has those that the worker may have taken along in a crash. */
  const finishAll = (reason: string, crashOf: Map<runLedger.Run, runs.Crash>): void => {
    if (crashOf.size > 0) {
      log.warn('worker-crashed', { worker: worker?.id, bornMs: listedBornMs, runs: crashOf.size, reason })
      onWorkerCrash(reason)
    }
    for (const run of [...ledger.all()]) finish(run, 'lapsed', reason, crashOf.get(run))
  }

  /** Handles a new worker incarnation: no earlier run is left, and late orders must have no effect. */
  const onWorkerRestart = (): void => {
    const crashOf = crashes.attribute(ledger, { worker, bornMs: listedBornMs, listedAt })
    lastSeen = 0
    listedBornMs = undefined
    finishAll('worker restarted', crashOf)
    lease.reset()
    token.advance()
    updates.changed()
  }

  const onListing = ({ clockMs, bornMs, running, ended }: runs.Listing, askedAt: number): void => {
    if (listedBornMs !== undefined && bornMs !== listedBornMs) onWorkerRestart()
    if (worker && worker.bornMs > bornMs) return
    const wasNotReady = !isReady()
    listedBornMs = bornMs
    listedAt = timers.monotonic()
    unansweredLists = 0
    lease.recordClock(clockMs)
    const present = new Map(running.map((run) => [run.task, run.run]))
    for (const endedRun of ended) {
      if (endedRun.number <= lastSeen) continue
      lastSeen = endedRun.number
      const run = ledger.get(endedRun.task)
      if (run && run.run === endedRun.run) finish(run, endedRun.end)
    }
    for (const run of [...ledger.all()]) {
      if (present.get(run.task) === run.run) continue
      if (run.state === 'running' && run.startConfirmedAt! <= askedAt) finish(run, 'lapsed', 'not listed')
      if (run.stopConfirmedAt !== undefined && run.stopConfirmedAt <= askedAt) finish(run, 'unstarted', 'stopped early')
    }
    for (const { task, run } of running) if (ledger.get(task)?.run !== run) stopUnrecognised(task, run)
    if (wasNotReady) updates.changed()
  }

  /** Stops a run that this incarnation of the agent did not order or no longer tracks. */
  const stopUnrecognised = (task: runs.TaskId, run: number): void => {
    if (ledger.get(task)) return
    log.warn('run-unknown', { task, run })
    const unrecognised: runLedger.Run = {
      task,
      run,
      entry: undefined,
      amount: runs.NO_RESOURCES,
      state: 'stopping',
      orderedAt: timers.monotonic(),
      startConfirmedAt: undefined,
      stopConfirmedAt: undefined,
      stopPending: false
    }
    ledger.add(unrecognised)
    stopRun(unrecognised)
    updates.changed()
  }

  const list = async (waitLimitMs: number): Promise<void> => {
    const askedAt = timers.monotonic()
    const tokenUsed = token.current()
    // An unresponsive worker may still receive an extension, which would keep its runs uncertain for longer.
    const leaseUntilMs = askedAt - listedAt < UNRESPONSIVE_AFTER_MS ? lease.nextExpiry() : undefined
    if (leaseUntilMs !== undefined) lease.recordRequest(leaseUntilMs)
    // The first listing of an incarnation must not wait: it provides the worker's clock.
    const waitMs = leaseUntilMs === undefined || ledger.hasUnrecognised() ? 0 : waitLimitMs
    const timeoutMs = LIST_WAIT_MS + LIST_GRACE_MS
    const reply = await calls.list(worker?.id, { token: tokenUsed, lastSeen, leaseUntilMs, waitMs, timeoutMs })
    if (stopped) return
    if (reply.kind === 'listing') return onListing(reply.listing, askedAt)
    if (reply.kind === 'refused' && reply.reason === 'outdated-token' && tokenUsed === token.current()) {
      token.superseded()
    }
    if (reply.kind === 'silent') unansweredLists++
    log.debug('listing-failed', { reply: reply.kind })
    await new Promise<void>((resolve) => timers.after(LIST_PAUSE_MS, resolve))
  }
  const listContinuously = async (): Promise<void> => {
    await list(LIST_WAIT_MS)
    if (!stopped) listContinuously()
  }

  const review = (): void => {
    if (stopped) return
    const now = timers.monotonic()
    const isUnresponsive = now - listedAt > UNRESPONSIVE_AFTER_MS
    let hasUnsettled = false
    if (isUnresponsive && now > lease.expiredBy()) {
      const hasCrashed = unansweredLists >= CRASHED_AFTER_CALLS
      finishAll('lease expired', hasCrashed ? crashes.attribute(ledger, { worker, bornMs: listedBornMs, listedAt }) : new Map())
    }
    for (const run of [...ledger.all()]) {
      if (run.state === 'uncertain' || run.state === 'stopping') {
        hasUnsettled = true
        stopRun(run)
      }
    }
    timers.after(hasUnsettled || isUnresponsive ? REVIEW_MS : IDLE_REVIEW_MS, review)
    // When the worker becomes unresponsive, no other event triggers an update.
    if (wasReady !== isReady()) updates.changed()
    wasReady = isReady()
  }

  timers.after(0, listContinuously)
  timers.after(REVIEW_MS, review)
  return {
    workerAnnounced: (announced, clockMs) => {
      if (worker && announced.bornMs < worker.bornMs) return log.warn('announcement-outdated', { worker: announced.id })
      const changed = worker?.id !== announced.id || worker.bornMs !== announced.bornMs
      const isDelayed = clockMs !== undefined && listedBornMs === announced.bornMs &&
        lease.workerClock() - clockMs > DELAYED_AFTER_MS
      const next = {
        ...announced,
        capacity: isDelayed && worker ? worker.capacity : announced.capacity,
        // A worker that leaves does not come back in this incarnation; the announcement was delayed.
        leaving: announced.leaving || (!changed && worker!.leaving)
      }
      if (changed) log.info('worker', { worker: next.id, bornMs: next.bornMs, millicores: next.capacity.millicores })
      if (!changed && worker && worker.leaving !== next.leaving) log.info('worker-leaving', { leaving: next.leaving })
      if (changed && listedBornMs !== undefined && listedBornMs !== next.bornMs) onWorkerRestart()
      worker = next
      if (!isDelayed) ledger.resize(next.capacity)
      if (clockMs !== undefined && lease.nextExpiry() === undefined &&
        listedBornMs === next.bornMs) lease.recordClock(clockMs)
      updates.changed()
    },
    workerRecalled: (recalled) => {
      worker = recalled
      updates.changed()
    },
    workerGone: (id) => {
      if (worker?.id !== id) return
      log.info('worker-gone', { worker: id })
      worker = { ...worker, leaving: true }
      updates.changed()
    },
    linkUp: (link, entry) => {
      entryByLink.set(link, entry)
      updates.up(link)
    },
    linkDown: (link) => {
      const entry = entryByLink.get(link)
      entryByLink.delete(link)
      updates.down(link)
      for (const run of ledger.all()) if (entry !== undefined && run.entry === entry) stopRun(run)
    },
    receive: (link, message) => {
      const entry = entryByLink.get(link)
      if (entry === undefined) return
      if (message.kind === 'want') return updates.setDemand(link, message.urgency)
      if (message.kind === 'start') {
        updates.ordered(link, message.sequence)
        for (const requested of message.tasks) start(link, message.spec, requested)
        return updates.changed()
      }
      for (const task of message.tasks) {
        const run = ledger.get(task)
        if (run?.entry === entry) stopRun(run)
      }
    },
    drain: (done) => {
      whenEmpty = done
      updates.changed()
      if (ledger.size() === 0) timers.after(0, done)
    },
    resumed: (gapMs) => {
      listedAt = -Infinity
      unansweredLists = 0
      if (gapMs > CAPACITY_TRUST_MS) ledger.resize(runs.NO_RESOURCES)
    },
    worker: () => worker,
    runCount: () => ledger.size(),
    runCountOf: (entry) => [...ledger.all()].filter((run) => run.entry === entry).length,
    stop: () => {
      stopped = true
      updates.stop()
    }
  }
}
