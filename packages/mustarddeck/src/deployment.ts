import * as crypto from 'node:crypto'
import * as agents from '@mustarddeck/agent'
import * as backendStandIn from '@mustarddeck/backend-stand-in'
import * as clock from '@mustarddeck/clock'
import * as entries from '@mustarddeck/entry'
import * as errors from '@mustarddeck/errors'
import * as settings from '@mustarddeck/settings'
import * as toml from 'smol-toml'
import * as samples from './samples.ts'
import * as standIns from './stand-ins.ts'

const ENTRY_COUNT = 2
const AGENT_COUNT = 3
const SECRET_BYTES = 24
const READY_POLL_MS = 20
/** Short, because the agents stop after all entries, so that no entry is left to collect their outcomes. */
const LEAVE_GRACE_MS = 100

export interface Options {
  sample: samples.Sample
  /** First of a range of consecutive ports; 0 selects free ports. */
  port: number
  logLevel: 'debug' | 'info' | 'warn' | 'error'
}

/** A complete deployment in this process, listening on loopback. */
export interface Deployment {
  platformUrl: string
  backendUrls: string[]
  entries: entries.Entry[]
  /** Bearer token of the operator API. */
  token: string
  /** Finishes the requests in progress, then stops all components. */
  stop (): Promise<void>
}

/** Completes the settings of a role with their defaults. */
const withDefaults = <Role extends settings.Role>(role: Role, overrides: object): settings.SettingsOf<Role> => {
  const parsed = settings.parse(role, toml.stringify(overrides), role)
  errors.invariant(parsed.kind === 'ok', JSON.stringify(parsed))
  return parsed.value
}

const createSecret = (): string => crypto.randomBytes(SECRET_BYTES).toString('hex')

/** Starts the platform stand-in, entries, backend servers and agents, and waits until they are ready. */
export const start = async ({ sample, port, logLevel }: Options): Promise<Deployment> => {
  let allocatedPorts = 0
  const nextPort = (): number => port === 0 ? 0 : port + allocatedPorts++
  const http = () => ({ host: '127.0.0.1', port: nextPort() })
  const key = createSecret()
  const token = createSecret()
  const log = { level: logLevel }
  const [firstDomain] = sample.failureDomains
  errors.invariant(firstDomain, 'a sample has a failure domain')
  const domain = (index: number): string => sample.failureDomains[index % sample.failureDomains.length] ?? firstDomain

  const entryPorts = Array.from({ length: ENTRY_COUNT }, http)
  const platform = await standIns.startPlatform(withDefaults('platform stand-in', { http: http(), log }))
  const startedEntries: entries.Entry[] = []
  for (const [index, entryHttp] of entryPorts.entries()) {
    startedEntries.push(await entries.start(withDefaults('entry', {
      name: `entry-${index + 1}`,
      failureDomain: domain(index),
      http: entryHttp,
      links: { ...http(), entries: startedEntries.map(({ address }) => address), key },
      platform: { url: platform.url },
      operators: { token },
      log
    })))
  }
  const backends = await Promise.all(Array.from({ length: AGENT_COUNT }, () =>
    backendStandIn.start(withDefaults('backend stand-in', { http: http(), log }))))
  const startedAgents = await Promise.all(backends.map(({ address }, index) => agents.start(withDefaults('agent', {
    worker: `worker-${index + 1}`,
    failureDomain: domain(index),
    slots: sample.slots,
    resources: sample.resources,
    backend: { url: `http://${address}/run`, connections: sample.connections },
    links: { entries: startedEntries.map(({ address }) => address), key },
    platform: { url: platform.url },
    limits: { leaveGraceMs: LEAVE_GRACE_MS },
    log
  }))))
  await samples.publish(sample, platform.url)
  await waitUntilReady(startedEntries)

  return {
    platformUrl: platform.url,
    backendUrls: backends.map(({ address }) => `http://${address}`),
    entries: startedEntries,
    token,
    stop: async () => {
      // Stops the entries one at a time, so that each can hand over to the next.
      for (const entry of startedEntries) await entry.stop()
      await Promise.all(startedAgents.map((agent) => agent.stop()))
      await Promise.all(backends.map((backend) => backend.stop()))
      await platform.stop()
    }
  }
}

/** Waits until each entry has the sample's configuration in force and links to all agents, which are registered. */
const waitUntilReady = async (started: entries.Entry[]): Promise<void> => {
  const timers = clock.createSystem()
  const isReady = (entry: entries.Entry): boolean => {
    const { agents, configuration } = entry.status()
    return configuration > 0 && agents.filter(({ registered }) => registered).length === AGENT_COUNT
  }
  while (!started.every(isReady)) await new Promise<void>((resolve) => { timers.after(READY_POLL_MS, resolve) })
}
