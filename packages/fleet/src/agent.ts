import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as runAgent from '@mustarddeck/run-agent'
import type * as runs from '@mustarddeck/runs'
import * as follow from './follow.ts'
import * as measurements from './measurements.ts'
import * as members from './member.ts'
import type * as stores from './store.ts'
import * as workerRows from './worker-row.ts'

/** Time in ms before the write of the worker's row is tried again. */
const KEEP_RETRY_MS = 500
/** Time in ms after the start in which entries are expected to follow the store on behalf of the agent. */
const FOLLOW_AFTER_MS = 2000

/** Entries that an agent serves at a time: each entry has a part of the fleet, and links do not grow with its size. */
const LINKS = 4

export interface Options {
  name: string
  life: string
  seeds: string[]
  store: stores.Store
  calls: runs.WorkerCalls
  timers: clock.Timers
  log: log.Log
  /** Lines that were left out of the log, by event. */
  leftOutLines (): ReadonlyMap<string, number>
}

/** The agent of one worker: serves the entries that it finds. */
export interface AgentProcess {
  runs: runAgent.Agent
  /** Counters, gauges and run times of this process. */
  readonly measured: Pick<measurements.Measurements<never>, 'export'>
  /** The worker has told about itself. */
  announced (worker: runs.Worker, clockMs: number | undefined): void
  withdrawn (worker: runs.WorkerId): void
  /** Starts nothing more and resolves when nothing runs any more. */
  drain (): Promise<void>
  stop (): void
}

export const create = (options: Options): AgentProcess => {
  const { name, life, seeds, store, calls, timers, log, leftOutLines } = options
  const storeReachable = new Map<number, boolean>()
  const startedAt = timers.monotonic()
  let kept = ''
  let stopped = false

  const agent = runAgent.create({
    calls,
    timers,
    log,
    send: (link, message) => links.send(link, message),
    onRunEnd: (end, ranMs) => {
      measured.count('mustarddeck_runs_ended_total', end)
      measured.time(ranMs, end)
    }
  })
  const measured = measurements.create({
    counters: { mustarddeck_runs_ended_total: { help: 'Runs that ended, by end', label: 'end' } },
    gauges: {
      mustarddeck_links: { help: 'Links to entries that are up', read: () => member.peers.links().size },
      mustarddeck_runs: { help: 'Runs that hold room on the worker', read: () => agent.size() }
    },
    times: { name: 'mustarddeck_run', help: 'Time from order to end of a run', label: 'end' },
    leftOutLines
  })
  const member = members.create({
    hello: { role: 'agent', name, life, address: '' },
    seeds,
    store,
    timers,
    log,
    tidies: false,
    mostLinks: LINKS,
    isIdle: ({ peer }) => agent.sizeOf(peer.life) === 0,
    // Entries follow the store; where none of them reaches it, agents do, and pass on what they read.
    followsStore: () => timers.monotonic() - startedAt > FOLLOW_AFTER_MS &&
      ![...storeReachable.values()].includes(true),
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

  const keep = async (): Promise<void> => {
    const value = JSON.stringify(agent.worker())
    if (value === kept || stopped) return
    const result = await store.write('workers', { key: name, value })
    if (result.kind === 'ok') kept = value
    else timers.after(KEEP_RETRY_MS, keep)
  }
  /** What the former life of this agent knew of its worker spares the wait for the next announcement. */
  const recall = async (): Promise<void> => {
    const result = await follow.hedged(() => store.row('workers', name), timers)
    if (result.kind === 'error') return log.warn('worker-not-recalled', { reason: result.error.kind })
    if (!result.value || agent.worker()) return
    const worker = workerRows.parse(result.value.value)
    if (!worker) return log.warn('worker-not-recalled', { reason: 'unreadable row' })
    kept = result.value.value
    agent.announced(worker, undefined)
  }
  recall()

  return {
    runs: agent,
    measured,
    announced: (worker, clockMs) => {
      agent.announced(worker, clockMs)
      keep()
    },
    withdrawn: (worker) => {
      agent.withdrawn(worker)
      keep()
    },
    drain: () => new Promise((resolve) => agent.drain(resolve)),
    stop: () => {
      stopped = true
      agent.stop()
      member.stop()
    }
  }
}
