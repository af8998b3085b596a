import type * as runs from '@mustarddeck/runs'
import type * as deployments from './deployment.ts'

/** What processes tell each other beside orders. */
export type Gossip =
  /** Version of the sender's configuration. */
  | { kind: 'version', version: number }
  /** Asks for the configuration, of which the sender has an older version. */
  | { kind: 'deployment-wanted' }
  /** The sender's configuration. */
  | { kind: 'deployment', deployment: deployments.Deployment }
  /** Entries that the sender knows. */
  | { kind: 'entries', addresses: string[] }
  /** State of the entry that sends it. */
  | { kind: 'status', storeReachable: boolean, waiting: Record<string, number> }
  /** Cancels a job wherever it is. */
  | { kind: 'cancel', request: number, key: runs.JobKey }
  | { kind: 'cancel-reply', request: number, known: boolean }

export type Message = runs.ToAgent | runs.FromAgent | Gossip
