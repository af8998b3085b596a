import type * as clock from '@mustarddeck/clock'

/** Time in ms after the entry's start within which its agents are expected to link. */
export const START_MS = 3000
/** Time in ms after a new link within which further agents may link. */
const NEXT_LINK_MS = 300

/**
 * Tells whether the entry knows its part of the fleet. Load pattern: after a loss of power callers are back before the
 * links of hundreds of agents. An entry with one agent must not refuse their jobs as if that were the whole fleet.
 */
export interface FleetDiscovery {
  agentLinked (): void
  /** True while more agents are likely to link soon. */
  isIncomplete (): boolean
}

export const create = (timers: clock.Clock): FleetDiscovery => {
  const startedAt = timers.monotonic()
  let linkedAt = startedAt
  return {
    agentLinked: () => { linkedAt = timers.monotonic() },
    isIncomplete: () => {
      const now = timers.monotonic()
      return now - startedAt < START_MS || now - linkedAt < NEXT_LINK_MS
    }
  }
}
