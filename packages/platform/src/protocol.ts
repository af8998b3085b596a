import * as typebox from '@sinclair/typebox'

const Type = typebox.Type

/**
 * Paths of the platform's HTTP interface, relative to the service's address. Responses to GET carry an `ETag`, and a
 * request with `If-None-Match` gets 304 if nothing changed.
 */
export const paths = {
  /** GET with query `key`: 200 with a `Row`, 404 with `Missing`. */
  row: '/v1/table/row',
  /** GET with query `prefix`: 200 with `Rows`. */
  rows: '/v1/table/rows',
  /** POST a `Transaction`: 200 with `Versions`, 409 with `Conflict`. */
  transactions: '/v1/table/transactions',
  /** GET with query `key`: 200 with an `ObjectContent`, 404 with `Missing`. PUT an `ObjectContent`: 204. */
  object: '/v1/object'
}

/** Maximum length of the key of a row or an object, in characters. */
export const MAX_KEY_LENGTH = 512

const Key = Type.String({ minLength: 1, maxLength: MAX_KEY_LENGTH })

export const Row = Type.Object({ key: Key, version: Type.Integer({ minimum: 1 }), value: Type.Unknown() })
export const Rows = Type.Object({ rows: Type.Array(Row) })
/** A write without a value deletes the row. */
export const Transaction = Type.Object({
  conditions: Type.Array(Type.Object({ key: Key, version: Type.Integer({ minimum: 0 }) })),
  writes: Type.Array(Type.Object({ key: Key, value: Type.Optional(Type.Unknown()) }))
})
export const Versions = Type.Object({ versions: Type.Array(Type.Integer({ minimum: 0 })) })
export const Conflict = Type.Object({ conflict: Type.Array(Key) })
/** Body of a 404 for a missing row or object; a 404 without it means a wrong address. */
export const Missing = Type.Object({ missing: Key })
export const ObjectContent = Type.Object({ content: Type.String() })
