import * as errors from '@mustarddeck/errors'
import type * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as toml from 'smol-toml'
import * as checks from './check.ts'
import * as schemas from './schemas.ts'

export type Role = keyof typeof schemas.roles
export type SettingsOf<Of extends Role> = typebox.Static<typeof schemas.roles[Of]>

export interface SettingError extends checks.Problem {
  file: string
}

type Table = Record<string, unknown>

const isTable = (candidate: unknown): candidate is Table =>
  typeof candidate === 'object' && candidate !== null && !Array.isArray(candidate) && !(candidate instanceof Date)

/** Omits the excerpt of the file that the parser appends, since it may contain a secret. */
const describeSyntaxError = (cause: unknown): string => cause instanceof toml.TomlError
  ? `${cause.message.split('\n')[0]} in line ${cause.line}, column ${cause.column}`
  : String(cause)

/** Omits the path, which may be a misplaced secret. */
const describeReadError = (cause: unknown): string =>
  `cannot read the file: ${(cause as NodeJS.ErrnoException).code ?? 'unknown error'}`

/** Replaces `<key>File` by `<key>` with the content of that file. The path is relative to the settings file. */
const readSecret = (settings: Table, table: string, key: string, file: string): checks.Problem | undefined => {
  const parent = settings[table]
  const fileKey = `${key}File`
  if (!isTable(parent) || parent[fileKey] === undefined) return undefined
  const source = parent[fileKey]
  delete parent[fileKey]
  const problem = (message: string, expected = 'path of a file'): checks.Problem =>
    ({ key: `${table}.${fileKey}`, message, expected })
  if (parent[key] !== undefined) return problem(`set together with ${table}.${key}`, 'only one of them')
  if (typeof source !== 'string') return problem('wrong value')
  try {
    parent[key] = fs.readFileSync(path.resolve(path.dirname(file), source), 'utf8').trim()
    return undefined
  } catch (cause) {
    return problem(describeReadError(cause))
  }
}

/** Checks conditions that involve several settings; `complete` has already been validated against the schema. */
const checkCrossSettings = (role: Role, complete: unknown): checks.Problem[] => {
  if (role !== 'agent') return []
  const { slots, backend } = complete as schemas.Agent
  const expected = 'at most backend.connections'
  return slots > backend.connections ? [{ key: 'slots', message: `${slots} is too many`, expected }] : []
}

/** Parses and validates the text of a settings file. `file` appears in errors; paths in the text are relative to it. */
export const parse = <Of extends Role>(
  role: Of, text: string, file: string
): errors.Result<SettingsOf<Of>, SettingError[]> => {
  const fail = (problems: checks.Problem[]): errors.Result<SettingsOf<Of>, SettingError[]> =>
    errors.error(problems.map((problem) => ({ file, ...problem })))
  let settings: Table
  try {
    settings = toml.parse(text)
  } catch (cause) {
    return fail([{ key: '', message: describeSyntaxError(cause), expected: 'TOML' }])
  }
  const schema = schemas.roles[role]
  const secrets = schemas.secrets[role]
  const secretProblems = secrets.flatMap(([table, key]) => readSecret(settings, table, key, file) ?? [])
  const complete = value.Value.Default(schema, settings)
  const fileKeys = secrets.map(([table, key]) => `${table}.${key}File`)
  const reported = new Set(secretProblems.map(({ key }) => key.replace(/File$/, '')))
  const schemaProblems = checks.check(schema, complete, fileKeys).filter(({ key }) => !reported.has(key))
  const problems = [...secretProblems, ...schemaProblems]
  if (problems.length === 0) problems.push(...checkCrossSettings(role, complete))
  return problems.length === 0 ? errors.ok(complete as SettingsOf<Of>) : fail(problems)
}

/** Reads, parses and validates the settings file of a role. */
export const load = <Of extends Role>(role: Of, file: string): errors.Result<SettingsOf<Of>, SettingError[]> => {
  let text: string
  try {
    text = fs.readFileSync(file, 'utf8')
  } catch (cause) {
    return errors.error([{ file, key: '', message: describeReadError(cause) }])
  }
  return parse(role, text, file)
}

/** Formats an error as one line of text. */
export const format = ({ file, key, message, expected, suggestion }: SettingError): string => [
  key === '' ? `${file}: ${message}` : `${file}: ${key}: ${message}`,
  expected && `expected ${expected}`,
  suggestion && `did you mean ${suggestion}?`
].filter(Boolean).join('; ')

export type { Agent, BackendStandIn, Entry, PlatformStandIn } from './schemas.ts'
