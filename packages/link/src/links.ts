import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as messages from '@mustarddeck/messages'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import { once } from 'node:events'
import type * as net from 'node:net'
import * as ws from 'ws'
import * as backoff from './backoff.ts'
import type * as link from './interface.ts'
import * as sessions from './session.ts'

export interface Settings {
  /** Key shared by all processes of a deployment. It is never sent. */
  key: string
  /** Returns the `hello` for a new link. Its incarnation identifies this process. */
  hello (): messages.Hello
  /**
   * Returns the next heartbeat on a link, or undefined to send none. `idle` is true if no frame was sent within the
   * interval; otherwise that frame already showed the peer that this side is alive.
   */
  heartbeat (link: types.LinkId, idle: boolean): messages.Heartbeat | undefined
  handler: link.Handler
  log: log.Log
  timers: clock.Timers
  random: random.Random
  limits?: Partial<sessions.Limits>
}

const DEFAULT_LIMITS: sessions.Limits = {
  maxFrameBytes: 16 * 2 ** 20,
  maxBufferedBytes: 64 * 2 ** 20,
  heartbeatMs: 1000,
  timeoutMs: 3000
}

/** Maximum number of concurrent handshakes. Further connections are closed, and their dialers retry. */
const MAX_HANDSHAKES = 1024
/** Time limit in ms for the closing handshake with a peer. */
const CLOSE_TIMEOUT_MS = 1000
/** Reason for refusing a link from the process to itself. That address is not dialed again. */
const OWN_ADDRESS = 'own address'

interface Dial {
  address: string
  failures: number
  upAt: number | undefined
  session: sessions.Session | undefined
  /** True while a link that the peer dialed is used instead. Dialing resumes when any link goes down. */
  paused: boolean
  cancel: clock.Cancellation
}

const formatAddress = (address?: string, family?: string, port?: number): string =>
  family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`

export const create = (settings: Settings): link.Links => {
  const { handler, log, timers } = settings
  const limits = { ...DEFAULT_LIMITS, ...settings.limits }
  const context: sessions.Context = {
    key: settings.key,
    limits,
    timers,
    sent: { frames: 0, messages: new Map(), bytes: 0 },
    received: { frames: 0, messages: new Map(), bytes: 0 },
    hello: settings.hello,
    heartbeat: settings.heartbeat
  }
  const socketOptions = {
    maxPayload: limits.maxFrameBytes, perMessageDeflate: false, closeTimeout: CLOSE_TIMEOUT_MS
  }
  const up = new Map<types.LinkId, sessions.Session>()
  const byIncarnation = new Map<types.Incarnation, sessions.Session>()
  const openSockets = new Map<sessions.Session, ws.WebSocket>()
  const dials = new Map<string, Dial>()
  let server: ws.WebSocketServer | undefined
  let stopping = false
  let nextId = 1

  /**
   * Decides between two links to the same process, as when processes dial each other at the same time. Both sides keep
   * the link dialed by the smaller incarnation, unless no frame has arrived on it for two heartbeats.
   */
  const keepsExisting = (existing: sessions.Session, candidate: sessions.Session, hello: messages.Hello): boolean => {
    if (existing.side === candidate.side) return false
    const own = settings.hello().incarnation
    const dialedBySmaller = (existing.side === 'dialer') === (own < hello.incarnation)
    return dialedBySmaller && timers.monotonic() - existing.lastFrameAt() < 2 * limits.heartbeatMs
  }

  const observer: sessions.Observer = {
    admit: (session, hello) => {
      if (stopping) return 'stopping'
      if (hello.incarnation === settings.hello().incarnation) return OWN_ADDRESS
      const existing = byIncarnation.get(hello.incarnation)
      if (existing && keepsExisting(existing, session, hello)) return 'redundant link'
      existing?.replace('replaced by a new link')
      return undefined
    },
    up: (session, hello) => {
      up.set(session.id, session)
      byIncarnation.set(hello.incarnation, session)
      const dial = dials.get(session.address)
      if (dial?.session === session) dial.upAt = timers.monotonic()
      log.info('link-up', {
        link: session.id,
        side: session.side,
        address: session.address,
        peer: hello.name,
        peerRole: hello.role,
        incarnation: hello.incarnation
      })
      handler.up(session.id, hello)
    },
    message: (session, message) => handler.message(session.id, message),
    ended: (session, ending) => {
      openSockets.delete(session)
      logEnd(session, ending)
      if (ending.wasUp) {
        const incarnation = session.hello()!.incarnation
        up.delete(session.id)
        if (byIncarnation.get(incarnation) === session) byIncarnation.delete(incarnation)
        handler.down(session.id, ending.by === 'peer' ? `by peer: ${ending.reason}` : ending.reason)
        for (const dial of dials.values()) if (dial.paused) schedule(dial)
      }
      const dial = dials.get(session.address)
      if (dial?.session === session) redial(dial, ending)
    }
  }

  const logEnd = (session: sessions.Session, { wasUp, by, reason, fault }: sessions.CloseEvent): void => {
    const fields = {
      link: session.id, side: session.side, address: session.address, peer: session.hello()?.name, by, reason
    }
    const failures = dials.get(session.address)?.failures ?? 0
    // The first failure to reach a peer is logged as a warning, further ones at debug level.
    if (wasUp) log[fault ? 'warn' : 'info']('link-down', fields)
    else log[fault || failures === 0 ? 'warn' : 'debug']('link-failed', fields)
  }

  const redial = (dial: Dial, ending: sessions.CloseEvent): void => {
    const uptimeMs = dial.upAt === undefined ? 0 : timers.monotonic() - dial.upAt
    dial.failures = uptimeMs >= limits.heartbeatMs ? 0 : dial.failures + 1
    dial.session = undefined
    dial.upAt = undefined
    if (dials.get(dial.address) !== dial) return
    if (ending.reason === OWN_ADDRESS) return
    schedule(dial)
  }
  const schedule = (dial: Dial): void => {
    if (stopping) return
    dial.paused = false
    dial.cancel()
    dial.cancel = timers.after(backoff.delay(dial.failures, settings.random), () => connect(dial))
  }
  const isLinked = (address: string): boolean => {
    for (const session of up.values()) if (session.hello()?.address === address) return true
    return false
  }
  const connect = (dial: Dial): void => {
    dial.paused = isLinked(dial.address)
    if (dial.paused) return
    const socket = new ws.WebSocket(`ws://${dial.address}`, socketOptions)
    dial.session = addSession('dialer', { socket, address: dial.address })
  }
  const addSession = (side: sessions.Side, transport: sessions.Transport): sessions.Session => {
    const session = sessions.create(nextId++ as types.LinkId, side, transport, context, observer)
    openSockets.set(session, transport.socket)
    return session
  }

  const listen = async (host: string, port: number): Promise<string> => {
    server = new ws.WebSocketServer({ host, port, ...socketOptions })
    await once(server, 'listening')
    server.on('error', (error) => log.error('link-server-failed', { reason: error.message }))
    server.on('connection', (socket, request) => {
      if (stopping || openSockets.size - up.size >= MAX_HANDSHAKES) return socket.terminate()
      const { remoteAddress, remoteFamily, remotePort } = request.socket
      const address = formatAddress(remoteAddress, remoteFamily, remotePort)
      addSession('acceptor', { socket, address, stream: request.socket })
    })
    const { address, family, port: chosen } = server.address() as net.AddressInfo
    return formatAddress(address, family, chosen)
  }

  const stop = async (): Promise<void> => {
    stopping = true
    for (const dial of dials.values()) dial.cancel()
    // Closing a socket that is still connecting also emits an error, which the session handles.
    const socketsClosed = [...openSockets].map(([session, socket]) => new Promise<void>((resolve) => {
      if (socket.readyState === ws.WebSocket.CLOSED) return resolve()
      socket.once('close', () => resolve())
      session.close('stopping')
    }))
    await Promise.all(socketsClosed)
    const listeningServer = server
    if (listeningServer) await new Promise((resolve) => listeningServer.close(resolve))
  }

  return {
    listen,
    dial: (address) => {
      if (dials.has(address) || stopping) return
      const dial: Dial = { address, failures: 0, upAt: undefined, session: undefined, paused: false, cancel: () => {} }
      dials.set(address, dial)
      connect(dial)
    },
    forget: (address) => {
      const dial = dials.get(address)
      dials.delete(address)
      dial?.cancel()
      dial?.session?.close('address forgotten')
    },
    send: (id, message) => up.get(id)?.send(message),
    close: (id, reason) => up.get(id)?.close(reason),
    counts: () => ({ links: up.size, sent: context.sent, received: context.received }),
    stop
  }
}
