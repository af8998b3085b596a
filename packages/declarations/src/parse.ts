import * as errors from '@mustarddeck/errors'
import * as toml from 'smol-toml'
import * as check from './check.ts'
import * as objects from './objects.ts'
import * as problems from './problems.ts'
import * as schemas from './schemas.ts'

/** Text of one file of declarations; `file` is the path used in problems. */
export interface Source {
  file: string
  text: string
}

interface Parsed {
  set: Map<objects.ObjectKey, objects.Declaration>
  /** File of each object. */
  files: Map<objects.ObjectKey, string>
  problems: problems.Problem[]
}

const isTable = (candidate: unknown): candidate is Record<string, unknown> =>
  typeof candidate === 'object' && candidate !== null && !Array.isArray(candidate) && !(candidate instanceof Date)

const syntaxProblem = (file: string, cause: unknown): problems.Problem => {
  if (!(cause instanceof toml.TomlError)) return { file, message: String(cause) }
  const message = cause.message.split('\n')[0]!.replace('Invalid TOML document: ', 'syntax error: ')
  return { file, line: cause.line, column: cause.column, message }
}

/** Adds the object of one `[kind.name]` table, or a problem if the table is not a valid object. */
const addObject = (
  { set, files, problems }: Parsed, file: string, kind: schemas.Kind, name: string, fields: unknown
): void => {
  const object = objects.keyOf(kind, name)
  if (!isTable(fields)) {
    problems.push({ file, object, message: `expected a table [${kind}.${name}]` })
  } else if (!schemas.isName(name)) {
    problems.push({ file, object, message: 'a name consists of up to 63 lower-case letters, digits and hyphens' })
  } else if (set.has(object)) {
    problems.push({ file, object, message: `duplicate; also declared in ${files.get(object)}` })
  } else {
    set.set(object, { kind, name, fields: { ...fields } })
    files.set(object, file)
  }
}

const addFile = (parsed: Parsed, { file, text }: Source): void => {
  let tables: Record<string, unknown>
  try {
    tables = toml.parse(text, { unsafeKeyBehaviour: 'throw' })
  } catch (cause) {
    parsed.problems.push(syntaxProblem(file, cause))
    return
  }
  for (const [kind, named] of Object.entries(tables)) {
    if (!schemas.isKind(kind)) {
      const suggestion = problems.nearest(kind, schemas.kindNames)
      parsed.problems.push({ file, field: kind, message: 'unknown kind of object', suggestion })
    } else if (!isTable(named)) {
      parsed.problems.push({ file, field: kind, message: `expected tables [${kind}.NAME]` })
    } else {
      for (const [name, fields] of Object.entries(named)) addObject(parsed, file, kind, name, fields)
    }
  }
}

/** Parses the files as one set and validates it; reports all problems at once. */
export const parse = (sources: Source[]): errors.Result<objects.Declarations, problems.Problem[]> => {
  const parsed: Parsed = { set: new Map(), files: new Map(), problems: [] }
  for (const source of sources) addFile(parsed, source)
  const found = [
    ...parsed.problems,
    ...check.check(parsed.set, { complete: parsed.problems.length === 0 }).map((problem) =>
      ({ file: parsed.files.get(problem.object ?? ''), ...problem }))
  ]
  return found.length === 0 ? errors.ok(parsed.set) : errors.error(found)
}
