import * as clock from '@mustarddeck/clock'
import * as configurations from '@mustarddeck/configuration'
import * as declarations from '@mustarddeck/declarations'
import * as entryCore from '@mustarddeck/entry-core'
import * as kernels from '@mustarddeck/kernel'
import * as link from '@mustarddeck/link'
import * as logs from '@mustarddeck/log'
import * as memberships from '@mustarddeck/membership'
import * as placement from '@mustarddeck/placement'
import * as platforms from '@mustarddeck/platform'
import type * as messages from '@mustarddeck/messages'
import type * as settings from '@mustarddeck/settings'
import type * as types from '@mustarddeck/types'
import * as drain from './drain.ts'
import * as drainPermits from './drain-permits.ts'
import * as drivers from './driver.ts'
import * as idSource from './id-source.ts'
import * as idempotency from './idempotency.ts'
import * as keySweeper from './key-sweeper.ts'
import * as metrics from './entry-metrics.ts'
import * as peerList from './peers.ts'
import * as pollers from './poller.ts'
import * as randomness from './randomness.ts'
import * as requestList from './requests.ts'
import * as limits from './http/limits.ts'
import * as servers from './http/server.ts'
import type * as status from './status.ts'

/** Interval in ms between reads of the agent membership. */
const MEMBERSHIP_INTERVAL_MS = 2000
/** Interval in ms between sweeps of one key partition; all 256 partitions take 64 minutes. */
const KEY_SWEEP_INTERVAL_MS = 15_000
/** Maximum time in ms that a request with an `Idempotency-Key` waits for the store. */
const KEY_BINDING_TIMEOUT_MS = 3000

/** Running entry process. */
export interface Entry {
  name: string
  /** Base URL of the HTTP interface. */
  url: string
  /** Address that peers and agents dial. */
  address: string
  /** Adds the address of another entry and keeps a link to it. */
  dial (address: string): void
  status (): status.Status
  /** Finishes jobs and requests in progress and hands outcomes over. Later calls return the same promise. */
  stop (): Promise<void>
  /** Resolves when the process has stopped, including after a drain by an operator. */
  ended: Promise<void>
}

export interface Options {
  log?: logs.Log
}

/** Returns the index of this entry among the configured ones, by which small quotas are divided. */
const findPosition = (own: string | undefined, entries: string[]): placement.Position => {
  const sorted = [...new Set(entries)].sort()
  const index = own === undefined ? -1 : sorted.indexOf(own)
  return index < 0 ? { index: 0, count: Math.max(1, sorted.length) } : { index, count: sorted.length }
}

const createLog = ({ name, log, links, operators }: settings.Entry): logs.Log => logs.create({
  level: log.level,
  fields: { role: 'entry', name },
  secrets: [links.key, ...operators ? [operators.token] : []]
})

export const start = async (settings: settings.Entry, options: Options = {}): Promise<Entry> => {
  const { name, failureDomain } = settings
  const log = options.log ?? createLog(settings)
  const timers = clock.createSystem()
  const random = randomness.create()
  const kernel = kernels.create()
  const peers = peerList.create()
  const platform = platforms.createClient({ url: settings.platform.url, requestLimitMs: settings.platform.timeoutMs })
  const registry = memberships.create({ table: platform.table, retry: { timers, random } })
  const configuredAddress = settings.links.address ?? `${settings.links.host}:${settings.links.port}`
  const core = entryCore.create({
    settings: { name: name as types.EntryName, ...settings.limits },
    placement: placement.create({ random, position: findPosition(configuredAddress, settings.links.entries) }),
    random
  })
  const incarnation = core.status().incarnation
  let address = configuredAddress
  let stopping: Promise<void> | undefined
  let resolveEnded = (): void => {}
  const ended = new Promise<void>((resolve) => { resolveEnded = resolve })

  const hello = (): messages.Hello => ({
    kind: 'hello',
    version: 1,
    role: 'entry',
    name,
    incarnation,
    failureDomain: failureDomain as types.FailureDomainName,
    address,
    registered: false,
    slots: 0,
    resources: { cores: 0, memoryMb: 0, accelerators: 0 },
    configuration: follower.version()
  })
  const handler: link.Handler = {
    up: (id, peer) => {
      peers.connected(id, peer)
      if (peer.registered) membership.expedite()
      follower.announced(id, peer.configuration)
      driver.input({ kind: 'link-up', link: id, hello: peer })
    },
    message: (id, message) => {
      peers.received(id, message)
      if (message.kind === 'drain') return drains.beginLocalDrain(message.timeLimitMs)
      if (message.kind === 'heartbeat') follower.announced(id, message.configuration)
      if (follower.message(id, message)) return
      if (message.kind === 'registered') membership.expedite()
      driver.input({ kind: 'message', link: id, message })
    },
    down: (id) => {
      peers.disconnected(id)
      follower.down(id)
      driver.input({ kind: 'link-down', link: id })
    }
  }
  const links = link.create({
    key: settings.links.key,
    hello,
    // Heartbeats announce new configurations to entries, so they are sent to entries even on busy links.
    heartbeat: (id, isIdle) => {
      if (!peers.isAgent(id)) return { kind: 'heartbeat', configuration: follower.version() }
      return isIdle
        ? { kind: 'heartbeat', configuration: follower.version(), waiting: core.demand(id) }
        : undefined
    },
    handler,
    log,
    timers,
    random,
    limits: { maxFrameBytes: settings.links.maxFrameBytes }
  })
  const driver: drivers.Driver = drivers.create({
    core, timers, log, links: () => links, requests: () => requests, registry
  })
  const follower = configurations.createFollower({
    timers,
    random,
    log,
    store: platform,
    send: (id, message) => links.send(id, message),
    adopted: (_, rules) => driver.input({ kind: 'rules', rules })
  })
  const requests = requestList.create(driver.input)
  const entryMetrics = metrics.create({ core, links, requests })
  const keys = idempotency.create({
    table: platform.table, ids: idSource.create(requests.reserve, timers), timers, limitMs: KEY_BINDING_TIMEOUT_MS
  })

  const createStatus = (): status.Status => {
    const { incarnation: owner, draining, jobs, waitingTasks, runningTasks, backlog, bytes } = core.status()
    return {
      kind: 'status',
      name: name as types.EntryName,
      incarnation: owner,
      failureDomain: failureDomain as types.FailureDomainName,
      draining,
      configuration: follower.version(),
      openRequests: requests.openCount(),
      jobs,
      waitingTasks,
      runningTasks,
      queues: backlog,
      bytes,
      entries: peers.list('entry'),
      agents: peers.list('agent'),
      refusals: entryMetrics.refusals()
    }
  }
  const findPolicy = (policy: string): drain.Policy | undefined => {
    const set = follower.configuration()?.declarations
    return set && declarations.resolved(set, 'drain-policy').find((declaration) => declaration.name === policy)?.fields
  }
  const drains = drain.create({
    name,
    peers,
    links,
    permits: drainPermits.create({ table: platform.table, registry }),
    findPolicy,
    stop: () => { stop() },
    timers,
    log
  })
  const server = servers.create({
    requests,
    keys,
    limits: limits.create(settings.http.maxBodyBytes),
    countRefusal: entryMetrics.countRefusal,
    operator: {
      token: settings.operators?.token,
      status: createStatus,
      drain: drains.drain
    },
    log,
    name,
    draining: () => stopping !== undefined,
    configured: () => follower.version() > 0,
    metrics: entryMetrics.export,
    recordResponse: entryMetrics.recordResponse
  })

  const readMembership = async (): Promise<void> => {
    const read = await registry.read()
    if (read.kind === 'ok') driver.input({ kind: 'membership', membership: read.value })
    else log.warn('membership-not-read', { error: read.error.kind })
  }
  // An agent counts as registered only once a read lists it, so a new registration expedites the next read.
  const membership = pollers.create(timers, MEMBERSHIP_INTERVAL_MS, readMembership)
  const sweep = keySweeper.create({ table: platform.table, time: timers, log })

  kernel.register('platform', { stop: () => platform.close() })
  kernel.register('links', {
    start: async () => {
      const boundAddress = await links.listen(settings.links.host, settings.links.port)
      address = settings.links.address ?? boundAddress
      for (const peerAddress of settings.links.entries) if (peerAddress !== address) links.dial(peerAddress)
    },
    stop: () => links.stop()
  })
  kernel.register('driver', { stop: () => driver.stop() })
  kernel.register('configuration', follower)
  kernel.register('membership', membership)
  kernel.register('keys', pollers.create(timers, KEY_SWEEP_INTERVAL_MS, sweep))
  let httpAddress = ''
  kernel.register('http', {
    start: async () => { httpAddress = await server.listen(settings.http.host, settings.http.port) },
    stop: () => server.stop()
  })

  const shutDown = async (): Promise<void> => {
    log.info('entry-stopping', { jobs: core.status().jobs, requests: requests.openCount() })
    driver.input({ kind: 'drain' })
    await driver.drained
    await kernel.stop()
    log.info('entry-stopped')
    resolveEnded()
  }
  const stop = (): Promise<void> => {
    stopping ??= shutDown()
    return stopping
  }
  await kernel.start()
  driver.input({ kind: 'timer' })
  log.info('entry-started', { http: httpAddress, links: address, incarnation })
  return {
    name,
    url: `http://${httpAddress}`,
    address,
    dial: (entry) => links.dial(entry),
    status: createStatus,
    stop,
    ended
  }
}
