export * from './agent.ts'
export type * from './interface.ts'
export * as capacityUpdates from './capacity-updates.ts'
export { LEASE_MS, LAPSE_AFTER_MS, STOPPED_AFTER_MS } from './lease.ts'
