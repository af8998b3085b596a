import type * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as runAgent from '@mustarddeck/run-agent'
import type * as runs from '@mustarddeck/runs'
import * as follow from './follow.ts'
import * as measurements from './measurements.ts'
import * as members from './member.ts'
import type * as stores from './store.ts'
import * as workerRows from './worker-row.ts'

/** Delay in ms before a failed write of the worker's row is retried. */
const WORKER_ROW_RETRY_MS = 500
/** Time in ms after the start during which the agent relies on entries to follow the store. */
const FOLLOW_STORE_AFTER_MS = 2000

/** Entries that an agent links to, so that its number of links doesn't grow with the fleet. */
const MAX_ENTRY_LINKS = 4

export interface Options {
  name: string
  incarnation: string
  seeds: string[]
  store: stores.Store
  calls: runs.WorkerCalls
  /** Longest lease in ms that the worker grants. */
  maxLeaseMs: number
  timers: clock.Timers
  log: logging.Log
  /** Returns the number of log lines left out, by event. */
  leftOutLines (): ReadonlyMap<string, number>
}

/** The agent of one worker: executes runs for the entries that it discovers. */
export interface AgentProcess {
  runs: runAgent.Agent
  /** Counters, gauges and run times of this process. */
  readonly measurements: Pick<measurements.Measurements<never>, 'export'>
  /** Handles an announcement of the worker. */
  announced (worker: runs.Worker, clockMs: number | undefined): void
  withdrawn (worker: runs.WorkerId): void
  /** Starts no more runs and resolves once the current ones have ended. */
  drain (): Promise<void>
  stop (): void
}

export const create = (options: Options): AgentProcess => {
  const { name, incarnation, seeds, store, calls, maxLeaseMs, timers, log, leftOutLines } = options
  const storeReachable = new Map<number, boolean>()
  const startedAt = timers.monotonic()
  let storedRow = ''
  let stopped = false

  const agent = runAgent.create({
    calls,
    timers,
    maxLeaseMs,
    log,
    send: (link, message) => links.send(link, message),
    closeExpiredLinks: () => links.closeExpired(),
    onWorkerChange: () => { storeWorker() },
    onRunEnd: (end, ranMs) => {
      measured.count('mustarddeck_runs_ended_total', end)
      measured.time(ranMs, end)
    }
  })
  const measured = measurements.create({
    counters: { mustarddeck_runs_ended_total: { help: 'Runs that ended, by end', label: 'end' } },
    gauges: {
      mustarddeck_links: { help: 'Links to entries that are up', read: () => member.peers.links().size },
      mustarddeck_evacuated_zones: members.evacuatedZonesGauge(() => member.follower),
      mustarddeck_runs: { help: 'Runs that hold room on the worker', read: () => agent.runCount() }
    },
    times: { name: 'mustarddeck_run', help: 'Time from order to end of a run', label: 'end' },
    leftOutLines
  })
  const member = members.create({
    hello: { role: 'agent', name, life: incarnation, address: '' },
    seeds,
    store,
    timers,
    log,
    removesStaleRows: false,
    maxLinks: MAX_ENTRY_LINKS,
    isIdle: ({ peer }) => agent.runCountOf(peer.life) === 0,
    // Entries follow the store. If no linked entry reaches it, the agent follows it and shares the configuration.
    followsStore: () => timers.monotonic() - startedAt > FOLLOW_STORE_AFTER_MS &&
      ![...storeReachable.values()].includes(true),
    onEvacuations: (zones) => agent.evacuate(zones),
    onPause: () => agent.resumed(),
    up: ({ id, peer }) => agent.linkUp(id, peer.life),
    message: ({ id, peer }, message) => {
      if (message.kind === 'start' || message.kind === 'stop' || message.kind === 'want') agent.receive(id, message)
      else if (message.kind === 'status') storeReachable.set(id, message.storeReachable)
      else log.warn('message-unexpected', { kind: message.kind, peer: peer.name })
    },
    down: ({ id }) => {
      storeReachable.delete(id)
      agent.linkDown(id)
    }
  })
  const { links } = member

  const storeWorker = async (): Promise<void> => {
    const value = JSON.stringify(agent.worker())
    if (value === storedRow || stopped) return
    const result = await store.write('workers', { key: name, value })
    if (result.kind === 'ok') storedRow = value
    else timers.after(WORKER_ROW_RETRY_MS, storeWorker)
  }
  /** Restores the worker from the row of an earlier incarnation, so that the agent needn't wait for an announcement. */
  const restoreWorker = async (): Promise<void> => {
    const result = await follow.hedged(() => store.row('workers', name), timers)
    if (result.kind === 'error') return log.warn('worker-not-recalled', { reason: result.error.kind })
    if (!result.value || agent.worker()) return
    const worker = workerRows.parse(result.value.value, timers.now().getTime())
    if (!worker) return log.warn('worker-not-recalled', { reason: 'unreadable row' })
    storedRow = result.value.value
    agent.workerAnnounced(worker, undefined)
  }
  logging.guardAsync(log, 'worker-row', restoreWorker)

  return {
    runs: agent,
    measurements: measured,
    announced: agent.workerAnnounced,
    withdrawn: agent.workerGone,
    drain: () => new Promise((resolve) => agent.drain(resolve)),
    stop: () => {
      stopped = true
      agent.stop()
      member.stop()
    }
  }
}
