import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

/** An agent that is linked to this entry. */
export interface AgentPeer {
  link: types.LinkId
  hello: messages.Hello
  worker: types.WorkerName
  incarnation: types.Incarnation
  /** The agent reported that its registration is stored. */
  registered: boolean
  /** Its incarnation was removed from the membership; it receives no new tasks. */
  departed: boolean
  leaving: boolean
  /** Tasks of jobs with a registered view may start on it. */
  eligible: boolean
  /** Position in the order in which this entry first saw the incarnations. */
  order: number
}

/** An agent that was linked before and is not known to have departed. */
export interface AbsentAgent {
  worker: types.WorkerName
  incarnation: types.Incarnation
  failureDomain: types.FailureDomainName
  disconnectedAt: number
  /** The agent is registered, so its departure will appear in the membership. */
  registered: boolean
  order: number
  departureRequestedAt?: number
}

/** Linked agents, and absent agents that may link again. */
export interface Agents {
  up (link: types.LinkId, hello: messages.Hello): AgentPeer
  down (link: types.LinkId, now: number): AgentPeer | undefined
  get (link: types.LinkId): AgentPeer | undefined
  all (): Iterable<AgentPeer>
  size (): number
  byIncarnation (incarnation: types.Incarnation): AgentPeer | undefined
  absent (): AbsentAgent[]
  findAbsent (incarnation: types.Incarnation): AbsentAgent | undefined
  /** Removes an absent agent that is known to be gone. */
  removeAbsent (incarnation: types.Incarnation): void
}

export const create = (): Agents => {
  const peers = new Map<types.LinkId, AgentPeer>()
  const absent = new Map<types.Incarnation, AbsentAgent>()
  let lastAssignedOrder = 0
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
        order: absent.get(hello.incarnation)?.order ?? ++lastAssignedOrder
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
      absent.set(incarnation, { worker, incarnation, failureDomain, order, registered, disconnectedAt: now })
      return peer
    },
    get: (link) => peers.get(link),
    all: () => peers.values(),
    size: () => peers.size,
    byIncarnation: (incarnation) => [...peers.values()].find((peer) => peer.incarnation === incarnation),
    absent: () => [...absent.values()],
    findAbsent: (incarnation) => absent.get(incarnation),
    removeAbsent: (incarnation) => { absent.delete(incarnation) }
  }
}
