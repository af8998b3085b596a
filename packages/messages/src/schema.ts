import * as typebox from '@sinclair/typebox'

const Type = typebox.Type

/** Version of the protocol between processes. A `hello` with another version closes the link. */
export const PROTOCOL_VERSION = 1

const MAX_NAME_LENGTH = 128
const MAX_TEXT_LENGTH = 2048
const MAX_TASKS = 260
const MAX_CLASSES = 64
const MAX_LIST_LENGTH = 100_000

/** Schema of a non-empty string with the branded type `Id`. */
const Name = <Id extends string>(maxLength = MAX_NAME_LENGTH) =>
  Type.Unsafe<Id>(Type.String({ minLength: 1, maxLength }))
const Count = Type.Integer({ minimum: 0 })
const Duration = Type.Number({ minimum: 0 })
const Index = Type.Integer({ minimum: 0, maximum: MAX_TASKS - 1 })

export const bounds = { MAX_TEXT_LENGTH, MAX_CLASSES, MAX_LIST_LENGTH, MAX_TASKS }
export { Type, Name, Count, Duration, Index }
