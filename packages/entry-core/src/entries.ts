import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** Another entry that is linked to this one. */
export interface EntryPeer {
  link: types.LinkId
  name: string
  incarnation: types.Incarnation
  /** Incarnations whose jobs the peer answers for. */
  ownedIncarnations: Set<types.Incarnation>
  draining: boolean
  /** Time of the peer's last message. */
  lastMessageAt: number
}

/** The linked entries, and the times at which links to owners were lost. */
export interface Entries {
  up (link: types.LinkId, hello: messages.Hello, now: number): EntryPeer
  down (link: types.LinkId, now: number): EntryPeer | undefined
  get (link: types.LinkId): EntryPeer | undefined
  all (): Iterable<EntryPeer>
  size (): number
  /** The peer that answers for this owner incarnation. */
  byOwner (incarnation: types.Incarnation): EntryPeer | undefined
  byProcess (incarnation: types.Incarnation): EntryPeer | undefined
  /** When the link to the owner was lost; undefined if it was never linked or the loss is no longer recorded. */
  linkLostAt (incarnation: types.Incarnation): number | undefined
}

/** Largest number of owners whose link loss is recorded; the oldest is removed first. */
const MAX_LOST_OWNERS = 10_000

export const create = (): Entries => {
  const peers = new Map<types.LinkId, EntryPeer>()
  const linkLossTimes = new Map<types.Incarnation, number>()

  const find = (matches: (peer: EntryPeer) => boolean): EntryPeer | undefined => {
    for (const peer of peers.values()) if (matches(peer)) return peer
    return undefined
  }
  const recordLinkLoss = (incarnation: types.Incarnation, now: number): void => {
    linkLossTimes.delete(incarnation)
    linkLossTimes.set(incarnation, now)
    const oldest = linkLossTimes.keys().next()
    if (linkLossTimes.size > MAX_LOST_OWNERS && !oldest.done) linkLossTimes.delete(oldest.value)
  }
  return {
    up: (link, { name, incarnation }, now) => {
      const peer = {
        link, name, incarnation, ownedIncarnations: new Set([incarnation]), draining: false, lastMessageAt: now
      }
      peers.set(link, peer)
      return peer
    },
    down: (link, now) => {
      const peer = peers.get(link)
      peers.delete(link)
      for (const incarnation of peer?.ownedIncarnations ?? []) recordLinkLoss(incarnation, now)
      return peer
    },
    get: (link) => peers.get(link),
    all: () => peers.values(),
    size: () => peers.size,
    byOwner: (incarnation) => find((peer) => peer.ownedIncarnations.has(incarnation)),
    byProcess: (incarnation) => find((peer) => peer.incarnation === incarnation),
    linkLostAt: (incarnation) => linkLossTimes.get(incarnation)
  }
}
