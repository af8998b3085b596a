import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as msgpackr from 'msgpackr/pack'
import * as ws from 'ws'

/** How a link is kept. Both of its ends use the same pace. */
export interface Pace {
  /** Time in ms between frames; a frame without messages is a heartbeat. */
  heartbeatMs: number
  /** Time in ms without a fresh echo after which a process no longer trusts its peer; three heartbeats. */
  trustMs: number
}

/** Between processes of which one acts for the other: a loss is noticed in time for the caller's next attempt. */
export const PROMPT: Pace = { heartbeatMs: 150, trustMs: 450 }
/** Between processes that only keep each other informed. */
export const RELAXED: Pace = { heartbeatMs: 450, trustMs: 1350 }
/** Time in ms by which a timer may fire late, and with it the end of a peer's trust. */
const TIMER_MARGIN_MS = 25
/** Time in ms for a connection to be set up; a packet to a machine without power is answered by nobody. */
const CONNECT_TIMEOUT_MS = 250
/** Pause in ms between attempts to reach a peer that was lost just now, as after a restart of everything. */
const RETRY_MS = 50
/** Attempts at that pace; later ones are `MAX_RETRY_MS` apart. */
const PROMPT_RETRIES = 100
const MAX_RETRY_MS = 1000
/** Bytes that wait for a peer that does not read, at which the link is closed. */
const MAX_BUFFERED_BYTES = 4 * 2 ** 20
/** Largest frame in bytes that is accepted. */
const MAX_FRAME_BYTES = 2 * 2 ** 20

/** Who a process is; sent first on each link. */
export interface Hello {
  role: string
  name: string
  /** Random identity of this life of the process. */
  life: string
  /** Address under which the process accepts links; empty if it does not. */
  address: string
}

export interface Session {
  readonly id: number
  readonly peer: Hello
  /** True if this process has dialed the peer, false if it was dialed. */
  readonly dialed: boolean
}

export interface Handler<Message> {
  up (session: Session): void
  message (session: Session, message: Message): void
  /**
   * The link is gone. `trustedUntil` is the monotonic ms up to which the peer may have trusted this process, or a
   * moment after it; a peer acts on nothing that it was told on the link later than that.
   */
  down (session: Session, trustedUntil: number): void
}

/**
 * Links to peers, in which each side knows how fresh the other's view is: every frame carries its sender's clock and
 * the latest clock that the sender has received, so that old frames in a queue do not pass for a living peer.
 */
export interface Sessions<Message> {
  listen (host: string, port: number): Promise<void>
  /** Keeps a link to the address until `forget`. */
  dial (address: string): void
  forget (address: string): void
  send (id: number, message: Message): void
  close (id: number, reason: string): void
  /** Closes all links at once, such as after a pause of the process. */
  closeAll (reason: string): void
  stop (): void
}

export interface Options<Message> {
  hello: Hello
  timers: clock.Timers
  log: log.Log
  handler: Handler<Message>
  /** Pace of links to the peer; the peer must choose the same one. */
  pace (peer: Hello): Pace
  /** Called before a frame is handled. */
  beforeInput (): void
}

type Frame<Message> = [sentAt: number, echo: number, messages: Message[]]

interface Link<Message> {
  id: number
  socket: ws.WebSocket
  /** Absent until the peer has said who it is. */
  session: Session | undefined
  address: string | undefined
  pace: Pace
  /** Own clock at which the peer's latest echo was sent: the peer was heard after that. */
  trustedFrom: number
  /** Monotonic ms of the latest frame. */
  heardAt: number
  /** Clock of the peer in its latest frame. */
  peerClock: number
  queue: Message[]
  flushing: boolean
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
    link.flushing = false
    if (link.closed) return
    const messages = link.queue
    link.queue = []
    const frame: Frame<Message> = [timers.monotonic(), link.peerClock, messages]
    write(link, frame)
    schedule(link)
  }
  /** The next heartbeat, or the moment at which the peer's trust in this side ends. */
  const schedule = (link: Link<Message>): void => {
    const trustMs = link.trustedFrom + link.pace.trustMs - timers.monotonic()
    link.cancel()
    link.cancel = timers.after(Math.max(1, Math.min(link.pace.heartbeatMs, trustMs + 1)), () => beat(link))
  }
  const beat = (link: Link<Message>): void => {
    beforeInput()
    if (link.closed) return
    const now = timers.monotonic()
    if (now - link.trustedFrom > link.pace.trustMs) return close(link, link.session ? 'peer is silent' : 'handshake timeout')
    if (link.session) return flush(link)
    schedule(link)
  }

  const close = (link: Link<Message>, reason: string, by: 'self' | 'peer' = 'self'): void => {
    if (link.closed) return
    link.closed = true
    link.cancel()
    links.delete(link.id)
    link.socket.terminate()
    if (link.session) {
      const { session } = link
      const now = timers.monotonic()
      log.info('link-down', { link: link.id, peer: session.peer.name, reason, heardMsAgo: Math.round(now - link.heardAt) })
      // A peer that has closed the link itself trusts it no longer.
      const trustedUntil = by === 'peer' ? now : link.heardAt + link.pace.trustMs + TIMER_MARGIN_MS
      handler.down(session, trustedUntil)
    }
    const dial = link.address === undefined ? undefined : dials.get(link.address)
    if (dial) retry(dial)
  }
  const retry = (dial: Dial): void => {
    if (stopped) return
    const delayMs = dial.failures < PROMPT_RETRIES ? RETRY_MS : MAX_RETRY_MS
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
    link.heardAt = timers.monotonic()
    if (!link.session) {
      if (!isHello(content) || content.life === hello.life) return close(link, 'no hello')
      link.session = { id: link.id, peer: content, dialed: link.address !== undefined }
      link.pace = options.pace(content)
      link.trustedFrom = link.heardAt
      const dial = link.address === undefined ? undefined : dials.get(link.address)
      if (dial) dial.failures = 0
      log.info('link-up', { link: link.id, peer: content.name, role: content.role, address: content.address })
      handler.up(link.session)
      return flush(link)
    }
    if (!Array.isArray(content) || content.length !== 3) return close(link, 'malformed frame')
    const [sentAt, echo, messages] = content as Frame<Message>
    link.peerClock = sentAt
    link.trustedFrom = Math.max(link.trustedFrom, echo)
    for (const message of messages) if (!link.closed) handler.message(link.session, message)
  }

  const add = (socket: ws.WebSocket, address: string | undefined): void => {
    const now = timers.monotonic()
    const link: Link<Message> = {
      id: nextId++,
      socket,
      session: undefined,
      address,
      pace: PROMPT,
      trustedFrom: now + CONNECT_TIMEOUT_MS - PROMPT.trustMs,
      heardAt: now,
      peerClock: 0,
      queue: [],
      flushing: false,
      cancel: () => {},
      closed: false
    }
    links.set(link.id, link)
    schedule(link)
    socket.on('message', (data) => onFrame(link, data as Buffer))
    socket.on('error', (cause) => close(link, cause.message, 'peer'))
    socket.on('close', () => close(link, 'closed by peer', 'peer'))
    if (socket.readyState === ws.WebSocket.OPEN) write(link, hello)
    else socket.once('open', () => write(link, hello))
  }
  const connect = (dial: Dial): void => {
    if (!stopped && dials.get(dial.address) === dial) {
      add(new ws.WebSocket(`ws://${dial.address}`, socketOptions), dial.address)
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
      started.on('connection', (socket) => add(socket, undefined))
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
      if (link.flushing) return
      link.flushing = true
      setImmediate(() => { if (link.flushing) flush(link) })
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
