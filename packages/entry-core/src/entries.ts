import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

export interface EntryPeer {
  link: types.LinkId
  name: string
  incarnation: types.Incarnation
  /** Owner incarnations that the peer answers for. */
  owned: Set<types.Incarnation>
  draining: boolean
  /** When the peer last sent anything. */
  heardAt: number
}

/** The other entries that are linked now, and when the link to an owner was lost. */
export interface Entries {
  up (link: types.LinkId, hello: messages.Hello, now: number): EntryPeer
  down (link: types.LinkId, now: number): EntryPeer | undefined
  get (link: types.LinkId): EntryPeer | undefined
  all (): Iterable<EntryPeer>
  size (): number
  ofOwner (incarnation: types.Incarnation): EntryPeer | undefined
  ofProcess (incarnation: types.Incarnation): EntryPeer | undefined
  /** Undefined if the owner was never linked. */
  lostAt (incarnation: types.Incarnation): number | undefined
}

/** Number of owners of which the time of the lost link is remembered. */
const MAX_REMEMBERED = 10_000

export const create = (): Entries => {
  const peers = new Map<types.LinkId, EntryPeer>()
  const lost = new Map<types.Incarnation, number>()

  const find = (matches: (peer: EntryPeer) => boolean): EntryPeer | undefined => {
    for (const peer of peers.values()) if (matches(peer)) return peer
    return undefined
  }
  const remember = (incarnation: types.Incarnation, now: number): void => {
    lost.delete(incarnation)
    lost.set(incarnation, now)
    const oldest = lost.keys().next()
    if (lost.size > MAX_REMEMBERED && !oldest.done) lost.delete(oldest.value)
  }
  return {
    up: (link, { name, incarnation }, now) => {
      const peer = { link, name, incarnation, owned: new Set([incarnation]), draining: false, heardAt: now }
      peers.set(link, peer)
      return peer
    },
    down: (link, now) => {
      const peer = peers.get(link)
      peers.delete(link)
      for (const incarnation of peer?.owned ?? []) remember(incarnation, now)
      return peer
    },
    get: (link) => peers.get(link),
    all: () => peers.values(),
    size: () => peers.size,
    ofOwner: (incarnation) => find((peer) => peer.owned.has(incarnation)),
    ofProcess: (incarnation) => find((peer) => peer.incarnation === incarnation),
    lostAt: (incarnation) => lost.get(incarnation)
  }
}
