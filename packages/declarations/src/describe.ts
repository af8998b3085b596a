import type * as typebox from '@sinclair/typebox'
import * as schemas from './schemas.ts'

const MAX_VALUE_LENGTH = 60

const range = ({ minimum, exclusiveMinimum, maximum }: typebox.TSchema): string => {
  const low = minimum !== undefined ? `at least ${minimum}` : exclusiveMinimum !== undefined && `above ${exclusiveMinimum}`
  const high = maximum !== undefined && `at most ${maximum}`
  const bounds = [low, high].filter(Boolean).join(' and ')
  return bounds && `, ${bounds}`
}

/** Describes the type and range of a field for error messages and the reference page. */
export const type = (schema: typebox.TSchema): string => {
  if (schema['reference']) return `name of a ${schema['reference']}`
  switch (schema['type']) {
    case 'array': return `non-empty list of distinct items, each a ${type(schema['items'])}`
    case 'integer': return `integer${range(schema)}`
    case 'number': return `number${range(schema)}`
    case 'string': return schema['pattern'] === schemas.NAME_PATTERN
      ? 'name of lower-case letters, digits and hyphens'
      : `text of at most ${schema['maxLength']} characters`
    default: return String(schema['type'])
  }
}

/** Returns the value as JSON, truncated to `MAX_VALUE_LENGTH` characters. */
export const value = (given: unknown): string => {
  const text = JSON.stringify(given) ?? String(given)
  return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text
}
