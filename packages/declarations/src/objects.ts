import * as value from '@sinclair/typebox/value'
import * as schemas from './schemas.ts'

/** `kind/name` of an object, unique in a set. */
export type ObjectKey = string

/** A named object as an operator wrote it, without defaults or inherited fields. */
export interface Declaration {
  kind: schemas.Kind
  name: string
  fields: Record<string, unknown>
}

/** A set of named objects by key. */
export type Declarations = ReadonlyMap<ObjectKey, Declaration>

export const keyOf = (kind: string, name: string): ObjectKey => `${kind}/${name}`

export const base = (set: Declarations, { kind, fields }: Declaration): Declaration | undefined =>
  typeof fields.extends === 'string' ? set.get(keyOf(kind, fields.extends)) : undefined

/** Returns the object, the one that it extends, and so on; stops before an object that is missing or repeated. */
export const ancestryOf = (set: Declarations, declaration: Declaration): Declaration[] => {
  const chain: Declaration[] = []
  for (let next: Declaration | undefined = declaration; next && !chain.includes(next); next = base(set, next)) {
    chain.push(next)
  }
  return chain
}

/** Returns own and inherited fields, with defaults where both are absent, without `extends` and `description`. */
export const resolve = (set: Declarations, declaration: Declaration): Record<string, unknown> => {
  const fields: Record<string, unknown> = {}
  for (const ancestor of ancestryOf(set, declaration).reverse()) Object.assign(fields, ancestor.fields)
  delete fields.extends
  delete fields.description
  return value.Value.Default(schemas.kinds[declaration.kind], fields) as Record<string, unknown>
}

/** Returns the resolved objects of a kind, sorted by name. The set must have been validated. */
export const resolved = <Kind extends schemas.Kind>(
  set: Declarations, kind: Kind
): { name: string, fields: schemas.FieldsOf<Kind> }[] =>
    [...set.values()]
      .filter((declaration) => declaration.kind === kind)
      .sort((a, b) => a.name < b.name ? -1 : 1)
      .map((declaration) =>
        ({ name: declaration.name, fields: resolve(set, declaration) as schemas.FieldsOf<Kind> }))
