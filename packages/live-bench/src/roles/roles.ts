import type * as logs from '@mustarddeck/log'

export interface PlatformRole { role: 'platform' }
export interface EntryRole { role: 'entry', platform: string, logLevel: logs.Level }
export interface AgentRole { role: 'agent', platform: string, entries: string[], slots: number, backend: string, worker?: string }
export interface BackendRole { role: 'backend', runMs: number }
/** Several agents in one process, each with a link of its own and a timer in place of a backend server. */
export interface FleetRole { role: 'fleet', entry: string, agents: number, slots: number, runMs: number, first: number }

export type Role = PlatformRole | EntryRole | AgentRole | BackendRole | FleetRole

/** Starts the part, for which only its own libraries are loaded, and returns the addresses that others need. */
export const start = async (given: Role): Promise<Record<string, string>> => {
  switch (given.role) {
    case 'platform': return (await import('./platform.ts')).start()
    case 'entry': return (await import('./entry.ts')).start(given)
    case 'agent': return (await import('./agent.ts')).start(given)
    case 'backend': return (await import('./backend.ts')).start(given)
    case 'fleet': return (await import('./fleet.ts')).start(given)
  }
}
