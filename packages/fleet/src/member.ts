import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as sessions from '@mustarddeck/sessions'
import * as follow from './follow.ts'
import type * as messages from './messages.ts'
import * as discovery from './peers.ts'
import * as spreading from './spread.ts'
import type * as stores from './store.ts'

/** Longest gap in ms that is no pause; below the time for which peers trust each other. */
const PAUSE_LIMIT_MS = 300

/** What entries and agents have in common: links to peers, and the configuration that they pass on. */
export interface Member {
  links: sessions.Sessions<messages.Message>
  follower: follow.Follower
  peers: discovery.Peers
  stop (): void
}

export interface Options {
  hello: sessions.Hello
  seeds: string[]
  store: stores.Store
  timers: clock.Timers
  log: log.Log
  /** True for a process that removes rows of entries that are gone. */
  tidies: boolean
  /** Entries to keep links to. */
  mostLinks: number
  /** True if a link beyond `mostLinks` can be closed without ending anything. */
  isIdle (session: sessions.Session): boolean
  /** False while peers that follow the store make that needless here. */
  followsStore (): boolean
  /** The process stood still; its links are closed next. */
  onPause (): void
  up (session: sessions.Session): void
  /** Handles what is not for all members. */
  message (session: sessions.Session, message: messages.Message): void
  down (session: sessions.Session, trustedUntil: number): void
}

export const create = (options: Options): Member => {
  const { hello, seeds, store, timers, log, tidies, mostLinks, isIdle } = options

  const pauses = sessions.watch(timers, PAUSE_LIMIT_MS, (gapMs) => {
    log.warn('pause', { gapMs })
    options.onPause()
    links.closeAll('process stood still')
  })
  const receive = (session: sessions.Session, message: messages.Message): void => {
    if (spread.receive(session.id, message)) return
    if (message.kind === 'entries') peers.learn(message.addresses)
    else options.message(session, message)
  }
  const links: sessions.Sessions<messages.Message> = sessions.create<messages.Message>({
    hello,
    timers,
    log,
    beforeInput: () => pauses.check(),
    pace: ({ role }) => role === 'entry' && hello.role === 'entry' ? sessions.RELAXED : sessions.PROMPT,
    handler: {
      up: (session) => {
        peers.up(session)
        spread.up(session.id)
        options.up(session)
      },
      message: receive,
      down: (session, trustedUntil) => {
        peers.down(session)
        options.down(session, trustedUntil)
      }
    }
  })
  const follower = follow.create({
    store,
    timers,
    log,
    isNeeded: options.followsStore,
    onChange: () => spread.changed()
  })
  const peers = discovery.create({ links, store, timers, log, seeds, tidies, hello, mostLinks, isIdle })

  const spread = spreading.create({
    timers,
    links,
    current: () => follower.current(),
    offer: (deployment) => follower.offer(deployment),
    broadcast: (message) => peers.broadcast(message)
  })

  return {
    links,
    follower,
    peers,
    stop: () => {
      spread.stop()
      follower.stop()
      peers.stop()
      pauses.stop()
      links.stop()
    }
  }
}
