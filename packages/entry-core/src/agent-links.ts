import type * as messages from '@mustarddeck/messages'
import type * as placements from '@mustarddeck/placement'
import type * as recoveries from '@mustarddeck/recovery'
import type * as types from '@mustarddeck/types'
import type * as agentPeers from './agents.ts'
import type * as contexts from './context.ts'
import type * as knownMemberships from './memberships.ts'
import type * as ownedJobs from './owned-jobs.ts'
import type * as waiting from './waiters.ts'

/** Interval in ms at which the removal of an absent agent is asked for again. */
const DEPARTURE_RETRY_MS = 10_000

/** Links to agents: what their coming, going and messages mean for placement, jobs and recovery. */
export interface AgentLinks {
  up (link: types.LinkId, hello: messages.Hello): void
  down (link: types.LinkId): void
  receive (agent: agentPeers.AgentPeer, message: messages.Message): void
  /** A newer membership is known. */
  membershipChanged (): void
  /** Answers those who wait for absent agents, and has agents removed that are absent for too long. */
  timer (): void
  /** View for new blocks. */
  view (): types.View
}

export const create = ({ context, agents, memberships, placement, owned, waiters, recovery, fenced }: {
  context: contexts.Context
  agents: agentPeers.Agents
  memberships: knownMemberships.Memberships
  placement: placements.Placement
  owned: ownedJobs.OwnedJobs
  waiters: waiting.Waiters
  recovery: recoveries.Recovery
  /** An incarnation of this process was fenced. */
  fenced: (incarnation: types.Incarnation) => void
}): AgentLinks => {
  const { settings } = context

  let cachedView: types.View | undefined

  const slotsOf = (matches: (agent: agentPeers.AgentPeer) => boolean): number =>
    [...agents.all()].reduce((sum, agent) => sum + (matches(agent) ? agent.hello.slots : 0), 0)
  const computeView = (): types.View => {
    const departures = memberships.departures()
    const isHalfEligible = slotsOf((agent) => agent.eligible) * 2 >= slotsOf(() => true)
    return departures === undefined || !isHalfEligible ? { kind: 'unregistered' } : { kind: 'registered', departures }
  }

  const updateEligibility = (agent: agentPeers.AgentPeer): void => {
    if (agent.eligible || !agent.registered || !memberships.isMember(agent.incarnation)) return
    agent.eligible = true
    cachedView = undefined
    placement.workerRegistered(agent.link)
  }
  const depart = (agent: agentPeers.AgentPeer): void => {
    if (agent.departed) return
    agent.departed = true
    placement.workerDown(agent.link, context.now())
    context.send(agent.link, { kind: 'departed', incarnation: agent.incarnation })
  }
  const lose = (absent: agentPeers.AbsentAgent, hasDeparted: boolean): void => {
    agents.forget(absent.incarnation)
    owned.agentLost(absent.incarnation, hasDeparted)
  }
  const dropLink = (link: types.LinkId): void => {
    const agent = agents.down(link, context.now())
    if (!agent) return
    cachedView = undefined
    placement.workerDown(link, context.now())
    recovery.agentDown(link)
    owned.agentDown(agent)
    const absent = agents.absentOf(agent.incarnation)!
    if (memberships.hasDeparted(agent.incarnation)) lose(absent, true)
    else if ([...agents.all()].some((other) => isLater(other, absent))) lose(absent, false)
  }
  /** A later incarnation of a worker shows that an earlier one which never registered is gone. */
  const isLater = (agent: agentPeers.AgentPeer, { worker, order, registered }: agentPeers.AbsentAgent): boolean =>
    !registered && agent.worker === worker && agent.order > order
  const loseEarlier = (agent: agentPeers.AgentPeer): void => {
    for (const absent of agents.absent()) if (isLater(agent, absent)) lose(absent, false)
  }
  const replace = (incarnation: types.Incarnation): void => {
    const old = agents.ofProcess(incarnation)
    if (!old) return
    dropLink(old.link)
    context.emit({ kind: 'close', link: old.link, reason: 'replaced' })
  }
  const receiveLeaving = (agent: agentPeers.AgentPeer, drained: boolean): void => {
    if (!agent.leaving) {
      agent.leaving = true
      context.log('worker-leaving', { worker: agent.worker })
      placement.workerDown(agent.link, context.now())
    }
    if (drained) context.send(agent.link, { kind: 'leaving-acknowledged' })
  }
  const answerAbsent = (absent: agentPeers.AbsentAgent): void => {
    if (context.now() < absent.since + settings.suspectAfterMs) return
    for (const job of owned.unresolvedOn(absent.incarnation)) {
      waiters.settle(job, {
        kind: 'unknown', job, reason: 'agent-unreachable', retryAfterMs: settings.retryAfterMs
      })
    }
  }
  /** An entry that has lost most agents is itself cut off and removes none of them. */
  const isWellConnected = (): boolean => agents.size() >= agents.absent().length
  const removeAbsent = (absent: agentPeers.AbsentAgent): void => {
    const { worker, incarnation, failureDomain, since, departureAskedAt } = absent
    const askAt = departureAskedAt === undefined
      ? since + settings.removeAgentAfterMs
      : departureAskedAt + DEPARTURE_RETRY_MS
    if (context.now() < askAt || !isWellConnected()) return
    absent.departureAskedAt = context.now()
    context.log('remove-worker', { worker, incarnation })
    context.emit({ kind: 'store-departure', member: { worker, incarnation, failureDomain } })
  }
  return {
    up: (link, hello) => {
      replace(hello.incarnation)
      const agent = agents.up(link, hello)
      cachedView = undefined
      const { failureDomain, slots, resources } = hello
      loseEarlier(agent)
      recovery.agentUp({ link, incarnation: agent.incarnation })
      owned.agentUp(agent)
      if (memberships.hasDeparted(agent.incarnation)) return depart(agent)
      placement.workerUp(
        link, { name: agent.worker, failureDomain, slots, resources, registered: false }, context.now()
      )
      updateEligibility(agent)
    },
    down: dropLink,
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
        case 'fenced': return fenced(message.incarnation)
        case 'leaving': return receiveLeaving(agent, message.drained)
      }
    },
    membershipChanged: () => {
      cachedView = undefined
      for (const agent of agents.all()) {
        if (memberships.hasDeparted(agent.incarnation)) depart(agent)
        else updateEligibility(agent)
      }
      for (const absent of agents.absent()) if (memberships.hasDeparted(absent.incarnation)) lose(absent, true)
    },
    timer: () => {
      for (const absent of agents.absent()) {
        answerAbsent(absent)
        removeAbsent(absent)
      }
    },
    view: () => {
      cachedView ??= computeView()
      return cachedView
    }
  }
}
