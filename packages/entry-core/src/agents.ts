import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

export interface AgentPeer {
  link: types.LinkId
  hello: messages.Hello
  worker: types.WorkerName
  incarnation: types.Incarnation
  /** The agent says that it has registered its membership. */
  registered: boolean
  /** Its incarnation was removed from the membership; it gets no new work. */
  departed: boolean
  leaving: boolean
  /** Jobs of registered views may start there. */
  eligible: boolean
  /** Order in which the incarnation was first seen here. */
  order: number
}

/** An agent whose link is down and that is not known to have departed. */
export interface AbsentAgent {
  worker: types.WorkerName
  incarnation: types.Incarnation
  failureDomain: types.FailureDomainName
  since: number
  /** It has registered its membership, so that its departure will show there. */
  registered: boolean
  order: number
  departureAskedAt?: number
}

/** Agents that are linked now or were until lately. */
export interface Agents {
  up (link: types.LinkId, hello: messages.Hello): AgentPeer
  down (link: types.LinkId, now: number): AgentPeer | undefined
  get (link: types.LinkId): AgentPeer | undefined
  all (): Iterable<AgentPeer>
  size (): number
  ofProcess (incarnation: types.Incarnation): AgentPeer | undefined
  absent (): AbsentAgent[]
  absentOf (incarnation: types.Incarnation): AbsentAgent | undefined
  /** Stops expecting the agent. */
  forget (incarnation: types.Incarnation): void
}

export const create = (): Agents => {
  const peers = new Map<types.LinkId, AgentPeer>()
  const absent = new Map<types.Incarnation, AbsentAgent>()
  let lastOrder = 0
  return {
    up: (link, hello) => {
      const peer: AgentPeer = {
        link,
        hello,
        worker: hello.name as types.WorkerName,
        incarnation: hello.incarnation,
        registered: hello.registered,
        departed: false,
        leaving: false,
        eligible: false,
        order: absent.get(hello.incarnation)?.order ?? ++lastOrder
      }
      peers.set(link, peer)
      absent.delete(hello.incarnation)
      return peer
    },
    down: (link, now) => {
      const peer = peers.get(link)
      peers.delete(link)
      if (!peer) return undefined
      const { worker, incarnation, order, registered, hello: { failureDomain } } = peer
      absent.set(incarnation, { worker, incarnation, failureDomain, order, registered, since: now })
      return peer
    },
    get: (link) => peers.get(link),
    all: () => peers.values(),
    size: () => peers.size,
    ofProcess: (incarnation) => [...peers.values()].find((peer) => peer.incarnation === incarnation),
    absent: () => [...absent.values()],
    absentOf: (incarnation) => absent.get(incarnation),
    forget: (incarnation) => { absent.delete(incarnation) }
  }
}
