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

/** `waitFor` resolves once `findValue` returns a value; call `notify` whenever that value may have changed. */
const createWaiter = () => {
  const waiters: (() => void)[] = []
  return {
    notify: (): void => waiters.splice(0).forEach((resume) => resume()),
    waitFor: async <Value>(findValue: () => Value | undefined | false): Promise<Value> => {
      for (;;) {
        const value = findValue()
        if (value !== undefined && value !== false) return value
        await new Promise<void>((resolve) => waiters.push(resolve))
      }
    }
  }
}

/** Scripted entry: records the messages that the agent sends, and sends messages on behalf of the test. */
export const createEntry = async (timers: clock.Timers) => {
  const { notify, waitFor } = createWaiter()
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
        notify()
      },
      message: (id, message) => {
        received.push(message)
        if (message.kind === 'leaving' && message.drained) links.send(id, { kind: 'leaving-acknowledged' })
        notify()
      },
      down: () => {
        current = undefined
        notify()
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
    until: waitFor,
    isUp: () => current !== undefined,
    send: (message: messages.Message) => {
      if (current !== undefined) links.send(current, message)
    },
    /** Waits for the first received message of these kinds that `matches`, and removes it from `received`. */
    next: <Kind extends messages.MessageKind>(
      kinds: Kind | Kind[], matches: (message: messages.MessageOf<Kind>) => boolean = () => true
    ): Promise<messages.MessageOf<Kind>> => waitFor(() => {
      const isWanted = (message: messages.Message): boolean =>
        ([kinds].flat() as string[]).includes(message.kind) && matches(message as messages.MessageOf<Kind>)
      const position = received.findIndex(isWanted)
      return position >= 0 && received.splice(position, 1)[0] as messages.MessageOf<Kind>
    }),
    /** Total bytes and messages of the links in both directions. */
    traffic: () => {
      const { sent, received } = links.counts()
      const messages = [...sent.messages.values(), ...received.messages.values()]
      return { bytes: sent.bytes + received.bytes, messages: messages.reduce((sum, count) => sum + count, 0) }
    },
    stop: links.stop
  }
}

export const jobId = (view: string, sequence: number): types.JobId => `${OWNER}.${view}.1.${sequence}` as types.JobId

/** Start message for a job of one task, which may start on any agent. */
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
  /** Faults that the store has from the beginning. */
  faults?: Partial<platform.Faults>
}

/** Starts one agent with a backend stand-in, an in-memory platform and one scripted entry, over loopback. */
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
  const { notify, waitFor } = createWaiter()
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
          notify()
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
    /** Waits for a log line of the agent that matches the pattern. */
    line: (pattern: RegExp): Promise<string> => waitFor(() => lines.find((line) => pattern.test(line))),
    address: await agent.start(),
    stop: async () => {
      await agent.stop()
      await Promise.all([entry.stop(), server.stop()])
    }
  }
}
