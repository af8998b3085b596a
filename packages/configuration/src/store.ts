import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import type * as platform from '@mustarddeck/platform'
import * as rows from './rows.ts'

type StoreResult<Value> = errors.Result<Value, platform.StoreError>

/** A published set of declarations with its version. */
export interface Configuration {
  version: number
  digest: string
  content: string
  declarations: declarations.Declarations
}

/** State of the row `configuration/current`. `row` is the row's version for conditions, 0 if nothing is published. */
export interface Current {
  row: number
  publication: rows.Publication | undefined
}

/** `missing`: not found, possibly because of a stale read. `unusable`: corrupt, or invalid for this program. */
export type Content =
  | { kind: 'sound', content: string, declarations: declarations.Declarations }
  | { kind: 'missing' }
  | { kind: 'unusable' }

/** Reads published versions. Each result may be stale. */
export interface Store {
  current (): Promise<StoreResult<Current>>
  /** Returns undefined for a version that is no longer retained, or if a stale read doesn't return it yet. */
  publication (version: number): Promise<StoreResult<rows.Publication | undefined>>
  content (digest: string): Promise<StoreResult<Content>>
}

const unavailable = (message: string): StoreResult<never> => errors.error({ kind: 'unavailable', message })

/** Verifies and deserializes content that was received under this digest from the store or a peer. */
export const interpret = (content: string, digest: string): Content => {
  if (declarations.digest(content) !== digest) return { kind: 'unusable' }
  const set = declarations.deserialize(content)
  return set.kind === 'ok' ? { kind: 'sound', content, declarations: set.value } : { kind: 'unusable' }
}

export const createStore = ({ table, objects }: {
  table: platform.Table, objects: platform.ObjectStore
}): Store => {
  const read = async (key: string): Promise<StoreResult<Current>> => {
    const row = await table.read(key)
    if (row.kind === 'error') return row
    if (!row.value) return errors.ok({ row: 0, publication: undefined })
    const { version, value } = row.value
    if (!rows.isPublication(value)) return unavailable(`row ${key} is malformed`)
    return errors.ok({ row: version, publication: value })
  }
  return {
    current: () => read(rows.CURRENT_KEY),
    publication: async (version) => {
      const row = await read(rows.versionKey(version))
      return row.kind === 'ok' ? errors.ok(row.value.publication) : row
    },
    content: async (digest) => {
      const object = await objects.get(rows.contentKey(digest))
      if (object.kind === 'error') return object
      return errors.ok(object.value === undefined ? { kind: 'missing' } : interpret(object.value, digest))
    }
  }
}
