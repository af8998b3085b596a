export { create, createFaults, MAX_LEASE_MS, type Faults, type Settings, type StandIn } from './worker.ts'
export { createSite, type Site } from './site.ts'
export { advance } from './advance.ts'
