import type * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as sessions from '@mustarddeck/sessions'
import * as follow from './follow.ts'
import type * as messages from './messages.ts'
import * as selections from './selection.ts'
import type * as stores from './store.ts'

/** Interval in ms between reads of the entries in the store while no entry is linked. */
const UNLINKED_READ_INTERVAL_MS = 500
/** Interval in ms between these reads while an entry is linked. */
const LINKED_READ_INTERVAL_MS = 15_000
/** Time in ms without a link after which an entry's row is removed from the store. */
const STALE_ROW_AFTER_MS = 60_000
/** Time in ms within which the entry with the lower address dials the other one. */
const OTHER_DIALS_WITHIN_MS = 1000
/** Interval in ms at which the selection of linked entries is reassessed. */
const SELECTION_INTERVAL_MS = 500

/** Discovers entries from the store, from peer messages and from the addresses in the settings, and links to them. */
export interface Peers {
  /** Adds addresses of entries that a peer reported. */
  learn (addresses: string[]): void
  up (session: sessions.Session): void
  down (session: sessions.Session): void
  /** Returns the links that are up, by id. */
  links (): Map<number, sessions.Session>
  broadcast (message: messages.Message): void
  stop (): void
}

export interface Options {
  links: sessions.Sessions<messages.Message>
  store: stores.Store
  timers: clock.Timers
  log: logging.Log
  /** Addresses to try first. */
  seeds: string[]
  /** True if this process removes the rows of entries that are gone from the store. */
  removesStaleRows: boolean
  /** Identity of this process. Its name determines which entries it links to. */
  hello: sessions.Hello
  /** Number of entries to keep links to. */
  maxLinks: number
  /** True if a link beyond `maxLinks` can be closed without aborting work. */
  isIdle (session: sessions.Session): boolean
}

interface Entry {
  address: string
  /** Number of links to it that are up. */
  linked: number
  /** Monotonic ms at which dialing began or a link was last established or lost; undefined while it isn't dialed. */
  dialedSince: number | undefined
  /** Monotonic ms at which it was discovered, or at which a link to it last came up or went down. */
  lastSeenAt: number
}

export const create = (options: Options): Peers => {
  const { links, store, timers, log, seeds, removesStaleRows, hello, maxLinks, isIdle } = options
  const selection = selections.create(hello.name, maxLinks)
  const entries = new Map<string, Entry>()
  const up = new Map<number, sessions.Session>()
  let stopped = false
  let cancelRead: clock.Cancellation = () => {}
  let cancelSelect: clock.Cancellation = () => {}

  const broadcast = (message: messages.Message): void => {
    for (const id of up.keys()) links.send(id, message)
  }
  /** Adds the addresses, except malformed ones and this process's own. Returns true if one of them is new. */
  const addAddresses = (addresses: string[]): boolean => {
    const unknown = addresses.filter((address) => !entries.has(address) && address !== hello.address)
    const valid = new Set(unknown.filter((address) => sessions.parseAddress(address)))
    const malformed = unknown.filter((address) => !valid.has(address))
    if (malformed.length > 0) log.warn('addresses-malformed', { count: malformed.length, first: malformed[0] })
    for (const address of valid) {
      entries.set(address, { address, linked: 0, dialedSince: undefined, lastSeenAt: timers.monotonic() })
    }
    return valid.size > 0
  }
  const selectAndBroadcast = (): void => {
    select()
    broadcast({ kind: 'entries', addresses: [...entries.keys()] })
  }
  const learn = (addresses: string[]): void => { if (addAddresses(addresses)) selectAndBroadcast() }
  /** Dials the selected entries, and disconnects from others that aren't linked or whose links are idle. */
  const select = (): void => {
    const now = timers.monotonic()
    const candidates = [...entries.values()].map((entry) => ({ ...entry, isLinked: entry.linked > 0 }))
    const chosen = selection.choose(candidates, now)
    for (const entry of entries.values()) {
      if (chosen.has(entry.address)) {
        // A link that the entry has dialed serves both directions.
        if (entry.dialedSince === undefined && entry.linked > 0) continue
        if (leavesDialing(entry, now)) continue
        entry.dialedSince ??= now
        links.dial(entry.address)
      } else if (entry.dialedSince !== undefined) disconnectIfIdle(entry)
    }
  }
  /** Of two entries, the one with the greater address dials only if the other one does not. */
  const leavesDialing = ({ address, dialedSince, lastSeenAt }: Entry, now: number): boolean =>
    dialedSince === undefined && address < hello.address && now - lastSeenAt < OTHER_DIALS_WITHIN_MS
  /** Stops dialing the entry and closes the given links to it. */
  const disconnect = (entry: Entry, sessions: sessions.Session[], reason: string): void => {
    entry.dialedSince = undefined
    links.forget(entry.address)
    for (const { id } of sessions) links.close(id, reason)
  }
  const disconnectIfIdle = (entry: Entry): void => {
    const sessions = [...up.values()].filter(({ peer }) => peer.address === entry.address)
    if (sessions.every(isIdle)) disconnect(entry, sessions, 'linked to other entries')
  }
  /** If two entries have dialed each other, the one with the greater address closes the link that it dialed. */
  const closeDuplicateLink = ({ peer }: sessions.Session): void => {
    const linksToPeer = [...up.values()].filter((other) => other.peer.life === peer.life)
    const entry = entries.get(peer.address)
    if (!entry || linksToPeer.length < 2 || hello.address < peer.address) return
    disconnect(entry, linksToPeer.filter(({ dialed }) => dialed), 'duplicate link')
  }
  const selectPeriodically = (): void => {
    if (stopped) return
    select()
    cancelSelect = timers.after(SELECTION_INTERVAL_MS, selectPeriodically)
  }
  const hasLink = (): boolean => [...entries.values()].some(({ linked }) => linked > 0)

  const removeStaleRows = (rows: stores.Row[]): void => {
    const now = timers.monotonic()
    for (const { key, value } of rows) {
      const entry = entries.get(value)
      if (!entry || entry.linked > 0 || now - entry.lastSeenAt < STALE_ROW_AFTER_MS) continue
      log.info('entry-forgotten', { entry: key, address: value })
      entries.delete(value)
      links.forget(value)
      store.remove('entries', key)
    }
  }
  const readEntriesOnce = async (): Promise<void> => {
    const result = await follow.hedged(() => store.rows('entries'), timers)
    if (stopped) return
    if (result.kind === 'ok') {
      learn(result.value.map(({ value }) => value))
      if (removesStaleRows) removeStaleRows(result.value)
    } else log.debug('entries-unread', { reason: result.error.kind })
  }
  const readEntries = async (): Promise<void> => {
    await logging.guardAsync(log, 'entries', readEntriesOnce)
    if (stopped) return
    cancelRead = timers.after(hasLink() ? LINKED_READ_INTERVAL_MS : UNLINKED_READ_INTERVAL_MS, readEntries)
  }
  learn(seeds)
  readEntries()
  cancelSelect = timers.after(SELECTION_INTERVAL_MS, selectPeriodically)

  const linked = (session: sessions.Session, change: number): void => {
    const entry = entries.get(session.peer.address)
    if (!entry) return
    entry.linked += change
    entry.lastSeenAt = timers.monotonic()
    if (entry.dialedSince !== undefined) entry.dialedSince = entry.lastSeenAt
  }
  return {
    learn,
    up: (session) => {
      up.set(session.id, session)
      const isNew = session.peer.address !== '' && addAddresses([session.peer.address])
      linked(session, 1)
      if (isNew) selectAndBroadcast()
      links.send(session.id, { kind: 'entries', addresses: [...entries.keys()] })
      closeDuplicateLink(session)
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
