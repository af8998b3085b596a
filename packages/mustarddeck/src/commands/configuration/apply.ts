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

const describePublished = (result: configuration.Published, change: string): reports.Report => result.kind === 'unchanged'
  ? { code: exitCode.OK, lines: [`no change to version ${result.version}`], json: { ok: true, ...result, changes: [] } }
  : {
      code: exitCode.OK,
      lines: [
        ...describe.formatChanges(result.changes),
        `published as version ${result.version}${result.merged ? ', merged with later changes' : ''}; change ${change}`
      ],
      json: { ok: true, ...result, change }
    }

/** Waits for the version to be in force at all entries and adds the result to the report. */
const addInForceCheck = async (
  report: reports.Report, version: number, { entry = [], tokenFile, waitLimitMs }: Options
): Promise<reports.Report> => {
  const operator = await import('../../operator.ts')
  const token = target.readToken(tokenFile) ?? ''
  const lagging = await inForce.waitUntilInForce({
    version,
    urls: entry,
    read: (url) => operator.status(url, token),
    timers: clock.createSystem(),
    limitMs: waitLimitMs
  })
  const json = { ...report.json as object, ok: lagging.length === 0, inForce: lagging.length === 0, late: lagging }
  if (lagging.length === 0) return { ...report, lines: [...report.lines, `version ${version} is in force`], json }
  const problems = [`version ${version} is published but not in force after ${waitLimitMs} ms`, ...lagging]
  return { ...report, code: exitCode.FAILED, problems, json }
}

/** Returns a message if `--wait` lacks the entry URL or the operator token. */
const usageError = ({ wait, dryRun, entry, tokenFile }: Options): string | undefined => {
  if (!wait || dryRun) return undefined
  if (!entry || entry.length === 0) return '--wait needs the URL of an entry: --entry or MUSTARDDECK_ENTRY'
  if (target.readToken(tokenFile) === undefined) return '--wait needs the operator token: --token-file or MUSTARDDECK_TOKEN'
}

/** Checks the declarations and publishes them; with `dryRun`, only reports what would change. */
export const apply = async (options: Options): Promise<reports.Report> => {
  const { directory, platform, base, dryRun, wait, operator, note } = options
  if (dryRun) return diff.diff(options)
  const usageMessage = usageError(options)
  if (usageMessage !== undefined) {
    return { code: exitCode.USAGE, lines: [], problems: [usageMessage], json: { ok: false, error: { kind: 'usage', message: usageMessage } } }
  }
  const set = await declarations.load(directory)
  if (set.kind === 'error') return describe.invalidDeclarations(set.error)
  const change = crypto.randomUUID()
  const result = await sessions.withSession(platform, ({ publisher }) =>
    publisher.publish({ declarations: set.value, change, operator, note, base }))
  if (result.kind === 'error') return describe.publishError(result.error)
  const report = describePublished(result.value, change)
  return wait ? addInForceCheck(report, result.value.version, options) : report
}
