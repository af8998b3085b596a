import * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as messages from '@mustarddeck/messages'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import { once } from 'node:events'
import type * as net from 'node:net'
import * as ws from 'ws'
import * as codec from '../codec.ts'
import * as handshake from '../handshake.ts'
import * as link from '../index.ts'

export const KEY = 'a shared key of the tests'
export const LOCALHOST = '127.0.0.1'

export type Event =
  | { kind: 'up', link: types.LinkId, hello: messages.Hello }
  | { kind: 'message', link: types.LinkId, message: messages.Message }
  | { kind: 'down', link: types.LinkId, reason: string }

export interface Options {
  key?: string
  incarnation?: string
  address?: string
  limits?: Partial<link.Limits>
  timers?: clock.Timers
}

export const createHello = (
  name: string, { incarnation = `${name}incarnation`, address }: Options = {}
): messages.Hello => ({
  kind: 'hello',
  version: messages.PROTOCOL_VERSION,
  role: 'entry',
  name,
  incarnation: incarnation as types.Incarnation,
  failureDomain: 'waco-floor' as types.FailureDomainName,
  address,
  registered: false,
  slots: 0,
  resources: { cores: 1, memoryMb: 1, accelerators: 0 },
  configuration: 0
})

/** Creates the links of a process and records its events and log lines. `next` waits for the next event of a kind. */
export const create = (name: string, options: Options = {}) => {
  const events: Event[] = []
  const lines: string[] = []
  const waiters: (() => void)[] = []
  const wakeWaiters = (): void => waiters.splice(0).forEach((resume) => resume())
  const add = (event: Event): void => {
    events.push(event)
    wakeWaiters()
  }
  const write = (event: string, fields: Record<string, log.Field> = {}): void => {
    lines.push(`${event} ${Object.entries(fields).map(([field, value]) => `${field}=${value}`).join(' ')}`)
    wakeWaiters()
  }
  const logger: log.Log = { debug: write, info: write, warn: write, error: write, with: () => logger }
  const until = async <Value>(find: () => Value | undefined): Promise<Value> => {
    for (;;) {
      const value = find()
      if (value !== undefined) return value
      await new Promise<void>((resolve) => waiters.push(resolve))
    }
  }
  let nextIndex = 0
  let onMessage: () => void = () => {}
  const links = link.create({
    key: options.key ?? KEY,
    hello: () => createHello(name, options),
    heartbeat: () => ({ kind: 'heartbeat', configuration: 0 }),
    handler: {
      up: (id, hello) => add({ kind: 'up', link: id, hello }),
      message: (id, message) => {
        add({ kind: 'message', link: id, message })
        onMessage()
      },
      down: (id, reason) => add({ kind: 'down', link: id, reason })
    },
    log: logger,
    timers: options.timers ?? clock.createSystem(),
    random: random.create(1),
    limits: options.limits
  })
  return {
    links,
    events,
    lines,
    /** Calls `listener` inside the handler of every message. */
    onMessage: (listener: () => void): void => { onMessage = listener },
    next: <Kind extends Event['kind']>(kind: Kind): Promise<Extract<Event, { kind: Kind }>> => until(() => {
      for (; nextIndex < events.length; nextIndex++) {
        const event = events[nextIndex]!
        if (event.kind === kind) {
          nextIndex++
          return event as Extract<Event, { kind: Kind }>
        }
      }
      return undefined
    }),
    until,
    line: (pattern: RegExp): Promise<string> => until(() => lines.find((line) => pattern.test(line)))
  }
}

export type Peer = ReturnType<typeof create>

/** Accepts one connection and sends the given values, one at first and one per frame; `closed` is the close reason. */
export const acceptRaw = async (answers: unknown[]) => {
  const server = new ws.WebSocketServer({ host: LOCALHOST, port: 0 })
  await once(server, 'listening')
  const received: Buffer[] = []
  const closed = once(server, 'connection').then(async ([connection]) => {
    const socket = connection as ws.WebSocket
    const send = (): void => {
      if (answers.length > 0) socket.send(codec.pack(answers.shift()))
    }
    socket.on('message', (data) => {
      received.push(data as Buffer)
      send()
    })
    send()
    const [, reason] = await once(socket, 'close')
    server.close()
    return String(reason)
  })
  return { address: `${LOCALHOST}:${(server.address() as net.AddressInfo).port}`, received, closed }
}

/** Dials an address as a client that knows the key and can send arbitrary bytes. */
export const dialRaw = async (address: string) => {
  const socket = new ws.WebSocket(`ws://${address}`, { perMessageDeflate: false })
  const frames: Buffer[] = []
  const waiters: (() => void)[] = []
  const wakeWaiters = (): void => waiters.splice(0).forEach((wake) => wake())
  socket.on('message', (data) => {
    frames.push(data as Buffer)
    wakeWaiters()
  })
  const closed = once(socket, 'close').then(([code, reason]) => {
    wakeWaiters()
    return { code: code as number, reason: String(reason) }
  })
  socket.on('error', () => {})
  const next = async (): Promise<Buffer> => {
    while (frames.length === 0) await new Promise<void>((resolve) => waiters.push(resolve))
    return frames.shift()!
  }
  return {
    socket,
    closed,
    next,
    send: (value: unknown) => socket.send(codec.pack(value)),
    /** Completes the handshake as a process with this name. */
    completeHandshake: async (name: string, options: Options = {}): Promise<void> => {
      const challenge = handshake.parseChallenge(await next())!
      const nonce = handshake.nonce()
      const proof = handshake.prove(KEY, 'dialer', nonce, challenge.nonce)
      socket.send(codec.pack({ kind: 'response', nonce, proof }))
      await next()
      socket.send(codec.pack([createHello(name, options)]))
      await next()
    }
  }
}
