import type * as jobClaims from '@mustarddeck/job-claims'
import type * as runs from '@mustarddeck/runs'
import type * as deployments from './deployment.ts'
import type * as evacuations from './evacuations.ts'

/** Messages between processes other than those about runs. */
export type PeerMessage =
  /** Version of the sender's configuration. */
  | { kind: 'version', version: number }
  /** Requests the configuration; the sender has an older version. */
  | { kind: 'deployment-wanted' }
  /** The sender's configuration. */
  | { kind: 'deployment', deployment: deployments.Deployment }
  /** The zones that the sender knows to be evacuated. */
  | { kind: 'evacuations' } & evacuations.Evacuations
  /** Addresses of the entries that the sender knows. */
  | { kind: 'entries', addresses: string[] }
  /** Status of the sending entry; `waiting` is the number of waiting jobs by queue. */
  | { kind: 'status', storeReachable: boolean, waiting: Record<string, number> }
  /** Cancels the job if the recipient has it. */
  | { kind: 'cancel', request: number, key: runs.JobKey }
  /** `known` is true if the sender had the job. */
  | { kind: 'cancel-reply', request: number, known: boolean }

export type Message = runs.ToAgent | runs.FromAgent | PeerMessage | jobClaims.ClaimMessage
