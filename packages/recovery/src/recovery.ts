import * as types from '@mustarddeck/types'
import type * as recovery from './interface.ts'
import * as ownerCases from './owner-case.ts'

/** Creates a recovery without cases. */
export const create = (
  { settings, output }: { settings: recovery.Settings, output: recovery.Output }
): recovery.Recovery => {
  const agents = new Map<types.LinkId, recovery.Agent>()
  const owners = new Map<types.Incarnation, ownerCases.OwnerCase>()
  let latestMembership: types.Membership | undefined

  const openCase = (incarnation: types.Incarnation, fenceAt: number, now: number): ownerCases.OwnerCase => {
    const owner = ownerCases.create({ incarnation, fenceAt, settings, output, agents: () => agents.values() })
    owners.set(incarnation, owner)
    if (latestMembership) owner.membership(latestMembership, now)
    return owner
  }
  return {
    request: (request, ownerLostAt, now) => {
      const { incarnation } = types.parseJobId(request.job)!
      const fenceAt = (ownerLostAt ?? now) + settings.suspectAfterMs
      const owner = owners.get(incarnation) ?? openCase(incarnation, fenceAt, now)
      owner.request(request, now)
    },
    ownerUp: (incarnation) => {
      const jobs = owners.get(incarnation)?.jobs() ?? []
      owners.delete(incarnation)
      return jobs
    },
    agentUp: (agent) => {
      agents.set(agent.link, agent)
      for (const owner of owners.values()) owner.agentUp(agent)
    },
    agentDown: (link) => { agents.delete(link) },
    records: (link, message, now) => {
      const agent = agents.get(link)
      if (agent) owners.get(message.incarnation)?.records(agent, message, now)
    },
    recordUpdate: (job, index, outcome, now) => {
      owners.get(types.parseJobId(job)!.incarnation)?.recordUpdate(job, index, outcome, now)
    },
    fenceStored: (incarnation, membership, now) => owners.get(incarnation)?.fenceStored(membership, now),
    membership: (membership, now) => {
      latestMembership = membership
      for (const owner of owners.values()) owner.membership(membership, now)
    },
    timer: (now) => {
      for (const [incarnation, owner] of owners) if (!owner.timer(now)) owners.delete(incarnation)
    },
    deadline: () => {
      const times = [...owners.values()].map((owner) => owner.deadline())
      return times.length === 0 ? undefined : Math.min(...times)
    }
  }
}
