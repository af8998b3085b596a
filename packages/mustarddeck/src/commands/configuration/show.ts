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

const notFound = (message: string): reports.Report =>
  ({ code: exitCode.FAILED, lines: [], problems: [message], json: { ok: false, error: { kind: 'not-found', message } } })

/** Groups the fields of the objects by kind and name, as TOML tables. */
const groupByKind = (set: declarations.Declarations): Record<string, Record<string, Record<string, unknown>>> => {
  const kinds: Record<string, Record<string, Record<string, unknown>>> = {}
  for (const { kind, name, fields } of set.values()) (kinds[kind] ??= {})[name] = fields
  return kinds
}

/** Reads the publication of a version, by default the current one; undefined if there is none. */
const findPublication = async (
  store: configuration.Store, at: number | undefined
): Promise<errors.Result<configuration.Publication | undefined, platform.StoreError>> => {
  if (at !== undefined) return store.publication(at)
  const current = await store.current()
  return current.kind === 'ok' ? errors.ok(current.value.publication) : current
}

/** Shows the objects of a published version, or one of them. */
export const show = ({ platform: url, object, at }: Options): Promise<reports.Report> =>
  sessions.withSession(url, async ({ store }) => {
    const found = await findPublication(store, at)
    if (found.kind === 'error') return describe.storeError(found.error)
    const publication = found.value
    if (!publication) return notFound(at === undefined ? 'nothing has been published' : `version ${at} is not known`)
    const content = await store.content(publication.digest)
    if (content.kind === 'error') return describe.storeError(content.error)
    const { version, at: time, operator } = publication
    if (content.value.kind !== 'sound') return notFound(`the set of version ${version} is ${content.value.kind}`)
    const set = content.value.declarations
    const shown = object === undefined ? set : new Map([...set].filter(([key]) => key === object))
    if (shown.size === 0) return notFound(`version ${version} has no object ${object}`)
    return {
      code: exitCode.OK,
      lines: [`# version ${version}, published ${time} by ${operator}`, toml.stringify(groupByKind(shown)).trimEnd()],
      json: { ok: true, publication, objects: groupByKind(shown) }
    }
  })
