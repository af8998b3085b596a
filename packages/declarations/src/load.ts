import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import * as errors from '@mustarddeck/errors'
import type * as objects from './objects.ts'
import * as parse from './parse.ts'
import type * as problems from './problems.ts'

const EXTENSION = '.toml'

const readProblem = (file: string, cause: unknown): problems.Problem =>
  ({ file, message: `cannot be read: ${(cause as NodeJS.ErrnoException).code ?? String(cause)}` })

/** Reads all `.toml` files below a directory, sorted by path, and validates them as one set. */
export const load = async (directory: string): Promise<errors.Result<objects.Declarations, problems.Problem[]>> => {
  let names: string[]
  try {
    names = await fs.readdir(directory, { recursive: true })
  } catch (cause) {
    return errors.error([readProblem(directory, cause)])
  }
  const files = names.filter((name) => name.endsWith(EXTENSION)).sort().map((name) => path.join(directory, name))
  if (files.length === 0) return errors.error([{ file: directory, message: `no ${EXTENSION} file` }])
  const sources: parse.Source[] = []
  const unreadable: problems.Problem[] = []
  for (const file of files) {
    try {
      sources.push({ file, text: await fs.readFile(file, 'utf8') })
    } catch (cause) {
      unreadable.push(readProblem(file, cause))
    }
  }
  return unreadable.length > 0 ? errors.error(unreadable) : parse.parse(sources)
}
