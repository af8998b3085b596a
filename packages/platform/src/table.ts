import type * as errors from '@mustarddeck/errors'

/** Row of the table. `version` counts the writes of the row, starting at 1. */
export interface Row {
  key: string
  version: number
  value: unknown
}

/** Condition on the current version of a row. Version 0 means that the row does not exist. */
export interface Condition {
  key: string
  version: number
}

export interface Write {
  key: string
  /** Undefined deletes the row. */
  value: unknown
}

/** Applies all writes atomically if every condition holds, otherwise none. */
export interface Transaction {
  conditions: Condition[]
  writes: Write[]
}

/**
 * `unavailable`: the store did not process the request, and nothing was written. `uncertain`: no valid response was
 * received, and a write may have taken effect. `conflict`: a condition did not hold, and nothing was written.
 */
export type StoreError =
  | { kind: 'unavailable', message: string }
  | { kind: 'uncertain', message: string }
  | { kind: 'conflict', keys: string[] }

/** The platform's transactional table service. Reads may be stale; conditions are checked against the latest state. */
export abstract class Table {
  /** Returns undefined if the row does not exist. */
  abstract read (key: string): Promise<errors.Result<Row | undefined, StoreError>>
  /** Returns the rows whose key starts with `prefix`, sorted by key. */
  abstract list (prefix: string): Promise<errors.Result<Row[], StoreError>>
  /** Returns the new version of each written row in the order of `writes`; 0 for a deleted row. */
  abstract transact (transaction: Transaction): Promise<errors.Result<number[], StoreError>>
}

/** The platform's object store. Objects are immutable, as their key is derived from the content. */
export abstract class ObjectStore {
  abstract put (key: string, content: string): Promise<errors.Result<void, StoreError>>
  /** Returns undefined if the object does not exist. */
  abstract get (key: string): Promise<errors.Result<string | undefined, StoreError>>
}
