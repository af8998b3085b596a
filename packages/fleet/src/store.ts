import type * as errors from '@mustarddeck/errors'
import type * as deployments from './deployment.ts'

/** Rows of the product's own: entry processes by name, and the workers that agents knew last by the agent's name. */
export type Table = 'entries' | 'workers'

export interface Row {
  key: string
  value: string
}

/** Why a call of the store failed; after `silent` it may have had an effect, or have one later. */
export type StoreError = { kind: 'refused', status: number } | { kind: 'silent', reason: string } | { kind: 'history-gone' }

export type StoreResult<Value> = errors.Result<Value, StoreError>

/** Position in the store's sequence of changes. */
export interface Mark {
  version: number
}

export interface DeploymentChange {
  /** Absent if nothing has changed, or nothing readable. */
  deployment: deployments.Deployment | undefined
  mark: Mark
}

/** The store that all processes share; what must outlast them lies there. */
export abstract class Store {
  abstract rows (table: Table): Promise<StoreResult<Row[]>>
  abstract row (table: Table, key: string): Promise<StoreResult<Row | undefined>>
  abstract write (table: Table, row: Row): Promise<StoreResult<undefined>>
  abstract remove (table: Table, key: string): Promise<StoreResult<undefined>>
  /** The configuration in force. */
  abstract deployment (): Promise<StoreResult<DeploymentChange>>
  /** Waits up to `waitMs` for a change after the mark. */
  abstract nextDeployment (mark: Mark, waitMs: number): Promise<StoreResult<DeploymentChange>>
}
