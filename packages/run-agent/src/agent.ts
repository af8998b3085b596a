import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as runs from '@mustarddeck/runs'
import * as accounts from './books.ts'
import * as leases from './lease.ts'
import * as offers from './rooms.ts'

/** Time in ms after which an order or a stop without an answer counts as doubtful; a call takes a few ms. */
const CALL_TIMEOUT_MS = 80
/** Time in ms that a listing may wait for an end; a few of them fit into one lease. */
const LIST_WAIT_MS = 150
/** Time in ms beyond `LIST_WAIT_MS` after which a listing without an answer is overdue. */
const LIST_GRACE_MS = 100
/** Time in ms before a worker that refuses or does not answer is asked again. */
const LIST_PAUSE_MS = 60
/** Time in ms without a listing after which nothing is started on the worker. */
const QUIET_AFTER_MS = 350
/** Time in ms between reviews of doubtful runs and of the lease. */
const REVIEW_MS = 50

/** Starts, stops and accounts for everything that runs on one worker. */
export interface Agent {
  /** The worker has told about itself. */
  announced (worker: runs.Worker, clockMs: number | undefined): void
  /** The worker with this id has gone. */
  withdrawn (worker: runs.WorkerId): void
  /** The entry, a life of its process, may give orders on this link. */
  linkUp (link: number, entry: string): void
  /** The entry is gone or can no longer trust this agent; its runs are stopped. */
  linkDown (link: number): void
  receive (link: number, message: runs.ToAgent): void
  /** Starts nothing more; `whenEmpty` is called when no run is left. */
  drain (whenEmpty: () => void): void
  /** The process stood still: calls that were under way have no answer that can be relied on. */
  resumed (): void
  worker (): runs.Worker | undefined
  /** Runs that hold room on the worker. */
  size (): number
  /** Those that this life of an entry has ordered. */
  sizeOf (entry: string): number
  stop (): void
}

export interface Options {
  calls: runs.WorkerCalls
  timers: clock.Timers
  log: log.Log
  send (link: number, message: runs.FromAgent): void
  /** Called once for each run that held room. */
  onRunEnd (end: runs.RunEnd, ranMs: number): void
}

export const create = ({ calls, timers, log, send, onRunEnd }: Options): Agent => {
  const books = accounts.create()
  const lease = leases.create(timers)
  const token = leases.createToken(timers)
  /** Lives of entries by link. */
  const links = new Map<number, string>()
  let worker: runs.Worker | undefined
  /** Life whose runs the books hold, as the worker's listings name it. */
  let listedBornMs: number | undefined
  let lastSeen = 0
  let listedAt = -Infinity
  let stopped = false
  /** Whether something could be started at the last review. */
  let wasReady = false
  let whenEmpty: (() => void) | undefined

  const isReady = (): boolean => worker !== undefined && !worker.leaving && whenEmpty === undefined &&
    listedBornMs === worker.bornMs && !books.hasForeign() && timers.monotonic() - listedAt < QUIET_AFTER_MS

  const rooms = offers.create({
    timers,
    room: () => isReady() ? { worker, free: books.free() } : { free: runs.NOTHING },
    send
  })

  /** Tells the entry that wants the run, on whichever link it has now, and what is free then. */
  const tell = (run: accounts.Run, message: runs.FromAgent): void => {
    for (const [link, entry] of links) {
      if (entry !== run.entry) continue
      send(link, message)
      return rooms.join(link)
    }
  }
  const finish = (run: accounts.Run, end: runs.RunEnd, reason?: string): void => {
    if (books.get(run.task) !== run) return
    books.remove(run)
    const ranMs = Math.round(timers.monotonic() - run.orderedAt)
    onRunEnd(end, ranMs)
    log.info('run-end', { task: run.task, run: run.run, end, ranMs, reason })
    rooms.freed()
    tell(run, { kind: 'ended', task: run.task, run: run.run, end, ranMs, reason })
    if (whenEmpty && books.size() === 0) whenEmpty()
  }
  const refuse = (link: number, task: runs.TaskId, reason: string): void => {
    log.info('run-refused', { task, reason })
    send(link, { kind: 'ended', task, run: 0, end: 'unstarted', ranMs: 0, reason })
    // Once the rest of the message has been accounted for, and still in the same frame.
    queueMicrotask(() => rooms.join(link))
  }

  const stopRun = async (run: accounts.Run): Promise<void> => {
    if (run.state !== 'doubtful') run.state = 'stopping'
    if (run.stopCall || run.stopConfirmedAt !== undefined) return
    run.stopCall = true
    const reply = await calls.stop(worker?.id, run, token.current(), CALL_TIMEOUT_MS)
    run.stopCall = false
    // Listings that were asked for from now on tell whether the run is there.
    if (reply.kind === 'acknowledged') {
      run.stopConfirmedAt = timers.monotonic()
      // The listing that waits for an end was asked for before, and settles nothing for this run.
      if (run.state === 'doubtful') list(0)
    } else log.warn('stop-unanswered', { task: run.task, run: run.run, reply: reply.kind })
  }

  const onStartReply = (run: accounts.Run, reply: runs.StartReply): void => {
    if (books.get(run.task) !== run) return
    if (reply.kind === 'refused') {
      if (reply.reason === 'outdated-token') token.overtaken()
      return finish(run, 'unstarted', reply.reason)
    }
    if (reply.kind === 'started') {
      if (run.state === 'ordered') run.state = 'running'
      return
    }
    log.warn('start-unanswered', { task: run.task, run: run.run })
    if (run.state === 'ordered') run.state = 'doubtful'
    stopRun(run)
  }

  const start = async (link: number, spec: string, wanted: runs.Wanted): Promise<void> => {
    if (!isReady() || !worker) return refuse(link, wanted.task, 'not-ready')
    if (books.get(wanted.task)) return refuse(link, wanted.task, 'still-running')
    if (!runs.fits(wanted.amount, books.free())) return refuse(link, wanted.task, 'no-room')
    const leaseUntilMs = lease.next()
    if (leaseUntilMs === undefined) return refuse(link, wanted.task, 'not-ready')
    const run: accounts.Run = {
      task: wanted.task,
      run: books.nextRun(wanted.task, wanted.run),
      entry: links.get(link),
      amount: wanted.amount,
      state: 'ordered',
      orderedAt: timers.monotonic(),
      stopConfirmedAt: undefined,
      stopCall: false
    }
    books.add(run)
    lease.asked(leaseUntilMs)
    log.info('run-order', { task: run.task, run: run.run, link, freeMillicores: books.free().millicores })
    const order = { task: run.task, run: run.run, spec, leaseUntilMs, token: token.current() }
    onStartReply(run, await calls.start(worker.id, order, CALL_TIMEOUT_MS))
  }

  /** The worker has begun another life: nothing of the earlier one runs, and its late orders are to be void. */
  const newLife = (): void => {
    for (const run of [...books.all()]) finish(run, 'lapsed', 'worker restarted')
    lastSeen = 0
    listedBornMs = undefined
    lease.reset()
    token.advance()
    rooms.changed()
  }

  const onListing = ({ clockMs, bornMs, running, ended }: runs.Listing, askedAt: number): void => {
    if (listedBornMs !== undefined && bornMs !== listedBornMs) newLife()
    if (worker && worker.bornMs > bornMs) return
    const wasQuiet = !isReady()
    listedBornMs = bornMs
    listedAt = timers.monotonic()
    lease.read(clockMs)
    const present = new Map(running.map((run) => [run.task, run.run]))
    for (const entry of ended) {
      if (entry.number <= lastSeen) continue
      lastSeen = entry.number
      const run = books.get(entry.task)
      if (run && run.run === entry.run) finish(run, entry.end)
    }
    for (const run of [...books.all()]) {
      if (present.get(run.task) === run.run) continue
      if (run.state === 'running' && run.orderedAt < askedAt - CALL_TIMEOUT_MS) finish(run, 'lapsed', 'not listed')
      if (run.stopConfirmedAt !== undefined && run.stopConfirmedAt <= askedAt) finish(run, 'unstarted', 'stopped early')
    }
    for (const { task, run } of running) if (books.get(task)?.run !== run) adopt(task, run)
    if (wasQuiet) rooms.changed()
  }

  /** A run that this life of the agent has not ordered, or had given up, is on the worker: it is stopped. */
  const adopt = (task: runs.TaskId, run: number): void => {
    if (books.get(task)) return
    log.warn('run-unknown', { task, run })
    const foreign: accounts.Run = {
      task,
      run,
      entry: undefined,
      amount: runs.NOTHING,
      state: 'stopping',
      orderedAt: timers.monotonic(),
      stopConfirmedAt: undefined,
      stopCall: false
    }
    books.add(foreign)
    stopRun(foreign)
    rooms.changed()
  }

  const list = async (longestWaitMs: number): Promise<void> => {
    const askedAt = timers.monotonic()
    const tokenUsed = token.current()
    // An extension that a silent worker may still receive would keep its runs in doubt for longer.
    const leaseUntilMs = askedAt - listedAt < QUIET_AFTER_MS ? lease.next() : undefined
    if (leaseUntilMs !== undefined) lease.asked(leaseUntilMs)
    // The first listing of a life must not wait: it tells the worker's clock.
    const waitMs = leaseUntilMs === undefined || books.hasForeign() ? 0 : longestWaitMs
    const timeoutMs = LIST_WAIT_MS + LIST_GRACE_MS
    const reply = await calls.list(worker?.id, { token: tokenUsed, lastSeen, leaseUntilMs, waitMs, timeoutMs })
    if (stopped) return
    if (reply.kind === 'listing') return onListing(reply.listing, askedAt)
    if (reply.kind === 'refused' && reply.reason === 'outdated-token' && tokenUsed === token.current()) {
      token.overtaken()
    }
    log.debug('listing-failed', { reply: reply.kind })
    await new Promise<void>((resolve) => timers.after(LIST_PAUSE_MS, resolve))
  }
  const listAgain = async (): Promise<void> => {
    await list(LIST_WAIT_MS)
    if (!stopped) listAgain()
  }

  const review = (): void => {
    if (stopped) return
    timers.after(REVIEW_MS, review)
    const now = timers.monotonic()
    for (const run of [...books.all()]) {
      if (now > lease.expiredBy() && now - listedAt > QUIET_AFTER_MS) finish(run, 'lapsed', 'lease expired')
      else if (run.state === 'doubtful' || run.state === 'stopping') stopRun(run)
    }
    // A worker that falls silent gives no other occasion to tell of it.
    if (wasReady !== isReady()) rooms.changed()
    wasReady = isReady()
  }

  timers.after(0, listAgain)
  timers.after(REVIEW_MS, review)
  return {
    announced: (next, clockMs) => {
      if (worker && next.bornMs < worker.bornMs) return log.warn('announcement-outdated', { worker: next.id })
      const changed = worker?.id !== next.id || worker.bornMs !== next.bornMs
      if (changed) log.info('worker', { worker: next.id, bornMs: next.bornMs, millicores: next.capacity.millicores })
      if (!changed && worker && worker.leaving !== next.leaving) log.info('worker-leaving', { leaving: next.leaving })
      if (changed && listedBornMs !== undefined && listedBornMs !== next.bornMs) newLife()
      worker = next
      books.resize(next.capacity)
      if (clockMs !== undefined && lease.next() === undefined && listedBornMs === next.bornMs) lease.read(clockMs)
      rooms.changed()
    },
    withdrawn: (id) => {
      if (worker?.id !== id) return
      log.info('worker-gone', { worker: id })
      worker = { ...worker, leaving: true }
      rooms.changed()
    },
    linkUp: (link, entry) => {
      links.set(link, entry)
      rooms.up(link)
    },
    linkDown: (link) => {
      const entry = links.get(link)
      links.delete(link)
      rooms.down(link)
      for (const run of books.all()) if (entry !== undefined && run.entry === entry) stopRun(run)
    },
    receive: (link, message) => {
      const entry = links.get(link)
      if (entry === undefined) return
      if (message.kind === 'want') return rooms.wants(link, message.urgency)
      if (message.kind === 'start') {
        rooms.ordered(link, message.sequence)
        for (const wanted of message.tasks) start(link, message.spec, wanted)
        return rooms.changed()
      }
      for (const task of message.tasks) {
        const run = books.get(task)
        if (run?.entry === entry) stopRun(run)
      }
    },
    drain: (done) => {
      whenEmpty = done
      rooms.changed()
      if (books.size() === 0) timers.after(0, done)
    },
    resumed: () => { listedAt = -Infinity },
    worker: () => worker,
    size: () => books.size(),
    sizeOf: (entry) => [...books.all()].filter((run) => run.entry === entry).length,
    stop: () => {
      stopped = true
      rooms.stop()
    }
  }
}
