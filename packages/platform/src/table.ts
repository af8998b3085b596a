import type * as errors from '@mustarddeck/errors'

/** `version` counts the writes of the row, starting with 1. */
export interface Row {
  key: string
  version: number
  value: unknown
}

/** `version` 0 stands for a row that does not exist. */
export interface Condition {
  key: string
  version: number
}

export interface Write {
  key: string
  /** Undefined deletes the row. */
  value: unknown
}

/** All writes take effect together if every condition holds, else none does. */
export interface Transaction {
  conditions: Condition[]
  writes: Write[]
}

/**
 * `unavailable`: the store did not take the request, and nothing was written. `uncertain`: no answer came; the write
 * may have taken effect. `conflict`: a condition did not hold, and nothing was written.
 */
export type StoreError =
  | { kind: 'unavailable', message: string }
  | { kind: 'uncertain', message: string }
  | { kind: 'conflict', keys: string[] }

/** The platform's transactional table service. Reads may be stale; a transaction's conditions never are. */
export abstract class Table {
  /** The value is undefined for a row that does not exist. */
  abstract read (key: string): Promise<errors.Result<Row | undefined, StoreError>>
  /** Rows whose key starts with `prefix`, in order of key. */
  abstract list (prefix: string): Promise<errors.Result<Row[], StoreError>>
  /** The value lists the new version of each written row, in the order of `writes`; 0 for a deleted row. */
  abstract transact (transaction: Transaction): Promise<errors.Result<number[], StoreError>>
}

/** The platform's object store. Objects are immutable: the key is derived from the content. */
export abstract class ObjectStore {
  abstract put (key: string, content: string): Promise<errors.Result<void, StoreError>>
  /** The value is undefined for an object that does not exist. */
  abstract get (key: string): Promise<errors.Result<string | undefined, StoreError>>
}
