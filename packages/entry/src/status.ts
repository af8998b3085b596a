import type * as messages from '@mustarddeck/messages'
import type * as placement from '@mustarddeck/placement'
import type * as types from '@mustarddeck/types'

/** Process linked to this entry. */
export interface Peer {
  role: messages.Hello['role']
  name: string
  incarnation: types.Incarnation
  failureDomain: types.FailureDomainName
  address?: string
  registered: boolean
  slots: number
  /** Version of the configuration in force there, 0 for none. */
  configuration: number
}

/** State of an entry as reported to operators. */
export interface Status {
  kind: 'status'
  name: types.EntryName
  incarnation: types.Incarnation
  failureDomain: types.FailureDomainName
  draining: boolean
  configuration: number
  openRequests: number
  jobs: number
  waitingTasks: number
  runningTasks: number
  /** Waiting and running tasks by task type. */
  queues: placement.Backlog[]
  bytes: number
  entries: Peer[]
  agents: Peer[]
  /** Number of `not-run` answers by reason since the process started. */
  refusals: Record<string, number>
}
