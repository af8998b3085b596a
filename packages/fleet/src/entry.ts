import * as jobClaims from '@mustarddeck/job-claims'
import * as jobDispatcher from '@mustarddeck/job-dispatcher'
import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as runAgent from '@mustarddeck/run-agent'
import type * as runs from '@mustarddeck/runs'
import * as sessions from '@mustarddeck/sessions'
import * as cancellations from './cancellations.ts'
import type * as deployments from './deployment.ts'
import * as measurements from './measurements.ts'
import * as members from './member.ts'
import type * as messages from './messages.ts'
import type * as stores from './store.ts'

/** Interval in ms at which the entry checks its status and reports changes to peers. */
const STATUS_CHECK_MS = 300
/** Shortest interval in ms between reports of changed numbers of waiting jobs, which may be 2 s old. */
const WAITING_REPORT_MS = 1500
/** Delay in ms before a failed write of the entry's own row is retried. */
const ANNOUNCE_RETRY_MS = 300

/** Longest time in ms that runs of an entry may continue after the entry fell silent. */
const SILENT_LAPSE_MS = sessions.dialerTrustMs(sessions.PROMPT) + runAgent.STOPPED_AFTER_MS

export interface Options {
  name: string
  incarnation: string
  zone: string
  host: string
  port: number
  seeds: string[]
  store: stores.Store
  /** Expected run time of a task away from its data over that near it. */
  farFactor?: number
  timers: clock.Timers
  log: log.Log
  /** Returns the number of log lines left out, by event. */
  leftOutLines (): ReadonlyMap<string, number>
}

/** An entry: accepts jobs from callers and places them on the workers of linked agents. */
export interface Entry {
  jobs: Omit<jobDispatcher.Dispatcher, 'submit' | 'abandon' | 'cancel' | 'leave' | 'evacuate'>
  /** Runs the job here, or waits for its outcome if another entry runs it. */
  submit: jobClaims.Claims['submit']
  /** The caller no longer waits. */
  abandon: jobClaims.Claims['abandon']
  deployment (): deployments.Deployment | undefined
  /** True if the store has recently confirmed that the configuration is the newest. */
  isCurrent (): boolean
  /** True if the entry can serve callers. */
  isReady (): boolean
  /** Cancels a job on this entry and the others, and keeps it from running when its request arrives later. */
  cancel (key: runs.JobKey): Promise<cancellations.CancelOutcome>
  /** Number of other entries that are linked. */
  linkedEntries (): number
  /** Number of jobs of the queue that wait on this entry and the linked ones. */
  waiting (queue: jobDispatcher.QueueName): number
  /** Counters, gauges and response times of this process. */
  readonly measurements: Pick<measurements.Measurements<never>, 'export'>
  /** Ends and answers every job, and refuses new ones. */
  leave (): void
  /** Refuses jobs that can't end within `remainingMs`. */
  drain (remainingMs: number): void
  start (): Promise<void>
  stop (): void
}

export const create = (options: Options): Entry => {
  const { name, incarnation, zone, host, port, seeds, store, farFactor, timers, log, leftOutLines } = options
  const address = `${host}:${port}`
  const workerStates = new Map<number, 'absent' | 'usable' | 'evacuated'>()
  const waitingByLink = new Map<number, Record<string, number>>()
  /** Status last reported to the other entries; `at` is the monotonic ms of that report. */
  let lastReport = { storeReachable: false, text: '', at: -Infinity }
  let draining = false
  let stopped = false

  const jobs = jobDispatcher.create({
    timers,
    log,
    zone,
    farFactor,
    lapseAfterMs: runAgent.STOPPED_AFTER_MS,
    send: (link, message) => links.send(link, message),
    onJobEnd: ({ key, queue }, outcome, tookMs) => {
      claims.jobEnded(key, outcome)
      measured.count('mustarddeck_jobs_ended_total', outcome.kind)
      if ('reason' in outcome) measured.count('mustarddeck_refusals_total', outcome.reason)
      measured.time(tookMs, queue.name)
    },
    onRefusal: (cause) => measured.count('mustarddeck_admission_refusals_total', cause),
    onRefusedOrder: (reason) => measured.count('mustarddeck_refused_orders_total', reason),
    onRackWait: (outcome) => measured.count('mustarddeck_rack_waits_total', outcome),
    onRotation: (event) => measured.count('mustarddeck_worker_rotations_total', event),
    onLateRun: (kind) => measured.count('mustarddeck_late_runs_total', kind)
  })
  const claims = jobClaims.create({
    timers,
    log,
    incarnation,
    address,
    jobs,
    lapseAfterMs: runAgent.STOPPED_AFTER_MS,
    silentLapseMs: SILENT_LAPSE_MS,
    send: (link, message) => links.send(link, message)
  })
  const cancelHere = (key: runs.JobKey): boolean => jobs.cancel(key) || claims.cancel(key)
  const receive = (session: sessions.Session, message: messages.Message): void => {
    switch (message.kind) {
      case 'room':
        workerStates.set(session.id, !message.worker ? 'absent' : message.evacuated ? 'evacuated' : 'usable')
        return jobs.receive(session.id, message)
      case 'ended':
        return jobs.receive(session.id, message)
      case 'status':
        waitingByLink.set(session.id, message.waiting)
        return
      case 'cancel':
        return links.send(session.id, {
          kind: 'cancel-reply', request: message.request, known: cancelHere(message.key)
        })
      case 'cancel-reply':
        return remoteCancellations.onReply(message.request, message.known)
      case 'claim':
      case 'claim-reply':
      case 'join':
      case 'join-state':
      case 'leave':
      case 'held':
      case 'cancelled':
        return claims.receive(session.id, message)
      default:
        log.warn('message-unexpected', { kind: message.kind, peer: session.peer.name })
    }
  }
  const member = members.create({
    hello: { role: 'entry', name, life: incarnation, address },
    seeds,
    store,
    timers,
    log,
    removesStaleRows: true,
    maxLinks: Infinity,
    isIdle: () => false,
    followsStore: () => true,
    onEvacuations: (zones) => jobs.evacuate(zones),
    onPause: ({ gapMs, uncountedMs }) => {
      jobs.suspended(uncountedMs)
      claims.suspended(gapMs)
    },
    up: ({ id, peer }) => {
      links.send(id, currentStatus())
      if (peer.role === 'agent') jobs.agentUp(id, peer.name, peer.life)
      else claims.entryUp(id, peer.life, peer.address)
    },
    message: receive,
    down: ({ id, peer }, trustedUntil) => {
      workerStates.delete(id)
      waitingByLink.delete(id)
      if (peer.role === 'agent') jobs.agentDown(id, trustedUntil)
      else claims.entryDown(id)
    }
  })
  const { links, follower, peers } = member

  const announce = async (): Promise<void> => {
    const result = await store.write('entries', { key: name, value: address })
    if (result.kind === 'ok' || stopped) return
    log.warn('entry-unannounced', { reason: result.error.kind })
    timers.after(ANNOUNCE_RETRY_MS, announce)
  }
  const otherEntries = (): sessions.Session[] =>
    // Two entries that dial each other briefly have two links.
    [...new Map([...peers.links().values()].map((session) => [session.peer.life, session])).values()]
      .filter(({ peer }) => peer.role === 'entry')
  const remoteCancellations = cancellations.create({
    timers,
    log,
    send: (link, message) => links.send(link, message),
    others: () => otherEntries().map(({ id }) => id)
  })
  const currentStatus = (): messages.Message & { kind: 'status' } => (
    { kind: 'status', storeReachable: follower.isCurrent(), waiting: Object.fromEntries(jobs.waiting()) })
  /** Reports changes of the status. Each new peer gets the current one. */
  const reportStatus = (): void => {
    if (stopped) return
    timers.after(STATUS_CHECK_MS, reportStatus)
    const status = currentStatus()
    const text = JSON.stringify(status)
    const now = timers.monotonic()
    if (status.storeReachable !== lastReport.storeReachable) peers.broadcast(status)
    else if (text === lastReport.text || now - lastReport.at < WAITING_REPORT_MS) return
    // Agents don't need the numbers of waiting jobs.
    else for (const { id } of otherEntries()) links.send(id, status)
    lastReport = { storeReachable: status.storeReachable, text, at: now }
  }

  const measured = measurements.create({
    counters: {
      mustarddeck_jobs_ended_total: { help: 'Jobs that ended, by outcome', label: 'outcome' },
      mustarddeck_refusals_total: { help: 'Answers without a result, by reason', label: 'reason' },
      mustarddeck_admission_refusals_total: { help: 'Jobs refused for overload, by cause', label: 'cause' },
      mustarddeck_refused_orders_total: { help: 'Orders after which the task was not started, by reason', label: 'reason' },
      mustarddeck_rack_waits_total: { help: 'Waits of tasks for room on their rack, by outcome', label: 'outcome' },
      mustarddeck_worker_rotations_total: { help: 'Workers that left or returned to rotation, by event', label: 'event' },
      mustarddeck_late_runs_total: { help: 'Runs that were longer than expected, and those stopped for it, by kind', label: 'kind' }
    },
    gauges: {
      mustarddeck_waiting_jobs: {
        help: 'Jobs of which nothing has begun', read: () => [...jobs.waiting().values()].reduce((sum, count) => sum + count, 0)
      },
      mustarddeck_linked_agents: {
        help: 'Agents with a link',
        read: () => [...peers.links().values()].filter(({ peer }) => peer.role === 'agent').length
      },
      mustarddeck_linked_entries: { help: 'Other entries with a link', read: () => otherEntries().length },
      mustarddeck_usable_workers: {
        help: 'Workers on which something can be started', read: () => [...workerStates.values()].filter((state) => state === 'usable').length
      },
      mustarddeck_evacuated_zones: members.evacuatedZonesGauge(() => follower),
      mustarddeck_configuration_version: {
        help: 'Version in force; -1 before the first one', read: () => follower.current()?.version ?? -1
      },
      mustarddeck_configuration_current: {
        help: '1 while the store has confirmed the version lately', read: () => follower.isCurrent() ? 1 : 0
      }
    },
    times: { name: 'mustarddeck_job', help: 'Time from arrival to answer', label: 'queue' },
    leftOutLines
  })

  return {
    jobs,
    submit: claims.submit,
    abandon: claims.abandon,
    measurements: measured,
    deployment: () => follower.current(),
    isCurrent: () => follower.isCurrent(),
    // An entry whose workers are all evacuated must tell its callers so.
    isReady: () => !draining && follower.current() !== undefined &&
      [...workerStates.values()].some((state) => state !== 'absent'),
    cancel: (key) => {
      const isKnown = cancelHere(key)
      // Requests for the job may arrive at the others after this process has ended.
      const elsewhere = remoteCancellations.ask(key)
      return isKnown ? Promise.resolve('cancelled') : elsewhere
    },
    linkedEntries: () => otherEntries().length,
    waiting: (queue) => {
      let count = jobs.waiting().get(queue) ?? 0
      for (const { id } of otherEntries()) count += waitingByLink.get(id)?.[queue] ?? 0
      return count
    },
    leave: () => {
      claims.leave()
      jobs.leave()
    },
    drain: (remainingMs) => {
      draining = true
      jobs.drain(remainingMs)
    },
    start: async () => {
      await links.listen(host, port)
      announce()
      timers.after(STATUS_CHECK_MS, reportStatus)
    },
    stop: () => {
      stopped = true
      jobs.stop()
      member.stop()
    }
  }
}
