import * as crypto from 'node:crypto'
import * as clock from '@mustarddeck/clock'
import type * as configuration from '@mustarddeck/configuration'
import * as declarations from '@mustarddeck/declarations'
import * as exitCode from '../../exit-code.ts'
import * as target from '../../target.ts'
import * as describe from './describe.ts'
import * as diff from './diff.ts'
import * as inForce from './in-force.ts'
import type * as reports from './report.ts'
import * as sessions from './session.ts'

export type Options = diff.Options & {
  dryRun: boolean
  wait: boolean
  waitLimitMs: number
  operator: string
  note?: string
  entry?: string[]
  tokenFile?: string
}

const published = (result: configuration.Published, change: string): reports.Report => result.kind === 'unchanged'
  ? { code: exitCode.OK, lines: [`no change to version ${result.version}`], json: { ok: true, ...result, changes: [] } }
  : {
      code: exitCode.OK,
      lines: [
        ...describe.changes(result.changes),
        `published as version ${result.version}${result.merged ? ', merged with later changes' : ''}; change ${change}`
      ],
      json: { ok: true, ...result, change }
    }

/** Adds to the report whether the version is in force everywhere. */
const withWait = async (
  report: reports.Report, version: number, { entry = [], tokenFile, waitLimitMs }: Options
): Promise<reports.Report> => {
  const operator = await import('../../operator.ts')
  const token = target.token(tokenFile) ?? ''
  const late = await inForce.wait({
    version,
    urls: entry,
    read: (url) => operator.status(url, token),
    timers: clock.createSystem(),
    limitMs: waitLimitMs
  })
  const json = { ...report.json as object, ok: late.length === 0, inForce: late.length === 0, late }
  if (late.length === 0) return { ...report, lines: [...report.lines, `version ${version} is in force`], json }
  const problems = [`version ${version} is published but not in force after ${waitLimitMs} ms`, ...late]
  return { ...report, code: exitCode.FAILED, problems, json }
}

const usage = ({ wait, dryRun, entry, tokenFile }: Options): string | undefined => {
  if (!wait || dryRun) return undefined
  if (!entry || entry.length === 0) return '--wait needs the URL of an entry: --entry or MUSTARDDECK_ENTRY'
  if (target.token(tokenFile) === undefined) return '--wait needs the operator token: --token-file or MUSTARDDECK_TOKEN'
}

export const apply = async (given: Options): Promise<reports.Report> => {
  const { directory, platform, base, dryRun, wait, operator, note } = given
  if (dryRun) return diff.diff(given)
  const wrong = usage(given)
  if (wrong !== undefined) {
    return { code: exitCode.USAGE, lines: [], problems: [wrong], json: { ok: false, error: { kind: 'usage', message: wrong } } }
  }
  const set = await declarations.load(directory)
  if (set.kind === 'error') return describe.problems(set.error)
  const change = crypto.randomUUID()
  const result = await sessions.use(platform, ({ publisher }) =>
    publisher.publish({ declarations: set.value, change, operator, note, base }))
  if (result.kind === 'error') return describe.publishError(result.error)
  const report = published(result.value, change)
  return wait ? withWait(report, result.value.version, given) : report
}
