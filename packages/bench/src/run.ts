import type * as placements from '@mustarddeck/placement'
import type * as types from '@mustarddeck/types'
import type * as fleets from './fleet.ts'
import type * as workload from './workload.ts'

/** Everything that determines one run; the same run gives the same tally. */
export interface Run {
  deployment: workload.Deployment
  jobs: workload.Job[]
  rules: types.Rules
  faults: fleets.Fault[]
  /** Counts of messages and busy slots cover this part of the run only. */
  window: fleets.Window
  seed: number
  policy?: Partial<placements.Policy>
}
