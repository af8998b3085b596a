import type * as typebox from '@sinclair/typebox'
import * as describe from './describe.ts'
import * as schemas from './schemas.ts'

const INTRODUCTION = `# Configuration reference

This page is generated from the schemas; \`npm run reference -w @mustarddeck/declarations\` writes it.

Operators declare objects as tables \`[kind.name]\` in any number of \`.toml\` files below one directory. Names consist of
lower-case letters, digits and hyphens. The names are unique per kind in the whole set. An object that \`extends\` another
one of its kind takes over the fields that it leaves out, except \`description\`. Durations are in ms, memory is in MB.
`

const cell = (text: string): string => text.replaceAll('|', '\\|')

const formatDefault = (schema: typebox.TSchema, required: boolean): string => {
  if (schema.default !== undefined) return `\`${JSON.stringify(schema.default)}\``
  return required ? 'required' : 'none'
}

const row = (field: string, schema: typebox.TSchema, required: boolean): string =>
  `| \`${field}\` | ${cell(describe.type(schema))} | ${formatDefault(schema, required)} | ${cell(schema.description ?? '')} |`

const section = (kind: schemas.Kind): string => {
  const schema: typebox.TObject = schemas.kinds[kind]
  const required = new Set(schema.required)
  return [
    `## ${kind}`,
    '',
    schema.description,
    '',
    '| field | type | default | meaning |',
    '|---|---|---|---|',
    ...Object.entries(schema.properties).map(([field, part]) => row(field, part, required.has(field))),
    ''
  ].join('\n')
}

/** Renders the reference page of all kinds of object in Markdown. */
export const render = (): string => [INTRODUCTION, ...schemas.kindNames.map(section)].join('\n')
