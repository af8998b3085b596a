import type * as series from './series.ts'
import * as configurations from './series/configuration.ts'
import * as memberships from './series/membership.ts'
import * as states from './series/state.ts'
import * as storms from './series/storms.ts'
import * as tasks from './series/tasks.ts'

/** Sizes of one run; each list has at least four. */
export interface Sizes {
  agents: number[]
  /** Jobs of ten tasks of each run that measures the time per task. */
  jobs: number
  runs: number
  recovery: storms.RecoverySizes
  ledger: { jobs: number[], tasks: number[] }
  journal: number[]
  members: number[]
  registrations: number[]
  spread: number[]
  objects: number[]
}

export const FULL: Sizes = {
  agents: [250, 500, 1000, 2000],
  jobs: 2000,
  runs: 3,
  recovery: { sizes: [250, 500, 1000, 1500], jobs: 100, jobSizes: [50, 100, 200, 400], agents: 500, runs: 2 },
  ledger: { jobs: [5000, 10_000, 20_000, 40_000], tasks: [10, 20, 40, 80] },
  journal: [10_000, 20_000, 40_000, 80_000],
  members: [500, 1000, 2000, 3000],
  registrations: [50, 100, 200, 430],
  spread: [50, 100, 200, 400],
  objects: [50, 100, 200, 400]
}

export const QUICK: Sizes = {
  agents: [100, 200, 300, 400],
  jobs: 280,
  runs: 3,
  recovery: { sizes: [50, 100, 200, 400], jobs: 20, jobSizes: [10, 20, 40, 80], agents: 50, runs: 2 },
  ledger: { jobs: [1000, 2000, 3000, 4000], tasks: [4, 8, 16, 32] },
  journal: [2000, 4000, 8000, 16_000],
  members: [100, 200, 400, 800],
  registrations: [10, 20, 40, 80],
  spread: [10, 20, 40, 80],
  objects: [10, 20, 40, 80]
}

/** Measures the decision code, the state and the membership in this process. */
export const run = async (sizes: Sizes): Promise<series.Series[]> => [
  ...states.ledger(sizes.ledger),
  ...states.journal(sizes.journal),
  tasks.byAgents(sizes.agents, sizes.jobs, sizes.runs),
  tasks.heartbeats(sizes.agents, sizes.runs),
  tasks.reports(sizes.agents, sizes.runs * 3),
  ...storms.reconnection(sizes.agents, sizes.runs),
  ...storms.recovery(sizes.recovery),
  ...await memberships.fences(sizes.members),
  ...await memberships.registrations(sizes.registrations),
  ...await configurations.spreads(sizes.spread),
  configurations.sizes(sizes.objects)
]
