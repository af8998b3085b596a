import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

export interface EntryPeer {
  link: types.LinkId
  /** Incarnation of the entry's process. */
  incarnation: types.Incarnation
  /** Owner incarnations that the process answers for. */
  owned: Set<types.Incarnation>
  /** The entry has handled every message before the drained `leaving`. */
  acknowledged: boolean
}

/** The entries that are linked to this agent now. */
export interface Peers {
  add (link: types.LinkId, hello: messages.Hello): EntryPeer
  remove (link: types.LinkId): boolean
  get (link: types.LinkId): EntryPeer | undefined
  all (): Iterable<EntryPeer>
  ofProcess (incarnation: types.Incarnation): EntryPeer | undefined
  /** The entry that answers for this owner incarnation. */
  ofOwner (incarnation: types.Incarnation): EntryPeer | undefined
}

export const create = (): Peers => {
  const peers = new Map<types.LinkId, EntryPeer>()
  const find = (matches: (peer: EntryPeer) => boolean): EntryPeer | undefined => {
    for (const peer of peers.values()) if (matches(peer)) return peer
    return undefined
  }
  return {
    add: (link, hello) => {
      const owned = new Set([hello.incarnation])
      const peer = { link, incarnation: hello.incarnation, owned, acknowledged: false }
      peers.set(link, peer)
      return peer
    },
    remove: (link) => peers.delete(link),
    get: (link) => peers.get(link),
    all: () => peers.values(),
    ofProcess: (incarnation) => find((peer) => peer.incarnation === incarnation),
    ofOwner: (incarnation) => find((peer) => peer.owned.has(incarnation))
  }
}
