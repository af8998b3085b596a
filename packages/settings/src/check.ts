import * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'
import * as levenshtein from 'fastest-levenshtein'

/** One setting that is missing, unknown or of the wrong type. */
export interface Problem {
  /** Path of the setting with dots, such as `links.key`; empty for the file as a whole. */
  key: string
  message: string
  /** Type that the setting must have. */
  expected?: string
  /** Nearest known key. */
  suggestion?: string
}

const keyOf = (pointer: string): string =>
  pointer.split('/').slice(1).map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~')).join('.')

const range = ({ minimum, maximum }: typebox.TSchema): string => {
  if (minimum === undefined) return ''
  return maximum === undefined ? ` of at least ${minimum}` : ` from ${minimum} to ${maximum}`
}

/** Describes the expected type of a setting for error messages. */
export const describe = (schema: typebox.TSchema): string => {
  if (schema.description) return schema.description
  if (schema['const'] !== undefined) return JSON.stringify(schema['const'])
  if (schema['anyOf']) return `one of ${schema['anyOf'].map(describe).join(', ')}`
  switch (schema['type']) {
    case 'object': return 'table'
    case 'array': return `list${schema['minItems'] ? ' with at least one item' : ''}: ${describe(schema['items'])}`
    case 'integer': return `integer${range(schema)}`
    case 'number': return `number${range(schema)}`
    case 'string': return 'text'
    case 'boolean': return 'true or false'
    default: return schema['type'] ?? 'value'
  }
}

const isTable = (schema: typebox.TSchema): boolean => schema['type'] === 'object'

/** Returns the type of a value. Errors don't contain the value itself, since it may be a misplaced secret. */
const kindOf = (given: unknown): string => {
  if (Array.isArray(given)) return 'list'
  if (given instanceof Date) return 'date'
  const kinds: Record<string, string> = { string: 'text', object: 'table', boolean: 'true or false', bigint: 'integer' }
  return kinds[typeof given] ?? typeof given
}

/** Lists the dotted paths of all known keys, including tables. */
const knownKeys = (schema: typebox.TSchema, prefix = ''): string[] =>
  Object.entries<typebox.TSchema>(schema['properties'] ?? {}).flatMap(([name, property]) =>
    [`${prefix}${name}`, ...(isTable(property) ? knownKeys(property, `${prefix}${name}.`) : [])])

/** Returns the most similar known key, preferring keys of the same table; undefined if none is similar enough. */
const nearest = (key: string, known: string[]): string | undefined => {
  const leaf = (name: string): string => name.slice(name.lastIndexOf('.') + 1)
  const parent = (name: string): string => name.slice(0, name.lastIndexOf('.') + 1)
  const distance = (name: string): number =>
    levenshtein.distance(leaf(key).toLowerCase(), leaf(name).toLowerCase()) + (parent(name) === parent(key) ? 0 : 0.5)
  const ranked = known.map((name) => ({ name, distance: distance(name) })).sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  return best && best.distance <= Math.max(2, leaf(key).length / 2) ? best.name : undefined
}

/** Validates a value, with defaults already filled in, against a schema; reports at most one problem per key. */
export const check = (schema: typebox.TSchema, candidate: unknown, extraKeys: string[] = []): Problem[] => {
  const known = [...knownKeys(schema), ...extraKeys]
  const problems = new Map<string, Problem>()
  for (const { type, path, schema: part, value: given } of value.Value.Errors(schema, candidate)) {
    const key = keyOf(path)
    if (problems.has(key)) continue
    if (type === value.ValueErrorType.ObjectAdditionalProperties) {
      problems.set(key, { key, message: 'unknown setting', suggestion: nearest(key, known) })
    } else {
      const message = given === undefined ? 'missing setting' : `wrong value: ${kindOf(given)}`
      problems.set(key, { key, message, expected: describe(part) })
    }
  }
  return [...problems.values()]
}
