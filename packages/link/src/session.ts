import type * as clock from '@mustarddeck/clock'
import * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import type * as net from 'node:net'
import type * as ws from 'ws'
import * as codec from './codec.ts'
import * as handshake from './handshake.ts'
import type * as link from './interface.ts'

export interface Limits {
  /** Maximum size in bytes of a frame, in both directions. */
  maxFrameBytes: number
  /** Unsent bytes above which the link to a peer that doesn't read is closed. */
  maxBufferedBytes: number
  heartbeatMs: number
  /** Time in ms without a frame after which the link is closed. Also limits each wait during the handshake. */
  timeoutMs: number
}

/** State and settings that all sessions of a process share. */
export interface Context {
  key: string
  limits: Limits
  timers: clock.Timers
  sent: link.Traffic
  received: link.Traffic
  hello (): messages.Hello
  /**
   * Returns the next heartbeat on a link, or undefined to send none. `idle` is true if no frame was sent within the
   * interval; otherwise that frame already showed the peer that this side is alive.
   */
  heartbeat (link: types.LinkId, idle: boolean): messages.Heartbeat | undefined
}

export type Side = 'dialer' | 'acceptor'

/** Callbacks of a session, in this order: `admit`, `up`, `message`, `ended`. */
export interface Observer {
  /** Returns a reason to refuse the peer, or undefined to accept it. */
  admit (session: Session, hello: messages.Hello): string | undefined
  up (session: Session, hello: messages.Hello): void
  message (session: Session, message: messages.Message): void
  /** Called exactly once for every session. */
  ended (session: Session, ending: CloseEvent): void
}

export interface CloseEvent {
  /** True if `up` was called before. */
  wasUp: boolean
  by: 'self' | 'peer'
  reason: string
  /** True if one side violated the protocol or a limit, for example by a wrong key or a malformed frame. */
  fault: boolean
}

/** A connection from its handshake until it is closed. */
export interface Session {
  readonly id: types.LinkId
  readonly side: Side
  /** Address of the peer's socket, or the address that was dialed. */
  readonly address: string
  /** Returns the peer's `hello`, or undefined before the session is up. */
  hello (): messages.Hello | undefined
  /** Returns the monotonic ms at which the latest frame arrived. */
  lastFrameAt (): number
  send (message: messages.Message): void
  /** Flushes queued messages, then closes. `ended` is called after the current callback returns. */
  close (reason: string): void
  /** Closes immediately, without a flush. `ended` is called before this returns. */
  replace (reason: string): void
}

/** Transport of a session. `stream` is the underlying socket of an accepted connection, to limit its handshake. */
export interface Transport {
  socket: ws.WebSocket
  address: string
  stream?: net.Socket
}

/** Maximum bytes of the upgrade request and the handshake, so that an unauthenticated peer can't fill buffers. */
const MAX_HANDSHAKE_STREAM_BYTES = 16_384

/** Close codes of WebSocket (RFC 6455, section 7.4). Codes from 4000 are for private use. */
const CLOSE_CODE = { normal: 1000, refused: 4000, fault: 4001 } as const
const MAX_REASON_LENGTH = 120

type Expected = 'challenge' | 'response' | 'confirmation' | 'hello' | 'messages' | 'nothing'

export const create = (
  id: types.LinkId, side: Side, { socket, address, stream }: Transport, context: Context, observer: Observer
): Session => {
  const { limits, timers } = context
  const ownNonce = handshake.nonce()
  let expected: Expected = side === 'dialer' ? 'challenge' : 'response'
  let peer: messages.Hello | undefined
  let queue: messages.Message[] = []
  let lastFrameAt = timers.monotonic()
  let heartbeatAt = Infinity
  let sentAt = -Infinity
  let cancelTimer: clock.Cancellation = () => {}
  let closing = false
  let expectedProof: Uint8Array = Buffer.alloc(0)

  const end = (by: CloseEvent['by'], reason: string, fault: boolean): void => {
    if (expected === 'nothing') return
    expected = 'nothing'
    queue = []
    cancelTimer()
    stream?.off('data', limitHandshake)
    observer.ended(session, { wasUp: peer !== undefined, by, reason, fault })
  }
  /** Closes immediately with a reason for the peer. Frames that still arrive are ignored. */
  const closeNow = (code: number, reason: string, fault: boolean): void => {
    socket.close(code, reason.slice(0, MAX_REASON_LENGTH))
    end('self', reason, fault)
  }
  const fail = (reason: string): void => closeNow(CLOSE_CODE.fault, reason, true)
  /** Closes without a closing handshake, which an unresponsive peer would not complete. */
  const terminate = (reason: string): void => {
    socket.terminate()
    end('self', reason, true)
  }

  const limitHandshake = (): void => {
    if (stream && stream.bytesRead > MAX_HANDSHAKE_STREAM_BYTES) terminate('handshake above the size limit')
  }

  const write = (frame: Buffer): void => {
    context.sent.frames++
    context.sent.bytes += frame.length
    socket.send(frame)
  }
  const flush = (): void => {
    if (queue.length === 0) return
    const batch = queue
    queue = []
    const frames = codec.encode(batch, limits.maxFrameBytes)
    if (!frames) return fail('own message above the size limit')
    for (const message of batch) countMessage(context.sent, message)
    sentAt = timers.monotonic()
    frames.forEach(write)
    if (socket.bufferedAmount > limits.maxBufferedBytes) terminate('peer does not read')
  }
  const send = (message: messages.Message): void => {
    if (expected !== 'messages' || closing) return
    if (queue.push(message) === 1) setImmediate(flush)
  }

  const scheduleTimer = (): void => {
    cancelTimer()
    const at = Math.min(heartbeatAt, lastFrameAt + limits.timeoutMs)
    cancelTimer = timers.after(Math.max(0, at - timers.monotonic()), onTimer)
  }
  const onTimer = (): void => {
    const now = timers.monotonic()
    if (now - lastFrameAt >= limits.timeoutMs) {
      return terminate(peer ? 'no frame within the link timeout' : 'handshake timeout')
    }
    if (now >= heartbeatAt) {
      const idle = now - sentAt >= limits.heartbeatMs
      const message = context.heartbeat(id, idle)
      heartbeatAt = (message || idle ? now : sentAt) + limits.heartbeatMs
      if (message) send(message)
    }
    scheduleTimer()
  }

  const sendHello = (): void => {
    const hello = context.hello()
    countMessage(context.sent, hello)
    write(codec.pack([hello]))
  }
  const onChallenge = (frame: Uint8Array): void => {
    const challenge = handshake.parseChallenge(frame)
    if (!challenge) return fail('malformed frame')
    if (challenge.version !== messages.PROTOCOL_VERSION) return fail(`protocol version ${challenge.version}`)
    expected = 'confirmation'
    expectedProof = handshake.prove(context.key, 'acceptor', ownNonce, challenge.nonce)
    const proof = handshake.prove(context.key, 'dialer', ownNonce, challenge.nonce)
    write(codec.pack({ kind: 'response', nonce: ownNonce, proof }))
  }
  const onResponse = (frame: Uint8Array): void => {
    const response = handshake.parseResponse(frame)
    if (!response) return fail('malformed frame')
    const proof = handshake.prove(context.key, 'dialer', response.nonce, ownNonce)
    if (!handshake.matches(response.proof, proof)) return fail('wrong key')
    expected = 'hello'
    write(codec.pack({
      kind: 'confirmation', proof: handshake.prove(context.key, 'acceptor', response.nonce, ownNonce)
    }))
  }
  const onConfirmation = (frame: Uint8Array): void => {
    const confirmation = handshake.parseConfirmation(frame)
    if (!confirmation) return fail('malformed frame')
    if (!handshake.matches(confirmation.proof, expectedProof)) return fail('wrong key')
    expected = 'hello'
    sendHello()
  }
  const onHello = (frame: Uint8Array): void => {
    const batch = codec.decode(frame)
    const hello = batch?.[0]
    if (batch?.length !== 1 || hello?.kind !== 'hello') return fail('malformed frame')
    countMessage(context.received, hello)
    const refusal = observer.admit(session, hello)
    if (refusal !== undefined) return closeNow(CLOSE_CODE.refused, refusal, false)
    if (side === 'acceptor') sendHello()
    peer = hello
    expected = 'messages'
    stream?.off('data', limitHandshake)
    heartbeatAt = timers.monotonic() + limits.heartbeatMs
    scheduleTimer()
    observer.up(session, hello)
  }
  const onMessages = (frame: Uint8Array): void => {
    const batch = codec.decode(frame)
    if (!batch || batch.some((message) => message.kind === 'hello')) return fail('malformed frame')
    for (const message of batch) {
      countMessage(context.received, message)
      // A handler may close the link between two messages of a frame.
      if (expected === 'messages' && !closing) observer.message(session, message)
    }
  }
  const frameHandlers = {
    challenge: onChallenge,
    response: onResponse,
    confirmation: onConfirmation,
    hello: onHello,
    messages: onMessages,
    nothing: () => {}
  }

  const session: Session = {
    id,
    side,
    address,
    hello: () => peer,
    lastFrameAt: () => lastFrameAt,
    send,
    close: (reason) => {
      if (expected === 'nothing' || closing) return
      closing = true
      queueMicrotask(() => {
        flush()
        if (expected !== 'nothing') closeNow(CLOSE_CODE.normal, reason, false)
      })
    },
    replace: (reason) => {
      if (expected !== 'nothing') closeNow(CLOSE_CODE.normal, reason, false)
    }
  }
  socket.on('message', (data, isBinary) => {
    if (expected === 'nothing' || closing) return
    const frame = data as Buffer
    context.received.frames++
    context.received.bytes += frame.length
    if (!isBinary) return fail('malformed frame')
    lastFrameAt = timers.monotonic()
    frameHandlers[expected](frame)
  })
  socket.on('error', (error: NodeJS.ErrnoException) =>
    end('self', error.message, error.code?.startsWith('WS_ERR') ?? false))
  socket.on('close', (code, reason) =>
    end('peer', reason.toString() || `connection closed (${code})`, code === CLOSE_CODE.fault))
  stream?.on('data', limitHandshake)
  if (side === 'acceptor') {
    write(codec.pack({ kind: 'challenge', version: messages.PROTOCOL_VERSION, nonce: ownNonce }))
  }
  scheduleTimer()
  return session
}

const countMessage = (traffic: link.Traffic, message: messages.Message): void => {
  traffic.messages.set(message.kind, (traffic.messages.get(message.kind) ?? 0) + 1)
}
