import type * as errors from '@mustarddeck/errors'
import type * as deployments from './deployment.ts'
import type * as evacuations from './evacuations.ts'

/** Tables of this system: addresses of entries by the entry's name, and workers by the agent's name. */
export type Table = 'entries' | 'workers'

export interface Row {
  key: string
  value: string
}

/** Cause of a failed store call. After `silent` (no response) it may have taken effect, or still take effect. */
export type StoreError = { kind: 'refused', status: number } | { kind: 'silent', reason: string } | { kind: 'history-gone' }

export type StoreResult<Value> = errors.Result<Value, StoreError>

/** Position in the store's sequence of changes. */
export interface Mark {
  version: number
}

export interface DeploymentChange {
  /** Undefined if nothing has changed or the change can't be parsed. */
  deployment: deployments.Deployment | undefined
  /** Evacuated zones as of the mark, or their changes up to it. */
  evacuations: evacuations.EvacuationRows
  mark: Mark
}

/** Store shared by all processes, for state that must survive restarts. */
export abstract class Store {
  abstract rows (table: Table): Promise<StoreResult<Row[]>>
  abstract row (table: Table, key: string): Promise<StoreResult<Row | undefined>>
  abstract write (table: Table, row: Row): Promise<StoreResult<undefined>>
  abstract remove (table: Table, key: string): Promise<StoreResult<undefined>>
  /** Returns the configuration in force and all evacuations. */
  abstract deployment (): Promise<StoreResult<DeploymentChange>>
  /** Waits up to `waitMs` for a change after the mark. */
  abstract nextDeployment (mark: Mark, waitMs: number): Promise<StoreResult<DeploymentChange>>
}
