import * as declarations from '@mustarddeck/declarations'
import * as exitCode from '../../exit-code.ts'
import * as describe from './describe.ts'
import type * as options from './options.ts'
import type * as reports from './report.ts'

/** Validates the declarations of a directory and counts them by kind. */
export const check = async ({ directory }: options.Directory): Promise<reports.Report> => {
  const set = await declarations.load(directory)
  if (set.kind === 'error') return describe.invalidDeclarations(set.error)
  const counts = declarations.kindNames.map((kind) =>
    [kind, [...set.value.values()].filter((declaration) => declaration.kind === kind).length] as const)
  return {
    code: exitCode.OK,
    lines: [`${set.value.size} objects are valid: ${counts.map(([kind, count]) => `${count} ${kind}`).join(', ')}`],
    json: { ok: true, objects: Object.fromEntries(counts) }
  }
}
