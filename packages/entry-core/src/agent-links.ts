import type * as messages from '@mustarddeck/messages'
import type * as placements from '@mustarddeck/placement'
import type * as recoveries from '@mustarddeck/recovery'
import type * as types from '@mustarddeck/types'
import type * as agentPeers from './agents.ts'
import type * as contexts from './context.ts'
import type * as membershipTrackers from './membership-tracker.ts'
import type * as ownedJobs from './owned-jobs.ts'
import type * as waiterRegistries from './waiters.ts'

/** Interval at which the removal of an absent agent from the membership is requested again. */
const DEPARTURE_RETRY_MS = 10_000

/** Handles links to agents and their messages, and updates placement, owned jobs and recovery accordingly. */
export interface AgentLinks {
  up (link: types.LinkId, hello: messages.Hello): void
  down (link: types.LinkId): void
  receive (agent: agentPeers.AgentPeer, message: messages.Message): void
  /** Applies a newer membership to linked and absent agents. */
  membershipChanged (): void
  /** Replies to waiters for jobs on absent agents, and requests the removal of agents that are absent for too long. */
  timer (): void
  /** Membership view for new id blocks. */
  view (): types.MembershipView
}

export const create = ({ context, agents, memberships, placement, owned, waiters, recovery, onFenced }: {
  context: contexts.Context
  agents: agentPeers.Agents
  memberships: membershipTrackers.MembershipTracker
  placement: placements.Placement
  owned: ownedJobs.OwnedJobs
  waiters: waiterRegistries.WaiterRegistry
  recovery: recoveries.Recovery
  /** Called when an agent reports a fenced owner incarnation. */
  onFenced: (incarnation: types.Incarnation) => void
}): AgentLinks => {
  const { settings } = context

  let cachedView: types.MembershipView | undefined

  const countSlots = (matches: (agent: agentPeers.AgentPeer) => boolean): number =>
    [...agents.all()].reduce((sum, agent) => sum + (matches(agent) ? agent.hello.slots : 0), 0)
  const computeView = (): types.MembershipView => {
    const departures = memberships.departures()
    const isHalfEligible = countSlots((agent) => agent.eligible) * 2 >= countSlots(() => true)
    return departures === undefined || !isHalfEligible ? { kind: 'unregistered' } : { kind: 'registered', departures }
  }

  const updateEligibility = (agent: agentPeers.AgentPeer): void => {
    if (agent.eligible || !agent.registered || !memberships.isMember(agent.incarnation)) return
    agent.eligible = true
    cachedView = undefined
    placement.workerRegistered(agent.link)
  }
  const markDeparted = (agent: agentPeers.AgentPeer): void => {
    if (agent.departed) return
    agent.departed = true
    placement.workerDisconnected(agent.link, context.now())
    context.send(agent.link, { kind: 'departed', incarnation: agent.incarnation })
  }
  const markAgentLost = (absent: agentPeers.AbsentAgent, hasDeparted: boolean): void => {
    agents.removeAbsent(absent.incarnation)
    owned.agentLost(absent.incarnation, hasDeparted)
  }
  const handleLinkDown = (link: types.LinkId): void => {
    const agent = agents.down(link, context.now())
    if (!agent) return
    cachedView = undefined
    placement.workerDisconnected(link, context.now())
    recovery.agentDown(link)
    owned.agentDown(agent)
    const absent = agents.findAbsent(agent.incarnation)!
    if (memberships.hasDeparted(agent.incarnation)) markAgentLost(absent, true)
    else if ([...agents.all()].some((other) => supersedes(other, absent))) markAgentLost(absent, false)
  }
  /** A later incarnation of the same worker proves that an earlier one, which never registered, is gone. */
  const supersedes = (agent: agentPeers.AgentPeer, { worker, order, registered }: agentPeers.AbsentAgent): boolean =>
    !registered && agent.worker === worker && agent.order > order
  const dropSuperseded = (agent: agentPeers.AgentPeer): void => {
    for (const absent of agents.absent()) if (supersedes(agent, absent)) markAgentLost(absent, false)
  }
  const closeReplacedLink = (incarnation: types.Incarnation): void => {
    const replaced = agents.byIncarnation(incarnation)
    if (!replaced) return
    handleLinkDown(replaced.link)
    context.emit({ kind: 'close', link: replaced.link, reason: 'replaced' })
  }
  const receiveLeaving = (agent: agentPeers.AgentPeer, drained: boolean): void => {
    if (!agent.leaving) {
      agent.leaving = true
      context.log('worker-leaving', { worker: agent.worker })
      placement.workerDisconnected(agent.link, context.now())
    }
    if (drained) context.send(agent.link, { kind: 'leaving-acknowledged' })
  }
  const answerWaitersOn = (absent: agentPeers.AbsentAgent): void => {
    if (context.now() < absent.disconnectedAt + settings.suspectAfterMs) return
    for (const job of owned.jobsOnAgent(absent.incarnation)) {
      waiters.replyAll(job, {
        kind: 'unknown', job, reason: 'agent-unreachable', retryAfterMs: settings.retryAfterMs
      })
    }
  }
  /** An entry without links to most agents is probably isolated itself and must not remove any of them. */
  const hasMostAgents = (): boolean => agents.size() >= agents.absent().length
  const requestRemovalIfDue = (absent: agentPeers.AbsentAgent): void => {
    const { worker, incarnation, failureDomain, disconnectedAt, departureRequestedAt } = absent
    const requestAt = departureRequestedAt === undefined
      ? disconnectedAt + settings.removeAgentAfterMs
      : departureRequestedAt + DEPARTURE_RETRY_MS
    if (context.now() < requestAt || !hasMostAgents()) return
    absent.departureRequestedAt = context.now()
    context.log('remove-worker', { worker, incarnation })
    context.emit({ kind: 'store-departure', member: { worker, incarnation, failureDomain } })
  }
  return {
    up: (link, hello) => {
      closeReplacedLink(hello.incarnation)
      const agent = agents.up(link, hello)
      cachedView = undefined
      const { failureDomain, slots, resources } = hello
      dropSuperseded(agent)
      recovery.agentUp({ link, incarnation: agent.incarnation })
      owned.agentUp(agent)
      if (memberships.hasDeparted(agent.incarnation)) return markDeparted(agent)
      placement.workerConnected(
        link, { name: agent.worker, failureDomain, slots, resources, registered: false }, context.now()
      )
      updateEligibility(agent)
    },
    down: handleLinkDown,
    receive: (agent, message) => {
      switch (message.kind) {
        case 'grant':
          if (!agent.departed && !agent.leaving) placement.granted(agent.link, message.slots)
          return
        case 'recall': {
          const slots = placement.recalled(agent.link, message.slots, message.flood)
          return context.send(agent.link, { kind: 'returned', slots })
        }
        case 'finished': return owned.finished(agent, message)
        case 'rejected': return owned.rejected(agent, message)
        case 'resumed': return owned.resumed(agent, message)
        case 'records': return recovery.records(agent.link, message, context.now())
        case 'record-update':
          return recovery.recordUpdate(message.job, message.index, message.outcome, context.now())
        case 'registered':
          agent.registered = true
          return updateEligibility(agent)
        case 'fenced': return onFenced(message.incarnation)
        case 'leaving': return receiveLeaving(agent, message.drained)
      }
    },
    membershipChanged: () => {
      cachedView = undefined
      for (const agent of agents.all()) {
        if (memberships.hasDeparted(agent.incarnation)) markDeparted(agent)
        else updateEligibility(agent)
      }
      for (const absent of agents.absent()) if (memberships.hasDeparted(absent.incarnation)) markAgentLost(absent, true)
    },
    timer: () => {
      for (const absent of agents.absent()) {
        answerWaitersOn(absent)
        requestRemovalIfDue(absent)
      }
    },
    view: () => {
      cachedView ??= computeView()
      return cachedView
    }
  }
}
