import * as util from 'node:util'
import type * as objects from './objects.ts'

/** One field that differs; a side is undefined where the field is absent. */
export interface FieldChange {
  field: string
  before: unknown
  after: unknown
}

export interface Change {
  kind: 'added' | 'removed' | 'changed'
  object: objects.ObjectKey
  fields: FieldChange[]
}

const fieldChanges = (before: Record<string, unknown>, after: Record<string, unknown>): FieldChange[] =>
  [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    .filter((field) => !util.isDeepStrictEqual(before[field], after[field]))
    .map((field) => ({ field, before: before[field], after: after[field] }))

/** Lists the changes from one set to the other, sorted by key. */
export const difference = (before: objects.Declarations, after: objects.Declarations): Change[] =>
  [...new Set([...before.keys(), ...after.keys()])].sort().flatMap((object): Change[] => {
    const previous = before.get(object)?.fields
    const current = after.get(object)?.fields
    const fields = fieldChanges(previous ?? {}, current ?? {})
    if (!previous) return [{ kind: 'added', object, fields }]
    if (!current) return [{ kind: 'removed', object, fields }]
    return fields.length > 0 ? [{ kind: 'changed', object, fields }] : []
  })

const SIGNS = { added: '+', removed: '-', changed: '~' }
const text = (value: unknown): string => value === undefined ? '(absent)' : JSON.stringify(value)

/** Formats a change as text lines: the object, then its changed fields. */
export const format = ({ kind, object, fields }: Change): string[] => [
  `${SIGNS[kind]} ${object}`,
  ...(kind === 'changed' ? fields.map(({ field, before, after }) => `    ${field}: ${text(before)} -> ${text(after)}`) : [])
]
