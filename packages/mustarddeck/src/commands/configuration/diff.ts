import * as declarations from '@mustarddeck/declarations'
import type * as configuration from '@mustarddeck/configuration'
import * as exitCode from '../../exit-code.ts'
import * as describe from './describe.ts'
import type * as options from './options.ts'
import type * as reports from './report.ts'
import * as sessions from './session.ts'

export type Options = options.Directory & options.Store & { base?: number }

/** Report of the changes that publishing would make. */
export const describePlan = (plan: configuration.Published): reports.Report => plan.kind === 'unchanged'
  ? { code: exitCode.OK, lines: [`no change to version ${plan.version}`], json: { ok: true, ...plan, changes: [] } }
  : {
      code: exitCode.OK,
      lines: [
        ...describe.formatChanges(plan.changes),
        `${plan.changes.length} ${plan.changes.length === 1 ? 'object' : 'objects'} would change${plan.merged ? ', after a merge with later changes' : ''}`
      ],
      json: { ok: true, kind: 'planned', version: plan.version, changes: plan.changes, merged: plan.merged }
    }

/** Compares the declarations of a directory with the published ones, without publishing. */
export const diff = async ({ directory, platform, base }: Options): Promise<reports.Report> => {
  const set = await declarations.load(directory)
  if (set.kind === 'error') return describe.invalidDeclarations(set.error)
  const plan = await sessions.withSession(platform, ({ publisher }) =>
    publisher.plan({ declarations: set.value, base }))
  return plan.kind === 'ok' ? describePlan(plan.value) : describe.publishError(plan.error)
}
