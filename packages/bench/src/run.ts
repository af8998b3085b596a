import type * as placements from '@mustarddeck/placement'
import type * as types from '@mustarddeck/types'
import type * as fleets from './fleet.ts'
import type * as workload from './workload.ts'

/** Input of a run. Equal inputs give equal tallies. */
export interface Run {
  deployment: workload.Deployment
  jobs: workload.Job[]
  rules: types.Rules
  faults: fleets.Fault[]
  /** Part of the run in which messages, started tasks and run times are counted. */
  window: fleets.Window
  seed: number
  policy?: Partial<placements.Policy>
}
