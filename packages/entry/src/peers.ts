import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import type * as status from './status.ts'

/** Processes linked to this entry, as the operator status shows them. */
export interface Peers {
  connected (link: types.LinkId, hello: messages.Hello): void
  received (link: types.LinkId, message: messages.Message): void
  disconnected (link: types.LinkId): void
  /** Returns the link to the process with the given name. */
  findLink (name: string): types.LinkId | undefined
  isAgent (link: types.LinkId): boolean
  /** Returns the agent at the other end of the link, or undefined for an entry. */
  findMember (link: types.LinkId): types.Member | undefined
  list (role: messages.Hello['role']): status.Peer[]
}

export const create = (): Peers => {
  const peers = new Map<types.LinkId, status.Peer>()
  return {
    connected: (link, { role, name, incarnation, failureDomain, address, registered, slots, configuration }) => {
      peers.set(link, { role, name, incarnation, failureDomain, address, registered, slots, configuration })
    },
    received: (link, message) => {
      const peer = peers.get(link)
      if (!peer) return
      if (message.kind === 'heartbeat') peer.configuration = message.configuration
      if (message.kind === 'registered') peer.registered = true
    },
    disconnected: (link) => { peers.delete(link) },
    findLink: (name) => [...peers].find(([, peer]) => peer.name === name)?.[0],
    findMember: (link) => {
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
