import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** Receives the events of all links of one process, one at a time. */
export interface Handler {
  /** Both sides are authenticated and have exchanged `hello`. */
  up (link: types.LinkId, hello: messages.Hello): void
  /** A validated message other than `hello`; heartbeats included. */
  message (link: types.LinkId, message: messages.Message): void
  /** Called once per link that was up; no message of the link follows. */
  down (link: types.LinkId, reason: string): void
}

/** Traffic in one direction since the start of the process. */
export interface Traffic {
  frames: number
  /** Messages by kind; `hello` and heartbeats included. */
  messages: Map<messages.MessageKind, number>
  /** Payload bytes of frames, the handshake included, without the headers of the transport. */
  bytes: number
}

export interface Counts {
  /** Links that are up now. */
  links: number
  sent: Traffic
  received: Traffic
}

/** Links to peers. Messages on one link arrive in order, each at most once; a broken link loses the rest. */
export interface Links {
  /** Accepts links at host and port, port 0 for any free one; returns the address in use. */
  listen (host: string, port: number): Promise<string>
  /** Keeps a link to this address, with randomised backoff between attempts, until `forget`. */
  dial (address: string): void
  forget (address: string): void
  /** Queues a message; frames are batched per turn of the event loop. Ignored for a link that is down. */
  send (link: types.LinkId, message: messages.Message): void
  /** Flushes queued messages, then closes the link. `down` follows after the current callback. */
  close (link: types.LinkId, reason: string): void
  counts (): Counts
  /** Flushes queued messages, then closes all links. */
  stop (): Promise<void>
}
