import * as runs from '@mustarddeck/runs'
import * as runLedger from './run-ledger.ts'
import * as leases from './lease.ts'
import * as deferredOrders from './deferred-orders.ts'
import * as capacityUpdates from './capacity-updates.ts'
import type * as interfaces from './interface.ts'
import * as workerVerification from './worker-verification.ts'

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
/** Interval in ms between reviews of the lease and of runs that are uncertain or being stopped. */
const REVIEW_MS = 50
/** Interval in ms between reviews while no run is uncertain or being stopped and the worker responds. */
const IDLE_REVIEW_MS = 150

export const create = (options: interfaces.Options): interfaces.Agent => {
  const { calls, timers, maxLeaseMs, log, send, closeExpiredLinks, onWorkerChange, onRunEnd } = options
  const ledger = runLedger.create()
  const lease = leases.create({ timers, maxLeaseMs })
  const token = leases.createFencingToken(timers)
  const deferred = deferredOrders.create()
  /** Incarnation of the entry, by link. */
  const entryByLink = new Map<number, string>()
  /** The worker that has confirmed its announcement. */
  let worker: runs.Worker | undefined
  /** Start time of the worker incarnation whose runs the ledger holds, from the worker's listings. */
  let listedBornMs: number | undefined
  let lastSeen = 0
  let listedAt = -Infinity
  /** When the latest listing of that incarnation arrived. */
  let acceptedAt = -Infinity
  /** Whether the latest list call was answered; otherwise the worker may have restarted since the last listing. */
  let isListingCurrent = false
  let stopped = false
  /** Whether runs could be started at the last review. */
  let wasReady = false
  let whenEmpty: (() => void) | undefined
  let evacuatedZones: ReadonlySet<string> = new Set()

  /**
   * An extension applies to all runs on the worker. It would keep a run that cannot be stopped alive beyond the time
   * after which other processes start its task again.
   */
  const mayExtendLease = (): boolean => !ledger.hasUnconfirmedStop()
  /** Lease with which a run is started now. */
  const orderLease = (): runs.LeaseRequest | undefined => {
    if (!lease.allowsRuns()) return undefined
    return mayExtendLease() ? lease.next() : lease.latest()
  }

  const isReady = (): boolean => worker !== undefined && !worker.leaving && whenEmpty === undefined &&
    listedBornMs === worker.bornMs && !ledger.hasUnrecognised() && orderLease() !== undefined &&
    timers.monotonic() - listedAt < UNRESPONSIVE_AFTER_MS

  const isEvacuated = (): boolean => worker !== undefined && evacuatedZones.has(worker.zone)

  const updates = capacityUpdates.create({
    timers,
    currentCapacity: () => {
      if (!isReady()) return { free: runs.NO_RESOURCES }
      return isEvacuated() ? { worker, free: runs.NO_RESOURCES, evacuated: true } : { worker, free: ledger.free() }
    },
    send
  })

  /** Sends the message, with the free capacity, to the entry that ordered the run on the entry's current link. */
  const sendToEntry = (run: runLedger.Run, message: runs.FromAgent): void => {
    for (const [link, entry] of entryByLink) {
      if (entry !== run.entry) continue
      send(link, message)
      return updates.piggyback(link)
    }
  }
  const finish = (run: runLedger.Run, end: runs.RunEnd, reason?: string): void => {
    if (ledger.get(run.task) !== run) return
    ledger.remove(run)
    const now = timers.monotonic()
    const ranMs = Math.round(now - run.orderedAt)
    const stopMs = run.stopRequestedAt === undefined ? undefined : Math.round(now - run.stopRequestedAt)
    onRunEnd(end, ranMs)
    // Its entry may have started the task elsewhere.
    const writeLog = stopMs !== undefined && stopMs > leases.STOPPED_AFTER_MS ? log.warn : log.info
    writeLog('run-end', { task: run.task, run: run.run, end, ranMs, stopMs, reason })
    updates.runEnded()
    sendToEntry(run, { kind: 'ended', task: run.task, order: run.order, run: run.run, end, ranMs, reason })
    startDeferred(run.task)
    if (whenEmpty && ledger.size() === 0) whenEmpty()
  }
  /** Starts the first order that waited for the end of the task's run; one that can't start now is refused. */
  const startDeferred = (task: runs.TaskId): void => {
    if (!deferred.has(task)) return
    closeExpiredLinks()
    for (let next = deferred.next(task); next; next = deferred.next(task)) {
      const reason = refusalOf(next.requested)
      if (reason === undefined) {
        startRun(next.link, next.spec, next.requested)
        return
      }
      log.info('run-refused', { task, reason })
      // The entry must learn that an earlier run of the task has started.
      refuse(next.link, next.requested, 'earlier-run')
    }
  }
  const refuse = (link: number, { task, order }: runs.RequestedTask, reason: string): void => {
    log.info('run-refused', { task, reason })
    send(link, { kind: 'ended', task, order, run: 0, end: 'unstarted', ranMs: 0, reason })
    // Deferred until the rest of the start message has been processed, but still in the same frame.
    queueMicrotask(() => updates.piggyback(link))
  }

  /** Makes sure that the run ends: the worker's lease is not extended until the stop is confirmed. */
  const endRun = (run: runLedger.Run): void => {
    run.stopRequestedAt ??= timers.monotonic()
    stopRun(run)
  }
  const stopRun = async (run: runLedger.Run): Promise<void> => {
    if (run.state !== 'uncertain') run.state = 'stopping'
    if (run.stopPending || run.stopConfirmedAt !== undefined) return
    run.stopPending = true
    const tokenUsed = token.current()
    const reply = await calls.stop(worker?.id, run, tokenUsed, CALL_TIMEOUT_MS)
    run.stopPending = false
    if (ledger.get(run.task) !== run) return
    // The incarnation of the worker that confirmed the stop may be gone.
    if (tokenUsed !== token.current()) return stopRun(run)
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
      // Otherwise the entry would send the order here again until the next listing.
      if (reply.reason === 'other-life') listedAt = -Infinity
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

  const refusalOf = ({ amount }: runs.RequestedTask): string | undefined => {
    if (isEvacuated()) return 'evacuated'
    if (!isReady()) return 'not-ready'
    return runs.fits(amount, ledger.free()) ? undefined : 'no-room'
  }
  const start = (link: number, spec: string, requested: runs.RequestedTask): void => {
    if (ledger.get(requested.task)) return deferred.add({ link, spec, requested })
    const reason = refusalOf(requested)
    if (reason === undefined) startRun(link, spec, requested)
    else refuse(link, requested, reason)
  }
  const startRun = async (link: number, spec: string, requested: runs.RequestedTask): Promise<void> => {
    // Both are known while the agent is ready.
    const request = orderLease()!
    const target = worker!.id
    const run = runLedger.createRun({
      task: requested.task,
      run: ledger.nextRun(requested.task, requested.run),
      entry: entryByLink.get(link),
      order: requested.order,
      amount: requested.amount,
      state: 'ordered'
    }, timers.monotonic())
    ledger.add(run)
    lease.recordRequest(request)
    log.info('run-order', { task: run.task, run: run.run, link, freeMillicores: ledger.free().millicores })
    const order = { task: run.task, run: run.run, spec, lease: request, token: token.current() }
    onStartReply(run, await calls.start(target, order, CALL_TIMEOUT_MS))
  }

  /**
   * Handles a new worker incarnation: no earlier run is left, and late orders must have no effect. Under the same id,
   * orders that no listing shows yet may have started or still start on it, since it has not seen a new fencing token.
   */
  const onWorkerRestart = (isSameId: boolean): void => {
    log.info('worker-restarted', { formerBornMs: listedBornMs, isSameId, runs: ledger.size() })
    lastSeen = 0
    listedBornMs = undefined
    if (isSameId) lease.restarted()
    else lease.reset()
    token.advance()
    for (const run of [...ledger.all()]) {
      if (!isSameId || run.isListed) {
        finish(run, 'lapsed', 'worker restarted')
        continue
      }
      Object.assign(run, { stopConfirmedAt: undefined, outlivedWorker: true })
      if (run.state === 'ordered') run.state = 'uncertain'
      if (run.state !== 'running') stopRun(run)
    }
    updates.changed()
  }

  /**
   * Whether the answer may come from an incarnation before the one whose runs the ledger holds: responses on different
   * connections may overtake each other. Start times don't tell, since the time of day may have been set back.
   */
  const mayBeOutdated = ({ bornMs }: runs.Listing, { askedAt }: workerVerification.Inquiry): boolean =>
    bornMs !== listedBornMs && askedAt < acceptedAt

  const onListing = (listing: runs.Listing, inquiry: workerVerification.Inquiry): void => {
    if (mayBeOutdated(listing, inquiry)) return
    const { bornMs, running, ended } = listing
    const { askedAt, tokenUsed } = inquiry
    if (listedBornMs !== undefined && bornMs !== listedBornMs) onWorkerRestart(true)
    const wasNotReady = !isReady()
    listedBornMs = bornMs
    listedAt = timers.monotonic()
    acceptedAt = listedAt
    lease.recordClock(listing)
    if (tokenUsed === token.current()) lease.fenced()
    const present = new Map(running.map((run) => [run.task, run.run]))
    for (const endedRun of ended) {
      if (endedRun.number <= lastSeen) continue
      lastSeen = endedRun.number
      const run = ledger.get(endedRun.task)
      if (run && run.run === endedRun.run) finish(run, endedRun.end)
    }
    for (const run of [...ledger.all()]) {
      if (present.get(run.task) === run.run) {
        run.isListed = true
        continue
      }
      if (run.state === 'running' && run.startConfirmedAt! <= askedAt) finish(run, 'lapsed', 'not listed')
      if (run.stopConfirmedAt !== undefined && run.stopConfirmedAt <= askedAt) {
        if (run.outlivedWorker) finish(run, 'lapsed', 'worker restarted')
        else finish(run, 'unstarted', 'stopped early')
      }
    }
    for (const { task, run } of running) if (ledger.get(task)?.run !== run) stopUnrecognised(task, run)
    if (wasNotReady) updates.changed()
  }

  /** Stops a run that this incarnation of the agent did not order or no longer tracks. */
  const stopUnrecognised = (task: runs.TaskId, run: number): void => {
    if (ledger.get(task)) return
    log.warn('run-unknown', { task, run })
    const unrecognised = runLedger.createRun({
      task, run, entry: undefined, order: 0, amount: runs.NO_RESOURCES, state: 'stopping'
    }, timers.monotonic())
    ledger.add(unrecognised)
    endRun(unrecognised)
    updates.changed()
  }

  const describeWorker = (described: runs.Worker): void => {
    worker = described
    ledger.resize(described.capacity)
    updates.changed()
    onWorkerChange()
  }
  const askWorker = async ({ id, bornMs }: runs.Worker): Promise<workerVerification.Verdict> => {
    const inquiry = { askedAt: timers.monotonic(), tokenUsed: token.current() }
    const request = { token: inquiry.tokenUsed, lastSeen: 0, lease: undefined, waitMs: 0, timeoutMs: LIST_GRACE_MS }
    const reply = await calls.list(id, request)
    if (reply.kind === 'refused') {
      onListRefused(reply.reason, inquiry.tokenUsed)
      return { kind: reply.reason === 'other-life' ? 'denied' : 'unclear' }
    }
    if (reply.kind === 'silent') return { kind: 'unclear' }
    return reply.listing.bornMs === bornMs ? { kind: 'confirmed', listing: reply.listing, inquiry } : { kind: 'denied' }
  }
  const onWorkerConfirmed = (
    confirmed: runs.Worker, { listing, inquiry }: workerVerification.Verdict & { kind: 'confirmed' }
  ): void => {
    const { id, bornMs, capacity } = confirmed
    // The worker may have restarted again since it answered.
    if (mayBeOutdated(listing, inquiry)) return verification.add(confirmed)
    log.info('worker', { worker: id, bornMs, millicores: capacity.millicores })
    const isSameId = worker === undefined || worker.id === id
    if (listedBornMs !== undefined && (listedBornMs !== bornMs || !isSameId)) onWorkerRestart(worker?.id === id)
    describeWorker(confirmed)
    onListing(listing, inquiry)
  }
  const verification = workerVerification.create({ timers, log, ask: askWorker, onConfirmed: onWorkerConfirmed })

  const onListRefused = (reason: string, tokenUsed: number): void => {
    if (reason === 'outdated-token' && tokenUsed === token.current()) token.superseded()
  }
  const list = async (waitLimitMs: number): Promise<void> => {
    closeExpiredLinks()
    const askedAt = timers.monotonic()
    const tokenUsed = token.current()
    // An unresponsive worker may still receive an extension, which would keep its runs uncertain for longer.
    const mayWait = isListingCurrent && askedAt - listedAt < UNRESPONSIVE_AFTER_MS
    const request = mayWait && mayExtendLease() ? lease.next() : undefined
    if (request !== undefined) lease.recordRequest(request)
    // The first listing of an incarnation must not wait: it provides the worker's clock.
    const waitMs = lease.next() === undefined || !mayWait || ledger.hasUnrecognised() ? 0 : waitLimitMs
    const timeoutMs = LIST_WAIT_MS + LIST_GRACE_MS
    const reply = await calls.list(worker?.id, { token: tokenUsed, lastSeen, lease: request, waitMs, timeoutMs })
    if (stopped) return
    isListingCurrent = reply.kind === 'listing'
    if (reply.kind === 'listing') return onListing(reply.listing, { askedAt, tokenUsed })
    if (reply.kind === 'refused') onListRefused(reply.reason, tokenUsed)
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
    for (const run of [...ledger.all()]) {
      if (isUnresponsive && now > lease.expiredBy()) finish(run, 'lapsed', 'lease expired')
      else if (run.state === 'uncertain' || run.state === 'stopping') {
        hasUnsettled = true
        stopRun(run)
      }
    }
    timers.after(hasUnsettled || isUnresponsive || !lease.allowsRuns() ? REVIEW_MS : IDLE_REVIEW_MS, review)
    // When the worker becomes unresponsive, no other event triggers an update.
    if (wasReady !== isReady()) updates.changed()
    wasReady = isReady()
  }

  timers.after(0, listContinuously)
  timers.after(REVIEW_MS, review)
  return {
    workerAnnounced: (announced, clockMs) => {
      if (worker?.id !== announced.id || worker.bornMs !== announced.bornMs) return verification.add(announced)
      // A worker that leaves does not come back in this incarnation; the announcement was delayed.
      const leaving = announced.leaving || worker.leaving
      if (worker.leaving !== leaving) log.info('worker-leaving', { leaving })
      if (clockMs !== undefined && lease.next() === undefined &&
        listedBornMs === announced.bornMs) lease.recordClock({ clockMs, bornMs: announced.bornMs })
      describeWorker({ ...announced, leaving })
    },
    workerGone: (id) => {
      if (worker?.id !== id) return
      log.info('worker-gone', { worker: id })
      describeWorker({ ...worker, leaving: true })
    },
    linkUp: (link, entry) => {
      entryByLink.set(link, entry)
      updates.up(link)
    },
    linkDown: (link) => {
      const entry = entryByLink.get(link)
      entryByLink.delete(link)
      updates.down(link)
      deferred.dropLink(link)
      for (const run of ledger.all()) if (entry !== undefined && run.entry === entry) endRun(run)
    },
    receive: (link, message) => {
      if (message.kind === 'start') closeExpiredLinks()
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
        for (const { requested } of deferred.take(task, link)) refuse(link, requested, 'still-running')
        if (run?.entry === entry) endRun(run)
      }
    },
    evacuate: (zones) => {
      evacuatedZones = zones
      updates.changed()
    },
    drain: (done) => {
      whenEmpty = done
      updates.changed()
      if (ledger.size() === 0) timers.after(0, done)
    },
    resumed: () => { listedAt = -Infinity },
    worker: () => worker,
    runCount: () => ledger.size(),
    runCountOf: (entry) => [...ledger.all()].filter((run) => run.entry === entry).length +
      deferred.count((link) => entryByLink.get(link) === entry),
    stop: () => {
      stopped = true
      verification.stop()
      updates.stop()
    }
  }
}
