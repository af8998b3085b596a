import * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'

const { Type } = typebox

/** Versions whose rows are kept for `history` and as bases of merges; three days at 3,300 changes a day. */
export const MAX_HISTORY = 10_000
/** Names of changed objects that a row lists. */
export const MAX_NAMED_OBJECTS = 50

export const CURRENT_KEY = 'configuration/current'
const VERSION_DIGITS = 12

/** Row that keeps the publication of one version. */
export const versionKey = (version: number): string =>
  `configuration/versions/${String(version).padStart(VERSION_DIGITS, '0')}`

/** Object that holds the content with this digest. */
export const contentKey = (digest: string): string => `configuration/sets/${digest}`

const Publication = Type.Object({
  /** 1 for the first publication; each further one adds 1. */
  version: Type.Integer({ minimum: 1 }),
  /** Digest of the content. */
  digest: Type.String({ minLength: 1 }),
  /** Id of the change, by which its operator finds out whether it took effect. */
  change: Type.String({ minLength: 1 }),
  operator: Type.String(),
  /** Time of the publication by the operator's clock, as ISO 8601. */
  at: Type.String(),
  note: Type.Optional(Type.String()),
  /** Number of objects that the change added, removed or changed, and the names of the first of them. */
  changed: Type.Integer({ minimum: 0 }),
  objects: Type.Array(Type.String())
})
const validator = compiler.TypeCompiler.Compile(Publication)

/** One published version, as the rows `configuration/current` and `configuration/versions/*` hold it. */
export type Publication = typebox.Static<typeof Publication>

export const isPublication = (value: unknown): value is Publication => validator.Check(value)
