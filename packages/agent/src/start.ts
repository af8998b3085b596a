import * as clock from '@mustarddeck/clock'
import * as log from '@mustarddeck/log'
import * as membership from '@mustarddeck/membership'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import * as crypto from 'node:crypto'
import * as v8 from 'node:v8'
import * as agents from './agent.ts'

export interface Running {
  /** Host and port of `/live`, `/ready` and `/metrics`. */
  address: string
  stop (): Promise<void>
  /** Resolves when the agent has stopped, also after an operator's drain. */
  ended: Promise<void>
}

const MAX_SEED = 0x7fffffff

/**
 * Keeps V8's young generation at its initial size. By default the short-lived objects of calls make it grow to 16 MB
 * and more. Only for a process that runs nothing but an agent; must be called before anything else.
 */
export const limitMemory = (): void => v8.setFlagsFromString('--semi-space-growth-factor=1')

/** Starts an agent with the system clock and the platform at `platform.url` of the settings. */
export const start = async (loaded: settings.Agent): Promise<Running> => {
  const timers = clock.createSystem()
  const generator = random.create(crypto.randomInt(MAX_SEED))
  const store = platform.createClient({ url: loaded.platform.url, requestLimitMs: loaded.platform.timeoutMs })
  const agent = agents.create({
    settings: loaded,
    registry: membership.create({ table: store.table, retry: { timers, random: generator.fork() } }),
    log: log.create({
      level: loaded.log.level, fields: { role: 'agent', name: loaded.worker }, secrets: [loaded.links.key]
    }),
    timers,
    random: generator,
    onDrain: () => { stop() }
  })
  let stopping: Promise<void> | undefined
  let resolveEnded = (): void => {}
  const ended = new Promise<void>((resolve) => { resolveEnded = resolve })
  const end = async (): Promise<void> => {
    await agent.stop()
    store.close()
    resolveEnded()
  }
  const stop = (): Promise<void> => {
    stopping ??= end()
    return stopping
  }
  const address = await agent.start()
  return { address, stop, ended }
}
