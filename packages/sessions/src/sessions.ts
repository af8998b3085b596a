import type * as clock from '@mustarddeck/clock'
import * as log from '@mustarddeck/log'
import type * as random from '@mustarddeck/random'
import * as msgpackr from 'msgpackr/pack'
import * as net from 'node:net'
import * as ws from 'ws'
import * as addresses from './address.ts'
import * as retryDelay from './retry-delay.ts'

/** Intervals of heartbeats and timeouts on a link. Both ends use the same ones. */
export interface Pace {
  /** Age in ms of the latest echo at which the dialing end requests a fresh one. */
  heartbeatMs: number
  /**
   * Age in ms of the latest echo after which the dialing end no longer trusts its peer to be alive. The other end's
   * echo is up to one heartbeat older, since it arrives with the next heartbeat.
   */
  timeoutMs: number
}

/** Pace between an entry and an agent, which acts for it: a loss is detected in time for the caller's next attempt. */
export const PROMPT: Pace = { heartbeatMs: 280, timeoutMs: 560 }
/** Pace between processes that only exchange status. */
export const RELAXED: Pace = { heartbeatMs: 900, timeoutMs: 1800 }
/**
 * Share of the heartbeat interval without a frame of its own after which the accepting end replies to any frame. The
 * dialing end's other messages then serve as heartbeats, so that a link under load carries no empty frames.
 */
const REPLY_AFTER_SHARE = 0.4
/** Time in ms by which a peer's timer, and so the end of its trust, may be late. */
const TIMER_TOLERANCE_MS = 25
/** Longest time in ms that a dialing process acts for its peer after the peer fell silent. */
export const dialerTrustMs = ({ timeoutMs }: Pace): number => timeoutMs + TIMER_TOLERANCE_MS
/** Time limit in ms for a TCP connection. A machine without power answers no packets. */
const CONNECT_TIMEOUT_MS = 250
/**
 * Time limit in ms from the TCP connection to the peer's hello. A peer that accepts connections may have many
 * handshakes to process; a new attempt would only add one more.
 */
const HANDSHAKE_TIMEOUT_MS = 2000
/** Unsent bytes above which the link to a peer that doesn't read is closed. */
const MAX_BUFFERED_BYTES = 4 * 2 ** 20
/** Maximum size in bytes of a received frame. */
const MAX_FRAME_BYTES = 2 * 2 ** 20

/** Identity of a process, sent as the first frame on each link. */
export interface Hello {
  role: string
  name: string
  /** Random id of this incarnation of the process. */
  life: string
  /** Address at which the process accepts links; empty if it accepts none. */
  address: string
}

export interface Session {
  readonly id: number
  readonly peer: Hello
  /** True if this process dialed the peer, false if the peer dialed it. */
  readonly dialed: boolean
}

export interface Handler<Message> {
  up (session: Session): void
  /** Called for each received message; the content is as the peer sent it and may have another type. */
  message (session: Session, message: Message): void
  /**
   * Called when a link that was up is closed. `trustedUntil` is the latest monotonic ms at which the peer
   * may have trusted this process. After that, the peer no longer acts on messages of the link.
   */
  down (session: Session, trustedUntil: number): void
}

/**
 * Links to peers on which each side knows how fresh the other's view is. Every frame carries the sender's clock and an
 * echo of the latest clock that it received, so that queued old frames aren't taken as a sign that the peer is alive.
 */
export interface Sessions<Message> {
  listen (host: string, port: number): Promise<void>
  /** Keeps a link to the address, with reconnects, until `forget`. A malformed address is logged and ignored. */
  dial (address: string): void
  forget (address: string): void
  send (id: number, message: Message): void
  close (id: number, reason: string): void
  /**
   * Closes the links to peers that are no longer trusted to be alive. On a busy machine the timers that close them are
   * late, so this is called before an action that the peer may no longer count on.
   */
  closeExpired (): void
  /** Closes all links immediately, for example after a pause of the process. */
  closeAll (reason: string): void
  stop (): void
}

export interface Options<Message> {
  hello: Hello
  timers: clock.Timers
  /** Spreads the attempts of many processes to reach the same peer. */
  random: random.Random
  log: log.Log
  handler: Handler<Message>
  /** Returns the pace of links to the peer. The peer must choose the same one. */
  pace (peer: Hello): Pace
  /** Called before a frame or a timer is handled. */
  beforeInput (): void
}

type Frame<Message> = [sentAt: number, echo: number, messages: Message[]]

interface Link<Message> {
  id: number
  socket: ws.WebSocket
  /** Undefined until the peer's hello arrives. */
  session: Session | undefined
  address: string | undefined
  pace: Pace
  /** Monotonic ms at which the link closes unless the peer's hello has arrived. */
  helloDeadline: number
  /** Own clock in the peer's latest echo. The peer was alive after that time. */
  echoedAt: number
  /** Monotonic ms at which the latest frame arrived. */
  receivedAt: number
  /** Monotonic ms at which the latest frame was sent. */
  sentAt: number
  /** Clock of the peer in its latest frame. */
  peerClock: number
  queue: Message[]
  flushScheduled: boolean
  cancel: clock.Cancellation
  closed: boolean
}

interface Dial {
  address: string
  target: addresses.Address
  /** Failed attempts since the last link. */
  failures: number
  cancel: clock.Cancellation
}

const isHello = (value: unknown): value is Hello => {
  const hello = value as Hello | undefined
  return typeof hello === 'object' && hello !== null && typeof hello.role === 'string' &&
    typeof hello.name === 'string' && typeof hello.life === 'string' && typeof hello.address === 'string'
}

const isFrame = <Message>(value: unknown): value is Frame<Message> => {
  if (!Array.isArray(value) || value.length !== 3) return false
  const [sentAt, echo, messages] = value as unknown[]
  return Number.isFinite(sentAt) && Number.isFinite(echo) && Array.isArray(messages)
}

/** Age in ms of an echo up to which an end of a link trusts its peer. */
const echoTimeoutMs = ({ heartbeatMs, timeoutMs }: Pace, dialed: boolean): number =>
  dialed ? timeoutMs : timeoutMs + heartbeatMs

export const create = <Message>(options: Options<Message>): Sessions<Message> => {
  const { hello, timers, random: generator, log: writer, handler, beforeInput } = options
  const packr = new msgpackr.Packr({ useRecords: false, variableMapSize: true, structuredClone: false })
  const links = new Map<number, Link<Message>>()
  const dials = new Map<string, Dial>()
  const socketOptions = { maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false }
  let server: ws.WebSocketServer | undefined
  let nextId = 1
  let stopped = false

  const write = (link: Link<Message>, content: unknown): void => {
    if (link.socket.readyState !== ws.WebSocket.OPEN) return
    // A message that can't be encoded must not be missed by the peer while later ones arrive.
    if (!log.guard(writer, 'link', () => link.socket.send(packr.pack(content)))) return close(link, 'frame not sent')
    if (link.socket.bufferedAmount > MAX_BUFFERED_BYTES) close(link, 'peer does not read')
  }
  const flush = (link: Link<Message>): void => {
    link.flushScheduled = false
    if (link.closed) return
    const messages = link.queue
    link.queue = []
    link.sentAt = timers.monotonic()
    const frame: Frame<Message> = [link.sentAt, link.peerClock, messages]
    write(link, frame)
  }
  const isExpired = ({ session, pace, echoedAt }: Link<Message>, now: number): boolean =>
    session !== undefined && now - echoedAt > echoTimeoutMs(pace, session.dialed)
  /** Closes the link when this end's trust in the peer ends. The dialing end requests an echo before that. */
  const onTimer = (link: Link<Message>): void => {
    beforeInput()
    if (link.closed) return
    const now = timers.monotonic()
    if (!link.session) {
      if (now >= link.helloDeadline) return close(link, 'handshake timeout')
      return schedule(link, link.helloDeadline - now)
    }
    if (isExpired(link, now)) return close(link, 'peer is silent')
    const ageMs = now - link.echoedAt
    const trustMs = echoTimeoutMs(link.pace, link.session.dialed)
    if (!link.session.dialed) return schedule(link, trustMs - ageMs + 1)
    if (ageMs < link.pace.heartbeatMs) return schedule(link, link.pace.heartbeatMs - ageMs)
    flush(link)
    schedule(link, Math.min(link.pace.heartbeatMs, trustMs - ageMs + 1))
  }
  const schedule = (link: Link<Message>, delayMs: number): void => {
    link.cancel()
    link.cancel = timers.after(Math.max(1, delayMs), () => onTimer(link))
  }

  const close = (link: Link<Message>, reason: string, closedBy: 'self' | 'peer' = 'self'): void => {
    if (link.closed) return
    link.closed = true
    link.cancel()
    links.delete(link.id)
    link.socket.terminate()
    if (link.session) {
      const { session } = link
      const now = timers.monotonic()
      writer.info('link-down', { link: link.id, peer: session.peer.name, reason, heardMsAgo: Math.round(now - link.receivedAt) })
      // A peer that closed the link itself no longer trusts this process.
      const peerTrustMs = echoTimeoutMs(link.pace, !session.dialed) + TIMER_TOLERANCE_MS
      const trustedUntil = closedBy === 'peer' ? now : link.receivedAt + peerTrustMs
      handler.down(session, trustedUntil)
    }
    const dial = link.address === undefined ? undefined : dials.get(link.address)
    if (dial) retry(dial)
  }
  const retry = (dial: Dial): void => {
    if (stopped) return
    const delayMs = retryDelay.delayMs(dial.failures, generator)
    dial.failures++
    dial.cancel()
    dial.cancel = timers.after(delayMs, () => connect(dial))
  }

  const onFrame = (link: Link<Message>, data: Buffer): void => {
    beforeInput()
    if (link.closed) return
    let content: unknown
    try {
      content = packr.unpack(data)
    } catch (cause) {
      return close(link, `frame cannot be read: ${(cause as Error).message}`)
    }
    link.receivedAt = timers.monotonic()
    if (!link.session) {
      if (!isHello(content) || content.life === hello.life) return close(link, 'no hello')
      link.session = { id: link.id, peer: content, dialed: link.address !== undefined }
      link.pace = options.pace(content)
      link.echoedAt = link.receivedAt
      const dial = link.address === undefined ? undefined : dials.get(link.address)
      if (dial) dial.failures = 0
      writer.info('link-up', { link: link.id, peer: content.name, role: content.role, address: content.address })
      handler.up(link.session)
      schedule(link, 1)
      return flush(link)
    }
    if (!isFrame<Message>(content)) return close(link, 'malformed frame')
    const [sentAt, echo, messages] = content
    link.peerClock = sentAt
    // An echo from the future would keep the link up after the peer has fallen silent.
    if (echo <= link.receivedAt) link.echoedAt = Math.max(link.echoedAt, echo)
    // The frame may have waited for longer than the peer trusts this end.
    if (isExpired(link, link.receivedAt)) return close(link, 'peer is silent')
    for (const message of messages) if (!link.closed) handler.message(link.session, message)
    if (!link.session.dialed && !link.flushScheduled && needsEcho(link, messages)) flush(link)
  }
  /** An empty frame from the dialing end requests an echo; others get one if the latest was sent a while ago. */
  const needsEcho = ({ pace, sentAt, receivedAt }: Link<Message>, messages: Message[]): boolean =>
    messages.length === 0 || receivedAt - sentAt >= REPLY_AFTER_SHARE * pace.heartbeatMs

  const addLink = (socket: ws.WebSocket, connection: net.Socket, address: string | undefined): Link<Message> => {
    const now = timers.monotonic()
    let hasPeerEnded = false
    const link: Link<Message> = {
      id: nextId++,
      socket,
      session: undefined,
      address,
      pace: PROMPT,
      helloDeadline: now + HANDSHAKE_TIMEOUT_MS,
      echoedAt: now,
      receivedAt: now,
      sentAt: now,
      peerClock: 0,
      queue: [],
      flushScheduled: false,
      cancel: () => {},
      closed: false
    }
    links.set(link.id, link)
    socket.on('message', (data) => {
      if (!log.guard(writer, 'link', () => onFrame(link, data as Buffer))) close(link, 'frame not handled')
    })
    connection.on('end', () => { hasPeerEnded = true })
    socket.on('error', (cause) => close(link, cause.message))
    // The peer may not know of a reset by a network component in between.
    socket.on('close', () => hasPeerEnded ? close(link, 'closed by peer', 'peer') : close(link, 'connection reset'))
    if (socket.readyState === ws.WebSocket.OPEN) write(link, hello)
    else socket.once('open', () => write(link, hello))
    return link
  }
  const connect = (dial: Dial): void => {
    if (stopped || dials.get(dial.address) !== dial) return
    const connection = net.connect(dial.target)
    const socket = new ws.WebSocket(`ws://${dial.address}`, { ...socketOptions, createConnection: () => connection })
    const link = addLink(socket, connection, dial.address)
    link.helloDeadline = timers.monotonic() + CONNECT_TIMEOUT_MS
    connection.once('connect', () => { link.helloDeadline = timers.monotonic() + HANDSHAKE_TIMEOUT_MS })
    schedule(link, CONNECT_TIMEOUT_MS)
  }

  return {
    listen: async (host, port) => {
      server = new ws.WebSocketServer({ host, port, ...socketOptions })
      const started = server
      await new Promise<void>((resolve, reject) => {
        started.once('listening', resolve)
        started.once('error', reject)
      })
      started.on('error', (cause) => writer.error('link-server-failed', { reason: cause.message }))
      started.on('connection', (socket, request) =>
        schedule(addLink(socket, request.socket, undefined), HANDSHAKE_TIMEOUT_MS))
    },
    dial: (address) => {
      if (dials.has(address) || address === hello.address || stopped) return
      const target = addresses.parseAddress(address)
      if (!target) return writer.warn('address-malformed', { address })
      const dial: Dial = { address, target, failures: 0, cancel: () => {} }
      dials.set(address, dial)
      connect(dial)
    },
    forget: (address) => {
      dials.get(address)?.cancel()
      dials.delete(address)
    },
    send: (id, message) => {
      const link = links.get(id)
      if (!link?.session) return
      link.queue.push(message)
      if (link.flushScheduled) return
      link.flushScheduled = true
      setImmediate(() => { if (link.flushScheduled) flush(link) })
    },
    close: (id, reason) => {
      const link = links.get(id)
      if (link) close(link, reason)
    },
    closeExpired: () => {
      const now = timers.monotonic()
      for (const link of [...links.values()]) if (isExpired(link, now)) close(link, 'peer is silent')
    },
    closeAll: (reason) => { for (const link of [...links.values()]) close(link, reason) },
    stop: () => {
      stopped = true
      for (const dial of dials.values()) dial.cancel()
      for (const link of [...links.values()]) close(link, 'stopping')
      server?.close()
    }
  }
}
