import * as backend from '@mustarddeck/backend-stand-in'
import * as clock from '@mustarddeck/clock'
import * as link from '@mustarddeck/link'
import * as log from '@mustarddeck/log'
import * as membership from '@mustarddeck/membership'
import * as messages from '@mustarddeck/messages'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import * as settings from '@mustarddeck/settings'
import type * as types from '@mustarddeck/types'
import * as agents from '../agent.ts'

export const KEY = 'a shared key of the tests'
const LOCALHOST = '127.0.0.1'
const OWNER = 'entry00incarnation' as types.Incarnation
const seed = Number(process.env['SEED'] ?? 1)

export const load = <Role extends settings.Role>(role: Role, text: string): settings.SettingsOf<Role> => {
  const result = settings.parse(role, text, 'test.toml')
  if (result.kind === 'error') throw new Error(result.error.map(settings.format).join('\n'))
  return result.value
}

/** Waits until `find` gives a value; `changed` is called whenever it may have changed. */
const createWaiting = () => {
  const waiting: (() => void)[] = []
  return {
    changed: (): void => waiting.splice(0).forEach((resume) => resume()),
    until: async <Value>(find: () => Value | undefined | false): Promise<Value> => {
      for (;;) {
        const value = find()
        if (value !== undefined && value !== false) return value
        await new Promise<void>((resolve) => waiting.push(resolve))
      }
    }
  }
}

/** An entry's end of a link: keeps what the agent sends, and sends what the test wants. */
export const createEntry = async (timers: clock.Timers) => {
  const { changed, until } = createWaiting()
  const received: messages.Message[] = []
  const hellos: messages.Hello[] = []
  const links = link.create({
    key: KEY,
    hello: () => ({
      kind: 'hello',
      version: messages.PROTOCOL_VERSION,
      role: 'entry',
      name: 'entry',
      incarnation: OWNER,
      failureDomain: 'waco-floor' as types.FailureDomainName,
      registered: false,
      slots: 0,
      resources: { cores: 0, memoryMb: 0, accelerators: 0 },
      configuration: 0
    }),
    heartbeat: () => ({ kind: 'heartbeat', configuration: 0, waiting: [8] }),
    handler: {
      up: (id, hello) => {
        current = id
        hellos.push(hello)
        links.send(id, { kind: 'demand', waiting: [8] })
        changed()
      },
      message: (id, message) => {
        received.push(message)
        if (message.kind === 'leaving' && message.drained) links.send(id, { kind: 'leaving-acknowledged' })
        changed()
      },
      down: () => {
        current = undefined
        changed()
      }
    },
    log: log.create({ level: 'error' }),
    timers,
    random: random.create(seed)
  })
  let current: types.LinkId | undefined
  return {
    address: await links.listen(LOCALHOST, 0),
    received,
    hellos,
    until,
    isUp: () => current !== undefined,
    send: (message: messages.Message) => {
      if (current !== undefined) links.send(current, message)
    },
    /** Waits for the first message of these kinds that fits, and takes it out. */
    next: <Kind extends messages.MessageKind>(
      kinds: Kind | Kind[], fits: (message: messages.MessageOf<Kind>) => boolean = () => true
    ): Promise<messages.MessageOf<Kind>> => until(() => {
      const isWanted = (message: messages.Message): boolean =>
        ([kinds].flat() as string[]).includes(message.kind) && fits(message as messages.MessageOf<Kind>)
      const place = received.findIndex(isWanted)
      return place >= 0 && received.splice(place, 1)[0] as messages.MessageOf<Kind>
    }),
    /** Traffic of the links in both directions. */
    traffic: () => {
      const { sent, received } = links.counts()
      const messages = [...sent.messages.values(), ...received.messages.values()]
      return { bytes: sent.bytes + received.bytes, messages: messages.reduce((sum, count) => sum + count, 0) }
    },
    stop: links.stop
  }
}

export const jobId = (view: string, sequence: number): types.JobId => `${OWNER}.${view}.1.${sequence}` as types.JobId

/** A job of one task that may start on any agent. */
export const start = (sequence: number, change: Partial<messages.Start> = {}): messages.Start => ({
  kind: 'start',
  job: jobId('u', sequence),
  index: 0,
  attempt: 1,
  total: 1,
  digest: 'digest' as types.Digest,
  name: 'sheet' as types.TaskName,
  type: 'pin-out' as types.TaskTypeName,
  payload: { sequence },
  limitMs: 10_000,
  resources: { cores: 1, memoryMb: 1, accelerators: 0 },
  ...change
})

export interface Options {
  /** Faults of the store from the start. */
  faults?: Partial<platform.Faults>
}

/** One agent between a backend stand-in, an in-memory platform and one entry, over loopback. */
export const create = async ({ faults }: Options = {}) => {
  const timers = clock.createSystem()
  const server = backend.create({
    settings: load('backend stand-in', 'run = { runMs = 0 }'), timers, random: random.create(seed)
  })
  const store = platform.createMemory({ timers, seed, faults })
  const registry = membership.create({
    table: store.table, retry: { timers, random: random.create(seed), attempts: 3 }
  })
  const entry = await createEntry(timers)
  const backendAddress = await server.listen()
  const lines: string[] = []
  const { changed, until } = createWaiting()
  const agent = agents.create({
    settings: load('agent', `
      worker = "waco-1"
      failureDomain = "waco-floor"
      slots = 8
      resources = { cores = 8, memoryMb = 1024 }
      platform = { url = "http://127.0.0.1:1" }
      links = { entries = ["${entry.address}"], key = "${KEY}" }
      backend = { url = "http://${backendAddress}/run", maxResultBytes = 100000 }
    `),
    registry,
    log: log.create({
      level: 'debug',
      destination: {
        write: (line) => {
          lines.push(line)
          changed()
        }
      }
    }),
    timers,
    random: random.create(seed)
  })
  return {
    agent,
    backend: server,
    entry,
    store,
    registry,
    lines,
    /** Waits for a log line of the agent. */
    line: (pattern: RegExp): Promise<string> => until(() => lines.find((line) => pattern.test(line))),
    address: await agent.start(),
    stop: async () => {
      await agent.stop()
      await Promise.all([entry.stop(), server.stop()])
    }
  }
}
