import * as crypto from 'node:crypto'
import * as errors from '@mustarddeck/errors'
import stringify from 'fast-json-stable-stringify'
import * as check from './check.ts'
import * as objects from './objects.ts'
import type * as problems from './problems.ts'
import * as schemas from './schemas.ts'

/** Version of the published format; `deserialize` refuses any other. */
const FORMAT = 1

/** Serializes a set for publication as JSON with sorted keys, so that equal sets have equal digests. */
export const serialize = (set: objects.Declarations): string => stringify({
  format: FORMAT,
  objects: Object.fromEntries([...set].map(([key, { fields }]) => [key, fields]))
})

/** Returns the SHA-256 of a published set in hexadecimal. */
export const digest = (content: string): string => crypto.createHash('sha256').update(content).digest('hex')

const readJson = (content: string): { format?: unknown, objects?: unknown } | undefined => {
  try {
    const parsed: unknown = JSON.parse(content)
    return typeof parsed === 'object' && parsed !== null ? parsed : undefined
  } catch {
    return undefined
  }
}

/** Parses a published set and validates it, since another version of the program may have written it. */
export const deserialize = (content: string): errors.Result<objects.Declarations, problems.Problem[]> => {
  const { format, objects: named } = readJson(content) ?? {}
  if (format !== FORMAT || typeof named !== 'object' || named === null) {
    return errors.error([{ message: `not a set of declarations in format ${FORMAT}` }])
  }
  const set = new Map<objects.ObjectKey, objects.Declaration>()
  const unknown: problems.Problem[] = []
  for (const [key, fields] of Object.entries(named as Record<string, unknown>)) {
    const [kind = '', name = ''] = key.split('/')
    const isTable = typeof fields === 'object' && fields !== null && !Array.isArray(fields)
    if (isTable && schemas.isKind(kind) && schemas.isName(name) && key === objects.keyOf(kind, name)) {
      set.set(key, { kind, name, fields: fields as Record<string, unknown> })
    } else unknown.push({ object: key, message: 'not an object of a known kind' })
  }
  const found = [...unknown, ...check.check(set, { complete: unknown.length === 0 })]
  return found.length === 0 ? errors.ok(set) : errors.error(found)
}
