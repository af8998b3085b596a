import type * as fleet from './agents.ts'

/**
 * Zones on whose workers nothing may be started. They are known from the store, or from an agent that reports the
 * evacuation of its worker, or refuses an order for it, before this entry has heard of it. Load pattern: a zone is
 * evacuated under full load. What one agent refuses must not be sent to the others of its zone one after the other.
 */
export interface Evacuations {
  /** Replaces the zones known from the store. For zones that return to service, earlier reports of agents are void. */
  replace (zones: ReadonlySet<string>, agents: Iterable<fleet.Agent>): void
  /** Records whether the agent refuses orders because of an evacuation. */
  report (agent: fleet.Agent, isEvacuated: boolean): void
  /** The agent is no longer linked; `others` are those that still are. */
  forget (agent: fleet.Agent, others: Iterable<fleet.Agent>): void
  /** True if nothing may be started on the agent's worker. */
  covers (agent: fleet.Agent): boolean
  isEmpty (): boolean
}

export const create = (): Evacuations => {
  let zones: ReadonlySet<string> = new Set()
  /**
   * Zones of agents that report an evacuation. Such a zone returns to service with the first of its agents that takes
   * its report back; each of the others is still passed over until it does.
   */
  const reportedZones = new Set<string>()

  const withdraw = (agent: fleet.Agent): void => {
    if (agent.evacuatedZone !== undefined) reportedZones.delete(agent.evacuatedZone)
    agent.evacuatedZone = undefined
  }
  return {
    replace: (next, agents) => {
      const returned = new Set([...zones].filter((zone) => !next.has(zone)))
      zones = next
      // Their agents have reported no free capacity, so that nothing is sent to them before they know.
      for (const agent of agents) {
        if (agent.evacuatedZone !== undefined && returned.has(agent.evacuatedZone)) withdraw(agent)
      }
    },
    report: (agent, isEvacuated) => {
      const zone = isEvacuated ? agent.worker?.zone : undefined
      if (zone === agent.evacuatedZone) return
      withdraw(agent)
      if (zone === undefined) return
      agent.evacuatedZone = zone
      reportedZones.add(zone)
    },
    forget: (agent, others) => {
      const zone = agent.evacuatedZone
      if (zone === undefined) return
      agent.evacuatedZone = undefined
      if (![...others].some(({ evacuatedZone }) => evacuatedZone === zone)) reportedZones.delete(zone)
    },
    covers: ({ worker, evacuatedZone }) => evacuatedZone !== undefined ||
      (worker !== undefined && (zones.has(worker.zone) || reportedZones.has(worker.zone))),
    isEmpty: () => zones.size === 0 && reportedZones.size === 0
  }
}
