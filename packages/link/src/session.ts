import type * as clock from '@mustarddeck/clock'
import * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import type * as net from 'node:net'
import type * as ws from 'ws'
import * as codec from './codec.ts'
import * as handshake from './handshake.ts'
import type * as link from './interface.ts'

export interface Limits {
  /** Largest frame in bytes, in both directions. */
  maxFrameBytes: number
  /** Bytes waiting for a peer that does not read, at which its link is closed. */
  maxBufferedBytes: number
  heartbeatMs: number
  /** Time in ms without any frame after which the link is closed; also the limit of the handshake. */
  timeoutMs: number
}

/** What all sessions of a process share. */
export interface Context {
  key: string
  limits: Limits
  timers: clock.Timers
  sent: link.Traffic
  received: link.Traffic
  hello (): messages.Hello
  /**
   * Content of the next heartbeat on a link. `silent` is false if a frame was sent within the interval, which shows as
   * much as a heartbeat would. Undefined for none.
   */
  heartbeat (link: types.LinkId, silent: boolean): messages.Heartbeat | undefined
}

export type Side = 'dialer' | 'acceptor'

/** Decisions and events of one session, in this order: `admit`, `up`, `message`, `ended`. */
export interface Observer {
  /** Returns a reason to refuse the peer. */
  admit (session: Session, hello: messages.Hello): string | undefined
  up (session: Session, hello: messages.Hello): void
  message (session: Session, message: messages.Message): void
  /** Called once for every session. */
  ended (session: Session, ending: Ending): void
}

export interface Ending {
  /** `up` was called before. */
  wasUp: boolean
  by: 'self' | 'peer'
  reason: string
  /** True when one side found fault with the other, such as a wrong key or a malformed frame. */
  fault: boolean
}

/** One connection, from its handshake to its end. */
export interface Session {
  readonly id: types.LinkId
  readonly side: Side
  /** Address of the peer's socket, or the address that was dialed. */
  readonly address: string
  /** Set when the session is up. */
  hello (): messages.Hello | undefined
  /** Monotonic ms of the latest frame. */
  heardAt (): number
  send (message: messages.Message): void
  /** Flushes queued messages, then closes. `ended` follows after the current callback. */
  close (reason: string): void
  /** Closes without a flush; `ended` is called before this returns. */
  replace (reason: string): void
}

/** Both ends of the transport of a session. `stream` is given where the peer is not trusted yet. */
export interface Transport {
  socket: ws.WebSocket
  address: string
  stream?: net.Socket
}

/** Bytes of the upgrade request and the handshake; an unknown peer cannot make this side buffer more. */
const MAX_HANDSHAKE_STREAM_BYTES = 16_384

/** Codes of the WebSocket protocol (RFC 6455, 7.4); 4000 and above are private. */
const CODE = { normal: 1000, refused: 4000, fault: 4001 } as const
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
  let heardAt = timers.monotonic()
  let heartbeatAt = Infinity
  let sentAt = -Infinity
  let cancelTimer: clock.Cancellation = () => {}
  let closing = false
  let expectedProof: Uint8Array = Buffer.alloc(0)

  const end = (by: Ending['by'], reason: string, fault: boolean): void => {
    if (expected === 'nothing') return
    expected = 'nothing'
    queue = []
    cancelTimer()
    stream?.off('data', limitHandshake)
    observer.ended(session, { wasUp: peer !== undefined, by, reason, fault })
  }
  /** Ends at once and tells the peer why; what the peer still sends is ignored. */
  const closeNow = (code: number, reason: string, fault: boolean): void => {
    socket.close(code, reason.slice(0, MAX_REASON_LENGTH))
    end('self', reason, fault)
  }
  const fail = (reason: string): void => closeNow(CODE.fault, reason, true)
  /** For a peer that does not answer: the closing handshake would not complete either. */
  const abandon = (reason: string): void => {
    socket.terminate()
    end('self', reason, true)
  }

  const limitHandshake = (): void => {
    if (stream && stream.bytesRead > MAX_HANDSHAKE_STREAM_BYTES) abandon('handshake above the size limit')
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
    for (const message of batch) count(context.sent, message)
    sentAt = timers.monotonic()
    frames.forEach(write)
    if (socket.bufferedAmount > limits.maxBufferedBytes) abandon('peer does not read')
  }
  const send = (message: messages.Message): void => {
    if (expected !== 'messages' || closing) return
    if (queue.push(message) === 1) setImmediate(flush)
  }

  const wait = (): void => {
    cancelTimer()
    const at = Math.min(heartbeatAt, heardAt + limits.timeoutMs)
    cancelTimer = timers.after(Math.max(0, at - timers.monotonic()), onTimer)
  }
  const onTimer = (): void => {
    const now = timers.monotonic()
    if (now - heardAt >= limits.timeoutMs) {
      return abandon(peer ? 'no frame within the link timeout' : 'handshake timeout')
    }
    if (now >= heartbeatAt) {
      const silent = now - sentAt >= limits.heartbeatMs
      const message = context.heartbeat(id, silent)
      heartbeatAt = (message || silent ? now : sentAt) + limits.heartbeatMs
      if (message) send(message)
    }
    wait()
  }

  const sendHello = (): void => {
    const hello = context.hello()
    count(context.sent, hello)
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
    count(context.received, hello)
    const refusal = observer.admit(session, hello)
    if (refusal !== undefined) return closeNow(CODE.refused, refusal, false)
    if (side === 'acceptor') sendHello()
    peer = hello
    expected = 'messages'
    stream?.off('data', limitHandshake)
    heartbeatAt = timers.monotonic() + limits.heartbeatMs
    wait()
    observer.up(session, hello)
  }
  const onMessages = (frame: Uint8Array): void => {
    const batch = codec.decode(frame)
    if (!batch || batch.some((message) => message.kind === 'hello')) return fail('malformed frame')
    for (const message of batch) {
      count(context.received, message)
      // A handler may close the link between two messages of a frame.
      if (expected === 'messages' && !closing) observer.message(session, message)
    }
  }
  const receive = {
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
    heardAt: () => heardAt,
    send,
    close: (reason) => {
      if (expected === 'nothing' || closing) return
      closing = true
      queueMicrotask(() => {
        flush()
        if (expected !== 'nothing') closeNow(CODE.normal, reason, false)
      })
    },
    replace: (reason) => {
      if (expected !== 'nothing') closeNow(CODE.normal, reason, false)
    }
  }
  socket.on('message', (data, isBinary) => {
    if (expected === 'nothing' || closing) return
    const frame = data as Buffer
    context.received.frames++
    context.received.bytes += frame.length
    if (!isBinary) return fail('malformed frame')
    heardAt = timers.monotonic()
    receive[expected](frame)
  })
  socket.on('error', (error: NodeJS.ErrnoException) =>
    end('self', error.message, error.code?.startsWith('WS_ERR') ?? false))
  socket.on('close', (code, reason) =>
    end('peer', reason.toString() || `connection closed (${code})`, code === CODE.fault))
  stream?.on('data', limitHandshake)
  if (side === 'acceptor') {
    write(codec.pack({ kind: 'challenge', version: messages.PROTOCOL_VERSION, nonce: ownNonce }))
  }
  wait()
  return session
}

const count = (traffic: link.Traffic, message: messages.Message): void => {
  traffic.messages.set(message.kind, (traffic.messages.get(message.kind) ?? 0) + 1)
}
