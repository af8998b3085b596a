import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as sessions from '@mustarddeck/sessions'
import * as follow from './follow.ts'
import type * as messages from './messages.ts'
import * as selections from './selection.ts'
import type * as stores from './store.ts'

/** Time in ms between reads of the list of entries while none is linked, and while some are. */
const LONELY_MS = 500
const SETTLED_MS = 15_000
/** Time in ms without a link after which the row of an entry is removed from the store. */
const FORGET_AFTER_MS = 60_000
/** Time in ms between reviews of which entries to keep links to. */
const SELECT_MS = 500

/** Finds entries: by the store, by what peers tell, and by the addresses in the settings. */
export interface Peers {
  /** Takes note of addresses that a peer has told. */
  learn (addresses: string[]): void
  up (session: sessions.Session): void
  down (session: sessions.Session): void
  /** Links that are up, by id. */
  links (): Map<number, sessions.Session>
  broadcast (message: messages.Message): void
  stop (): void
}

export interface Options {
  links: sessions.Sessions<messages.Message>
  store: stores.Store
  timers: clock.Timers
  log: log.Log
  /** Addresses to try first. */
  seeds: string[]
  /** True for a process that removes rows of entries that are gone. */
  tidies: boolean
  /** This process; its name decides which entries it links to. */
  hello: sessions.Hello
  /** Entries to keep links to. */
  mostLinks: number
  /** True if a link beyond `mostLinks` can be closed without ending anything. */
  isIdle (session: sessions.Session): boolean
}

interface Entry {
  address: string
  /** Links to it that are up. */
  linked: number
  /** Monotonic ms since which it is dialed, or was lost; undefined if it is not dialed. */
  dialedSince: number | undefined
  /** Monotonic ms at which it was known or linked last. */
  seenAt: number
}

export const create = (options: Options): Peers => {
  const { links, store, timers, log, seeds, tidies, hello, mostLinks, isIdle } = options
  const selection = selections.create(hello.name, mostLinks)
  const entries = new Map<string, Entry>()
  const up = new Map<number, sessions.Session>()
  let stopped = false
  let cancelRead: clock.Cancellation = () => {}
  let cancelSelect: clock.Cancellation = () => {}

  const broadcast = (message: messages.Message): void => {
    for (const id of up.keys()) links.send(id, message)
  }
  /** Returns true if one of the addresses is new. */
  const note = (addresses: string[]): boolean => {
    const before = entries.size
    for (const address of addresses) {
      if (entries.has(address)) continue
      entries.set(address, { address, linked: 0, dialedSince: undefined, seenAt: timers.monotonic() })
    }
    return entries.size > before
  }
  const useNew = (): void => {
    select()
    broadcast({ kind: 'entries', addresses: [...entries.keys()] })
  }
  const learn = (addresses: string[]): void => { if (note(addresses)) useNew() }
  /** Dials the chosen entries, and lets go of others that are not linked or whose link is idle. */
  const select = (): void => {
    const now = timers.monotonic()
    const candidates = [...entries.values()].map((entry) => ({ ...entry, isLinked: entry.linked > 0 }))
    const chosen = selection.choose(candidates, now)
    for (const entry of entries.values()) {
      if (chosen.has(entry.address)) {
        // One that has dialed this process need not be dialed.
        if (entry.dialedSince === undefined && entry.linked > 0) continue
        entry.dialedSince ??= now
        links.dial(entry.address)
      } else if (entry.dialedSince !== undefined) release(entry)
    }
  }
  /** Dials the entry no more, and closes links to it. */
  const letGo = (entry: Entry, sessions: sessions.Session[], reason: string): void => {
    entry.dialedSince = undefined
    links.forget(entry.address)
    for (const { id } of sessions) links.close(id, reason)
  }
  const release = (entry: Entry): void => {
    const sessions = [...up.values()].filter(({ peer }) => peer.address === entry.address)
    if (sessions.every(isIdle)) letGo(entry, sessions, 'linked to other entries')
  }
  /** Of two entries that dial each other at the same time, the one with the greater address gives up its own link. */
  const dropTwin = ({ peer }: sessions.Session): void => {
    const twins = [...up.values()].filter((other) => other.peer.life === peer.life)
    const entry = entries.get(peer.address)
    if (!entry || twins.length < 2 || hello.address < peer.address) return
    letGo(entry, twins.filter(({ dialed }) => dialed), 'linked twice')
  }
  const selectAgain = (): void => {
    if (stopped) return
    select()
    cancelSelect = timers.after(SELECT_MS, selectAgain)
  }
  const hasLink = (): boolean => [...entries.values()].some(({ linked }) => linked > 0)

  const tidy = (rows: stores.Row[]): void => {
    const now = timers.monotonic()
    for (const { key, value } of rows) {
      const entry = entries.get(value)
      if (!entry || entry.linked > 0 || now - entry.seenAt < FORGET_AFTER_MS) continue
      log.info('entry-forgotten', { entry: key, address: value })
      entries.delete(value)
      links.forget(value)
      store.remove('entries', key)
    }
  }
  const read = async (): Promise<void> => {
    const result = await follow.hedged(() => store.rows('entries'), timers)
    if (stopped) return
    if (result.kind === 'ok') {
      learn(result.value.map(({ value }) => value))
      if (tidies) tidy(result.value)
    } else log.debug('entries-unread', { reason: result.error.kind })
    cancelRead = timers.after(hasLink() ? SETTLED_MS : LONELY_MS, read)
  }
  learn(seeds)
  read()
  cancelSelect = timers.after(SELECT_MS, selectAgain)

  const linked = (session: sessions.Session, by: number): void => {
    const entry = entries.get(session.peer.address)
    if (!entry) return
    entry.linked += by
    entry.seenAt = timers.monotonic()
    if (entry.dialedSince !== undefined) entry.dialedSince = entry.seenAt
  }
  return {
    learn,
    up: (session) => {
      up.set(session.id, session)
      const isNew = session.peer.address !== '' && note([session.peer.address])
      linked(session, 1)
      if (isNew) useNew()
      links.send(session.id, { kind: 'entries', addresses: [...entries.keys()] })
      dropTwin(session)
    },
    down: (session) => {
      if (up.delete(session.id)) linked(session, -1)
    },
    links: () => up,
    broadcast,
    stop: () => {
      stopped = true
      cancelRead()
      cancelSelect()
    }
  }
}
