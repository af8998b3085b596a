import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import type * as status from './status.ts'

/** Processes with a link to this entry, as operators see them. */
export interface Peers {
  up (link: types.LinkId, hello: messages.Hello): void
  heard (link: types.LinkId, message: messages.Message): void
  down (link: types.LinkId): void
  /** Link to the process of that name. */
  linkOf (name: string): types.LinkId | undefined
  isAgent (link: types.LinkId): boolean
  /** The agent behind the link; undefined for an entry. */
  memberOf (link: types.LinkId): types.Member | undefined
  list (role: messages.Hello['role']): status.Peer[]
}

export const create = (): Peers => {
  const peers = new Map<types.LinkId, status.Peer>()
  return {
    up: (link, { role, name, incarnation, failureDomain, address, registered, slots, configuration }) => {
      peers.set(link, { role, name, incarnation, failureDomain, address, registered, slots, configuration })
    },
    heard: (link, message) => {
      const peer = peers.get(link)
      if (!peer) return
      if (message.kind === 'heartbeat') peer.configuration = message.configuration
      if (message.kind === 'registered') peer.registered = true
    },
    down: (link) => { peers.delete(link) },
    linkOf: (name) => [...peers].find(([, peer]) => peer.name === name)?.[0],
    memberOf: (link) => {
      const peer = peers.get(link)
      if (peer?.role !== 'agent') return undefined
      const { name, incarnation, failureDomain } = peer
      return { worker: name as types.WorkerName, incarnation, failureDomain: failureDomain as types.FailureDomainName }
    },
    isAgent: (link) => peers.get(link)?.role === 'agent',
    list: (role) => [...peers.values()].filter((peer) => peer.role === role)
      .sort((one, other) => one.name.localeCompare(other.name))
  }
}
