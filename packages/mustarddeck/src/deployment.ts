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

const ENTRIES = 2
const AGENTS = 3
const SECRET_BYTES = 24
const READY_CHECK_MS = 20
/** The agents stop after the entries, which do not come back to take their outcomes. */
const LEAVE_GRACE_MS = 100

export interface Options {
  sample: samples.Sample
  /** First of the ports in use, counted up; 0 takes free ones. */
  port: number
  logLevel: 'debug' | 'info' | 'warn' | 'error'
}

/** A whole deployment in this process, on loopback. */
export interface Deployment {
  platformUrl: string
  backendUrls: string[]
  entries: entries.Entry[]
  /** Bearer token of the operator API. */
  token: string
  /** Finishes the requests in progress, then stops every part. */
  stop (): Promise<void>
}

/** Fills in the defaults of a role's settings. */
const complete = <Role extends settings.Role>(role: Role, given: object): settings.SettingsOf<Role> => {
  const parsed = settings.parse(role, toml.stringify(given), role)
  errors.invariant(parsed.kind === 'ok', JSON.stringify(parsed))
  return parsed.value
}

const secret = (): string => crypto.randomBytes(SECRET_BYTES).toString('hex')

export const start = async ({ sample, port, logLevel }: Options): Promise<Deployment> => {
  let ports = 0
  const nextPort = (): number => port === 0 ? 0 : port + ports++
  const http = () => ({ host: '127.0.0.1', port: nextPort() })
  const key = secret()
  const token = secret()
  const log = { level: logLevel }
  const [firstDomain] = sample.failureDomains
  errors.invariant(firstDomain, 'a sample has a failure domain')
  const domain = (at: number): string => sample.failureDomains[at % sample.failureDomains.length] ?? firstDomain

  const entryPorts = Array.from({ length: ENTRIES }, http)
  const platform = await standIns.startPlatform(complete('platform stand-in', { http: http(), log }))
  const startedEntries: entries.Entry[] = []
  for (const [at, entryHttp] of entryPorts.entries()) {
    startedEntries.push(await entries.start(complete('entry', {
      name: `entry-${at + 1}`,
      failureDomain: domain(at),
      http: entryHttp,
      links: { ...http(), entries: startedEntries.map(({ address }) => address), key },
      platform: { url: platform.url },
      operators: { token },
      log
    })))
  }
  const backends = await Promise.all(Array.from({ length: AGENTS }, () =>
    backendStandIn.start(complete('backend stand-in', { http: http(), log }))))
  const startedAgents = await Promise.all(backends.map(({ address }, at) => agents.start(complete('agent', {
    worker: `worker-${at + 1}`,
    failureDomain: domain(at),
    slots: sample.slots,
    resources: sample.resources,
    backend: { url: `http://${address}/run`, connections: sample.connections },
    links: { entries: startedEntries.map(({ address }) => address), key },
    platform: { url: platform.url },
    limits: { leaveGraceMs: LEAVE_GRACE_MS },
    log
  }))))
  await samples.publish(sample, platform.url)
  await ready(startedEntries)

  return {
    platformUrl: platform.url,
    backendUrls: backends.map(({ address }) => `http://${address}`),
    entries: startedEntries,
    token,
    stop: async () => {
      // One after the other, so that each can hand over to the next.
      for (const entry of startedEntries) await entry.stop()
      await Promise.all(startedAgents.map((agent) => agent.stop()))
      await Promise.all(backends.map((backend) => backend.stop()))
      await platform.stop()
    }
  }
}

/** Waits until every entry has a link to every agent, each registered, and the sample's configuration in force. */
const ready = async (started: entries.Entry[]): Promise<void> => {
  const timers = clock.createSystem()
  const isReady = (entry: entries.Entry): boolean => {
    const { agents, configuration } = entry.status()
    return configuration > 0 && agents.filter(({ registered }) => registered).length === AGENTS
  }
  while (!started.every(isReady)) await new Promise<void>((resolve) => { timers.after(READY_CHECK_MS, resolve) })
}
