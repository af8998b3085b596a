import * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'

const { Type } = typebox

/** Versions whose rows are retained for `history` and as merge bases: three days at 3,300 changes a day. */
export const MAX_HISTORY = 10_000
/** Maximum number of changed objects that a row names. */
export const MAX_NAMED_OBJECTS = 50

export const CURRENT_KEY = 'configuration/current'
const VERSION_DIGITS = 12

/** Key of the row with the publication of a version. */
export const versionKey = (version: number): string =>
  `configuration/versions/${String(version).padStart(VERSION_DIGITS, '0')}`

/** Key of the object that holds the content with this digest. */
export const contentKey = (digest: string): string => `configuration/sets/${digest}`

const Publication = Type.Object({
  /** Consecutive number; 1 for the first publication. */
  version: Type.Integer({ minimum: 1 }),
  digest: Type.String({ minLength: 1 }),
  /** Id of the change. After a lost response, the publisher uses it to determine whether its write took effect. */
  change: Type.String({ minLength: 1 }),
  operator: Type.String(),
  /** Time of the publication on the operator's clock, in ISO 8601. */
  at: Type.String(),
  note: Type.Optional(Type.String()),
  /** Number of objects that were added, removed or modified; `objects` names the first `MAX_NAMED_OBJECTS` of them. */
  changed: Type.Integer({ minimum: 0 }),
  objects: Type.Array(Type.String())
})
const validator = compiler.TypeCompiler.Compile(Publication)

/** A published version, as stored in the rows `configuration/current` and `configuration/versions/*`. */
export type Publication = typebox.Static<typeof Publication>

export const isPublication = (value: unknown): value is Publication => validator.Check(value)
