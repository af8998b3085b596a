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
import * as drivers from './driver.ts'
import * as idSource from './id-source.ts'
import * as idempotency from './idempotency.ts'
import * as keySweeper from './key-sweeper.ts'
import * as measurements from './measurements.ts'
import * as peerList from './peers.ts'
import * as pollers from './poller.ts'
import * as randomness from './randomness.ts'
import * as requestList from './requests.ts'
import * as limits from './http/limits.ts'
import * as servers from './http/server.ts'
import type * as status from './status.ts'

/** Interval in ms of the reads of the agent membership. */
const MEMBERSHIP_INTERVAL_MS = 2000
/** Interval in ms between the parts of a sweep over old keys; 256 parts take 64 minutes. */
const SWEEP_INTERVAL_MS = 15_000
/** Longest time in ms that a request with an `Idempotency-Key` waits for the store. */
const KEY_LIMIT_MS = 3000

/** A running entry. */
export interface Entry {
  name: string
  /** Base URL of the HTTP interface. */
  url: string
  /** Address that peers and agents dial. */
  address: string
  /** Adds the address of another entry to those that this one keeps a link to. */
  dial (address: string): void
  status (): status.Status
  /** Finishes jobs and requests in progress and hands outcomes over. A second call waits for the first. */
  stop (): Promise<void>
  /** Settles when the process has stopped, also after a drain by an operator. */
  ended: Promise<void>
}

export interface Options {
  log?: logs.Log
}

/** Position of this entry among the configured ones, by which small quotas are divided. */
const positionOf = (own: string | undefined, entries: string[]): placement.Position => {
  const sorted = [...new Set(entries)].sort()
  const index = own === undefined ? -1 : sorted.indexOf(own)
  return index < 0 ? { index: 0, count: Math.max(1, sorted.length) } : { index, count: sorted.length }
}

const createLog = ({ name, log, links, operators }: settings.Entry): logs.Log => logs.create({
  level: log.level,
  fields: { role: 'entry', name },
  secrets: [links.key, ...operators ? [operators.token] : []]
})

export const start = async (given: settings.Entry, options: Options = {}): Promise<Entry> => {
  const { name, failureDomain } = given
  const log = options.log ?? createLog(given)
  const timers = clock.createSystem()
  const random = randomness.create()
  const kernel = kernels.create()
  const peers = peerList.create()
  const platform = platforms.createClient({ url: given.platform.url, requestLimitMs: given.platform.timeoutMs })
  const registry = memberships.create({ table: platform.table, retry: { timers, random } })
  const configuredAddress = given.links.address ?? `${given.links.host}:${given.links.port}`
  const core = entryCore.create({
    settings: { name: name as types.EntryName, ...given.limits },
    placement: placement.create({ random, position: positionOf(configuredAddress, given.links.entries) }),
    random
  })
  const incarnation = core.status().incarnation
  let address = configuredAddress
  let ending: Promise<void> | undefined
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
      peers.up(id, peer)
      if (peer.registered) membership.soon()
      follower.announced(id, peer.configuration)
      driver.input({ kind: 'link-up', link: id, hello: peer })
    },
    message: (id, message) => {
      peers.heard(id, message)
      if (message.kind === 'drain') return drains.begin(message.timeLimitMs)
      if (message.kind === 'heartbeat') follower.announced(id, message.configuration)
      if (follower.message(id, message)) return
      if (message.kind === 'registered') membership.soon()
      driver.input({ kind: 'message', link: id, message })
    },
    down: (id) => {
      peers.down(id)
      follower.down(id)
      driver.input({ kind: 'link-down', link: id })
    }
  }
  const links = link.create({
    key: given.links.key,
    hello,
    heartbeat: (id) => ({ kind: 'heartbeat', configuration: follower.version(), ...peers.isAgent(id) && { waiting: core.demand(id) } }),
    handler,
    log,
    timers,
    random,
    limits: { maxFrameBytes: given.links.maxFrameBytes }
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
  const measured = measurements.create({ core, links, requests })
  const keys = idempotency.create({
    table: platform.table, ids: idSource.create(requests.reserve, timers), timers, limitMs: KEY_LIMIT_MS
  })

  const state = (): status.Status => {
    const { incarnation: owner, draining, jobs, waitingTasks, runningTasks, backlog, bytes } = core.status()
    return {
      kind: 'status',
      name: name as types.EntryName,
      incarnation: owner,
      failureDomain: failureDomain as types.FailureDomainName,
      draining,
      configuration: follower.version(),
      openRequests: requests.open(),
      jobs,
      waitingTasks,
      runningTasks,
      queues: backlog,
      bytes,
      entries: peers.list('entry'),
      agents: peers.list('agent'),
      refusals: measured.refusals()
    }
  }
  const timeLimitOf = (policy: string): number | undefined => {
    const set = follower.configuration()?.declarations
    return set && declarations.resolved(set, 'drain-policy').find((one) => one.name === policy)?.fields.timeLimitMs
  }
  const drains = drain.create({
    name, peers, links, timeLimitOf, stop: () => { stop() }, timers, log
  })
  const server = servers.create({
    requests,
    keys,
    limits: limits.create(given.http.maxBodyBytes),
    refused: measured.refused,
    operator: {
      token: given.operators?.token,
      status: state,
      drain: drains.drain
    },
    log,
    name,
    draining: () => ending !== undefined,
    configured: () => follower.version() > 0,
    metrics: measured.export,
    responded: measured.responded
  })

  const readMembership = async (): Promise<void> => {
    const read = await registry.read()
    if (read.kind === 'ok') driver.input({ kind: 'membership', membership: read.value })
    else log.warn('membership-not-read', { error: read.error.kind })
  }
  // An agent counts as registered only once a read lists it, so a new one leads to a read.
  const membership = pollers.create(timers, MEMBERSHIP_INTERVAL_MS, readMembership)
  const sweep = keySweeper.create({ table: platform.table, time: timers, log })

  kernel.register('platform', { stop: () => platform.close() })
  kernel.register('links', {
    start: async () => {
      const bound = await links.listen(given.links.host, given.links.port)
      address = given.links.address ?? bound
      for (const entry of given.links.entries) if (entry !== address) links.dial(entry)
    },
    stop: () => links.stop()
  })
  kernel.register('driver', { stop: () => driver.stop() })
  kernel.register('configuration', follower)
  kernel.register('membership', membership)
  kernel.register('keys', pollers.create(timers, SWEEP_INTERVAL_MS, sweep))
  let httpAddress = ''
  kernel.register('http', {
    start: async () => { httpAddress = await server.listen(given.http.host, given.http.port) },
    stop: () => server.stop()
  })

  const end = async (): Promise<void> => {
    log.info('entry-stopping', { jobs: core.status().jobs, requests: requests.open() })
    driver.input({ kind: 'drain' })
    await driver.drained
    await kernel.stop()
    log.info('entry-stopped')
    resolveEnded()
  }
  const stop = (): Promise<void> => {
    ending ??= end()
    return ending
  }
  await kernel.start()
  driver.input({ kind: 'timer' })
  log.info('entry-started', { http: httpAddress, links: address, incarnation })
  return {
    name,
    url: `http://${httpAddress}`,
    address,
    dial: (entry) => links.dial(entry),
    status: state,
    stop,
    ended
  }
}
