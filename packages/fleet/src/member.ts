import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as random from '@mustarddeck/random'
import * as sessions from '@mustarddeck/sessions'
import * as follow from './follow.ts'
import * as messageValidation from './message-validation.ts'
import type * as messages from './messages.ts'
import * as discovery from './peers.ts'
import * as propagations from './propagation.ts'
import type * as stores from './store.ts'

/** Longest gap in ms that isn't treated as a pause of the process; shorter than the trust time of links. */
const PAUSE_LIMIT_MS = 300

/** Common part of entries and agents: links to peers, discovery, and propagation of configuration and evacuations. */
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
  /** True if this process removes the rows of entries that are gone from the store. */
  removesStaleRows: boolean
  /** Number of entries to keep links to. */
  maxLinks: number
  /** True if a link beyond `maxLinks` can be closed without aborting work. */
  isIdle (session: sessions.Session): boolean
  /** False while peers follow the store on behalf of this process. */
  followsStore (): boolean
  /** Called when the evacuated zones are first known and when they have changed. */
  onEvacuations (zones: ReadonlySet<string>): void
  /** Called after the process was paused or suspended, before its links are closed. */
  onPause (pause: sessions.Pause): void
  up (session: sessions.Session): void
  /** Handles messages that aren't common to entries and agents. */
  message (session: sessions.Session, message: messages.Message): void
  down (session: sessions.Session, trustedUntil: number): void
}

/** Seed of the process's random decisions, from the hexadecimal digits of its incarnation. */
const seedOf = (incarnation: string): number => Number.parseInt(incarnation.slice(-7), 16) || 0

/** Gauge of the evacuated zones that a process knows of. */
export const evacuatedZonesGauge = (follower: () => follow.Follower) => ({
  help: 'Evacuated zones; -1 until they are known', read: () => follower().evacuations()?.zones.length ?? -1
})

export const create = (options: Options): Member => {
  const { hello, seeds, store, timers, log, removesStaleRows, maxLinks, isIdle } = options

  const generator = random.create(seedOf(hello.life))
  const pauses = sessions.watch(timers, PAUSE_LIMIT_MS, (pause) => {
    log.warn('pause', { ...pause })
    options.onPause(pause)
    links.closeAll('process stood still')
  })
  const receive = (session: sessions.Session, received: unknown): void => {
    const message = messageValidation.parse(received)
    if (!message) {
      log.warn('message-malformed', { peer: session.peer.name })
      return links.close(session.id, 'malformed message')
    }
    if (propagation.receive(session.id, message)) return
    if (message.kind === 'entries') peers.learn(message.addresses)
    else options.message(session, message)
  }
  const links: sessions.Sessions<messages.Message> = sessions.create<messages.Message>({
    hello,
    timers,
    random: generator,
    log,
    beforeInput: () => pauses.check(),
    pace: ({ role }) => role === 'entry' && hello.role === 'entry' ? sessions.RELAXED : sessions.PROMPT,
    handler: {
      up: (session) => {
        peers.up(session)
        // Of two links between entries, one is closed while it comes up.
        if (!peers.links().has(session.id)) return
        propagation.up(session.id)
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
    onChange: () => propagation.changed(),
    onEvacuations: ({ zones }) => {
      // Peers are told first: an entry then knows the reason before an agent refuses its orders.
      propagation.evacuationsChanged()
      options.onEvacuations(new Set(zones))
    }
  })
  const peers = discovery.create({ links, store, timers, log, seeds, removesStaleRows, hello, maxLinks, isIdle })

  const propagation = propagations.create({
    timers,
    links,
    current: () => follower.received(),
    offer: (deployment) => follower.offer(deployment),
    evacuations: () => follower.evacuations(),
    offerEvacuations: (evacuations) => follower.offerEvacuations(evacuations),
    broadcast: (message) => peers.broadcast(message),
    // Entries follow the store, and each agent is linked to several of them.
    repeatsVersion: hello.role === 'entry'
  })

  return {
    links,
    follower,
    peers,
    stop: () => {
      propagation.stop()
      follower.stop()
      peers.stop()
      pauses.stop()
      links.stop()
    }
  }
}
