import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** Receives the events of all links of a process, one at a time. */
export interface Handler {
  /** Called when both sides are authenticated and have exchanged `hello`. */
  up (link: types.LinkId, hello: messages.Hello): void
  /** Called for each validated message except `hello`, including heartbeats. */
  message (link: types.LinkId, message: messages.Message): void
  /** Called once for each link that was up. No message of the link follows. */
  down (link: types.LinkId, reason: string): void
}

/** Traffic in one direction since the start of the process. */
export interface Traffic {
  frames: number
  /** Number of messages by kind, including `hello` and heartbeats. */
  messages: Map<messages.MessageKind, number>
  /** Payload bytes of frames, including the handshake, without headers of the transport. */
  bytes: number
}

export interface Counts {
  /** Number of links that are up. */
  links: number
  sent: Traffic
  received: Traffic
}

/** Links to peers. Messages on a link arrive in order and at most once. Those not delivered when it breaks are lost. */
export interface Links {
  /** Accepts links at host and port; port 0 selects a free one. Returns the address. */
  listen (host: string, port: number): Promise<string>
  /** Keeps a link to the address until `forget`, with randomized backoff between attempts. */
  dial (address: string): void
  forget (address: string): void
  /** Queues a message. Messages of one turn of the event loop share a frame. Does nothing if the link is down. */
  send (link: types.LinkId, message: messages.Message): void
  /** Flushes queued messages, then closes the link. `down` follows after the current callback. */
  close (link: types.LinkId, reason: string): void
  counts (): Counts
  /** Flushes queued messages, then closes all links. */
  stop (): Promise<void>
}
