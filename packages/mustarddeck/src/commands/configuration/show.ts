import type * as configuration from '@mustarddeck/configuration'
import type * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import type * as platform from '@mustarddeck/platform'
import * as toml from 'smol-toml'
import * as exitCode from '../../exit-code.ts'
import * as describe from './describe.ts'
import type * as options from './options.ts'
import type * as reports from './report.ts'
import * as sessions from './session.ts'

export type Options = options.Store & { object?: string, at?: number }

const failed = (message: string): reports.Report =>
  ({ code: exitCode.FAILED, lines: [], problems: [message], json: { ok: false, error: { kind: 'not-found', message } } })

/** The objects as tables by kind and name. */
const tables = (set: declarations.Declarations): Record<string, Record<string, Record<string, unknown>>> => {
  const kinds: Record<string, Record<string, Record<string, unknown>>> = {}
  for (const { kind, name, fields } of set.values()) (kinds[kind] ??= {})[name] = fields
  return kinds
}

/** The publication of a version, or of the one in force; undefined if there is none. */
const find = async (
  store: configuration.Store, at: number | undefined
): Promise<errors.Result<configuration.Publication | undefined, platform.StoreError>> => {
  if (at !== undefined) return store.publication(at)
  const current = await store.current()
  return current.kind === 'ok' ? errors.ok(current.value.publication) : current
}

export const show = ({ platform: url, object, at }: Options): Promise<reports.Report> =>
  sessions.use(url, async ({ store }) => {
    const found = await find(store, at)
    if (found.kind === 'error') return describe.storeError(found.error)
    const publication = found.value
    if (!publication) return failed(at === undefined ? 'nothing has been published' : `version ${at} is not known`)
    const content = await store.content(publication.digest)
    if (content.kind === 'error') return describe.storeError(content.error)
    const { version, at: time, operator } = publication
    if (content.value.kind !== 'sound') return failed(`the set of version ${version} is ${content.value.kind}`)
    const set = content.value.declarations
    const shown = object === undefined ? set : new Map([...set].filter(([key]) => key === object))
    if (shown.size === 0) return failed(`version ${version} has no object ${object}`)
    return {
      code: exitCode.OK,
      lines: [`# version ${version}, published ${time} by ${operator}`, toml.stringify(tables(shown)).trimEnd()],
      json: { ok: true, publication, objects: tables(shown) }
    }
  })
