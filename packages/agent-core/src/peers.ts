import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** An entry that is linked to this agent. */
export interface EntryPeer {
  link: types.LinkId
  /** Incarnation of the entry's process. */
  incarnation: types.Incarnation
  /** Incarnations whose jobs the entry answers for. */
  ownedIncarnations: Set<types.Incarnation>
  /** The entry has acknowledged a `leaving` with `drained`, so it has handled all messages before it. */
  leaveAcknowledged: boolean
}

/** The entries that are linked to this agent. */
export interface EntryPeers {
  add (link: types.LinkId, hello: messages.Hello): EntryPeer
  remove (link: types.LinkId): boolean
  get (link: types.LinkId): EntryPeer | undefined
  all (): Iterable<EntryPeer>
  byProcess (incarnation: types.Incarnation): EntryPeer | undefined
  /** The entry that answers for this owner incarnation. */
  byOwner (incarnation: types.Incarnation): EntryPeer | undefined
}

export const create = (): EntryPeers => {
  const peers = new Map<types.LinkId, EntryPeer>()
  const find = (matches: (peer: EntryPeer) => boolean): EntryPeer | undefined => {
    for (const peer of peers.values()) if (matches(peer)) return peer
    return undefined
  }
  return {
    add: (link, hello) => {
      const ownedIncarnations = new Set([hello.incarnation])
      const peer = { link, incarnation: hello.incarnation, ownedIncarnations, leaveAcknowledged: false }
      peers.set(link, peer)
      return peer
    },
    remove: (link) => peers.delete(link),
    get: (link) => peers.get(link),
    all: () => peers.values(),
    byProcess: (incarnation) => find((peer) => peer.incarnation === incarnation),
    byOwner: (incarnation) => find((peer) => peer.ownedIncarnations.has(incarnation))
  }
}
