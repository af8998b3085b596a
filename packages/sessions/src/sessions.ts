import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as msgpackr from 'msgpackr/pack'
import * as ws from 'ws'

/** Intervals of heartbeats and timeouts on a link. Both ends use the same ones. */
export interface Pace {
  /** Maximum interval in ms between frames. A frame without messages is a heartbeat. */
  heartbeatMs: number
  /** Time in ms without a fresh echo after which a process no longer trusts its peer to be alive: three heartbeats. */
  timeoutMs: number
}

/** Pace between an entry and an agent, which acts for it: a loss is detected in time for the caller's next attempt. */
export const PROMPT: Pace = { heartbeatMs: 150, timeoutMs: 450 }
/** Pace between processes that only exchange status. */
export const RELAXED: Pace = { heartbeatMs: 450, timeoutMs: 1350 }
/** Time in ms by which a peer's timer, and so the end of its trust, may be late. */
const TIMER_TOLERANCE_MS = 25
/** Time limit in ms for setting up a connection. A machine without power answers no packets. */
const CONNECT_TIMEOUT_MS = 250
/** Delay in ms between the first attempts to reach a lost peer, for example after a restart of all processes. */
const FAST_RETRY_MS = 50
/** Number of attempts with that delay. Later ones are `SLOW_RETRY_MS` apart. */
const FAST_RETRIES = 100
const SLOW_RETRY_MS = 1000
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
  /** Keeps a link to the address, with reconnects, until `forget`. */
  dial (address: string): void
  forget (address: string): void
  send (id: number, message: Message): void
  close (id: number, reason: string): void
  /** Closes all links immediately, for example after a pause of the process. */
  closeAll (reason: string): void
  stop (): void
}

export interface Options<Message> {
  hello: Hello
  timers: clock.Timers
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
  /** Own clock in the peer's latest echo. The peer was alive after that time. */
  echoedAt: number
  /** Monotonic ms at which the latest frame arrived. */
  receivedAt: number
  /** Clock of the peer in its latest frame. */
  peerClock: number
  queue: Message[]
  flushScheduled: boolean
  cancel: clock.Cancellation
  closed: boolean
}

interface Dial {
  address: string
  failures: number
  cancel: clock.Cancellation
}

const isHello = (value: unknown): value is Hello => {
  const hello = value as Hello | undefined
  return typeof hello === 'object' && hello !== null && typeof hello.role === 'string' &&
    typeof hello.name === 'string' && typeof hello.life === 'string' && typeof hello.address === 'string'
}

export const create = <Message>(options: Options<Message>): Sessions<Message> => {
  const { hello, timers, log, handler, beforeInput } = options
  const packr = new msgpackr.Packr({ useRecords: false, variableMapSize: true, structuredClone: false })
  const links = new Map<number, Link<Message>>()
  const dials = new Map<string, Dial>()
  const socketOptions = { maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false }
  let server: ws.WebSocketServer | undefined
  let nextId = 1
  let stopped = false

  const write = (link: Link<Message>, content: unknown): void => {
    if (link.socket.readyState !== ws.WebSocket.OPEN) return
    link.socket.send(packr.pack(content))
    if (link.socket.bufferedAmount > MAX_BUFFERED_BYTES) close(link, 'peer does not read')
  }
  const flush = (link: Link<Message>): void => {
    link.flushScheduled = false
    if (link.closed) return
    const messages = link.queue
    link.queue = []
    const frame: Frame<Message> = [timers.monotonic(), link.peerClock, messages]
    write(link, frame)
    scheduleTimer(link)
  }
  /** Schedules the next heartbeat, or the end of this side's trust in the peer if that is earlier. */
  const scheduleTimer = (link: Link<Message>): void => {
    const remainingMs = link.echoedAt + link.pace.timeoutMs - timers.monotonic()
    link.cancel()
    link.cancel = timers.after(Math.max(1, Math.min(link.pace.heartbeatMs, remainingMs + 1)), () => onTimer(link))
  }
  const onTimer = (link: Link<Message>): void => {
    beforeInput()
    if (link.closed) return
    const now = timers.monotonic()
    if (now - link.echoedAt > link.pace.timeoutMs) return close(link, link.session ? 'peer is silent' : 'handshake timeout')
    if (link.session) return flush(link)
    scheduleTimer(link)
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
      log.info('link-down', { link: link.id, peer: session.peer.name, reason, heardMsAgo: Math.round(now - link.receivedAt) })
      // A peer that closed the link itself no longer trusts this process.
      const trustedUntil = closedBy === 'peer' ? now : link.receivedAt + link.pace.timeoutMs + TIMER_TOLERANCE_MS
      handler.down(session, trustedUntil)
    }
    const dial = link.address === undefined ? undefined : dials.get(link.address)
    if (dial) retry(dial)
  }
  const retry = (dial: Dial): void => {
    if (stopped) return
    const delayMs = dial.failures < FAST_RETRIES ? FAST_RETRY_MS : SLOW_RETRY_MS
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
      log.info('link-up', { link: link.id, peer: content.name, role: content.role, address: content.address })
      handler.up(link.session)
      return flush(link)
    }
    if (!Array.isArray(content) || content.length !== 3) return close(link, 'malformed frame')
    const [sentAt, echo, messages] = content as Frame<Message>
    link.peerClock = sentAt
    link.echoedAt = Math.max(link.echoedAt, echo)
    for (const message of messages) if (!link.closed) handler.message(link.session, message)
  }

  const addLink = (socket: ws.WebSocket, address: string | undefined): void => {
    const now = timers.monotonic()
    const link: Link<Message> = {
      id: nextId++,
      socket,
      session: undefined,
      address,
      pace: PROMPT,
      echoedAt: now + CONNECT_TIMEOUT_MS - PROMPT.timeoutMs,
      receivedAt: now,
      peerClock: 0,
      queue: [],
      flushScheduled: false,
      cancel: () => {},
      closed: false
    }
    links.set(link.id, link)
    scheduleTimer(link)
    socket.on('message', (data) => onFrame(link, data as Buffer))
    socket.on('error', (cause) => close(link, cause.message, 'peer'))
    socket.on('close', () => close(link, 'closed by peer', 'peer'))
    if (socket.readyState === ws.WebSocket.OPEN) write(link, hello)
    else socket.once('open', () => write(link, hello))
  }
  const connect = (dial: Dial): void => {
    if (!stopped && dials.get(dial.address) === dial) {
      addLink(new ws.WebSocket(`ws://${dial.address}`, socketOptions), dial.address)
    }
  }

  return {
    listen: async (host, port) => {
      server = new ws.WebSocketServer({ host, port, ...socketOptions })
      const started = server
      await new Promise<void>((resolve, reject) => {
        started.once('listening', resolve)
        started.once('error', reject)
      })
      started.on('error', (cause) => log.error('link-server-failed', { reason: cause.message }))
      started.on('connection', (socket) => addLink(socket, undefined))
    },
    dial: (address) => {
      if (dials.has(address) || address === hello.address || stopped) return
      const dial: Dial = { address, failures: 0, cancel: () => {} }
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
    closeAll: (reason) => { for (const link of [...links.values()]) close(link, reason) },
    stop: () => {
      stopped = true
      for (const dial of dials.values()) dial.cancel()
      for (const link of [...links.values()]) close(link, 'stopping')
      server?.close()
    }
  }
}
