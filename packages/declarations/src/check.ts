import type * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'
import * as contradictions from './contradictions.ts'
import * as describe from './describe.ts'
import * as objects from './objects.ts'
import * as problems from './problems.ts'
import * as schemas from './schemas.ts'

type Check = (set: objects.Declarations, declaration: objects.Declaration) => problems.Problem[]

/** Name of the field at the start of a JSON pointer. */
const fieldOf = (pointer: string): string => pointer.split('/')[1] ?? ''

/** Reports unknown and missing fields, and values of the wrong type or out of range; at most one problem per field. */
const checkFields: Check = (set, declaration) => {
  const { kind, name, fields } = declaration
  const schema: typebox.TObject = schemas.kinds[kind]
  const isExtending = typeof fields.extends === 'string'
  const problemByField = new Map<string, problems.Problem>()
  const candidate = { ...objects.resolve(set, declaration), ...fields }
  for (const { type, path, schema: part, value: given } of value.Value.Errors(schema, candidate)) {
    const field = fieldOf(path)
    const isOwn = Object.hasOwn(fields, field)
    // A wrong or missing field of the extended object is reported for that object.
    if (problemByField.has(field) || (isExtending && !isOwn)) continue
    const problem = { object: objects.keyOf(kind, name), field }
    if (type === value.ValueErrorType.ObjectAdditionalProperties) {
      const suggestion = problems.nearest(field, Object.keys(schema.properties))
      problemByField.set(field, { ...problem, message: 'unknown field', suggestion })
    } else if (!isOwn) {
      problemByField.set(field, { ...problem, message: `missing field; expected ${describe.type(part)}` })
    } else {
      problemByField.set(field, { ...problem, message: `${describe.value(given)} given; expected ${describe.type(part)}` })
    }
  }
  return [...problemByField.values()]
}

const checkReferences: Check = (set, { kind, name, fields }) =>
  schemas.references(kind).flatMap(([field, target]) =>
    [fields[field]].flat().flatMap((referred) => {
      if (typeof referred !== 'string' || set.has(objects.keyOf(target, referred))) return []
      const known = [...set.values()].filter((other) => other.kind === target).map((other) => other.name)
      const message = `no ${target} has the name ${JSON.stringify(referred)}`
      return [{ object: objects.keyOf(kind, name), field, message, suggestion: problems.nearest(referred, known) }]
    }))

/** Reports each cycle of `extends` once, for its member whose name sorts first. */
const checkCircularExtends: Check = (set, declaration) => {
  const chain = objects.ancestryOf(set, declaration)
  const names = chain.map(({ name }) => name)
  const isCircular = objects.base(set, chain.at(-1)!) === declaration
  if (!isCircular || names.some((name) => name < declaration.name)) return []
  const message = `circular reference: ${[...names, declaration.name].join(' extends ')}`
  return [{ object: objects.keyOf(declaration.kind, declaration.name), field: 'extends', message }]
}

/**
 * Validates a whole set of objects. `complete` is false if a file or an object could not be parsed; missing references
 * and contradictions that depend on all objects of a kind are not reported then.
 */
export const check = (set: objects.Declarations, { complete = true } = {}): problems.Problem[] => {
  if (complete && set.size === 0) return [{ message: 'the set has no objects' }]
  const checks = complete ? [checkFields, checkReferences, checkCircularExtends] : [checkFields, checkCircularExtends]
  const found = [...set.values()].flatMap((declaration) => checks.flatMap((one) => one(set, declaration)))
  const invalidObjects = new Set(found.map(({ object }) => object!))
  return [...found, ...contradictions.find(set, invalidObjects, complete)]
}
