import * as configuration from '@mustarddeck/configuration'
import * as errors from '@mustarddeck/errors'
import type * as platform from '@mustarddeck/platform'
import * as exitCode from '../../exit-code.ts'
import * as describe from './describe.ts'
import type * as options from './options.ts'
import type * as reports from './report.ts'
import * as sessions from './session.ts'

const MAX_SHOWN_OBJECTS = 4

export type Options = options.Store & { limit: number }

/** The latest publications, newest first. Omits versions that are no longer retained. */
const readLatest = async (
  store: configuration.Store, limit: number
): Promise<errors.Result<configuration.Publication[], platform.StoreError>> => {
  const current = await store.current()
  if (current.kind === 'error') return current
  const { publication } = current.value
  if (!publication) return errors.ok([])
  const count = Math.min(limit, publication.version, configuration.MAX_HISTORY)
  const earlier = Array.from({ length: count - 1 }, (_, index) => publication.version - 1 - index)
  const read = await Promise.all(earlier.map((version) => store.publication(version)))
  const firstFailure = read.find((result) => result.kind === 'error')
  if (firstFailure?.kind === 'error') return firstFailure
  return errors.ok([publication, ...read.flatMap((result) => result.kind === 'ok' && result.value ? [result.value] : [])])
}

const formatPublication = (
  { version, at, operator, changed, objects, note, change }: configuration.Publication
): string => {
  const names = objects.slice(0, MAX_SHOWN_OBJECTS).join(' ') + (changed > MAX_SHOWN_OBJECTS ? ' …' : '')
  return [version, at, operator, `${changed} changed: ${names}`, `change ${change}`, note].filter(Boolean).join('  ')
}

/** Lists the latest publications. */
export const history = ({ platform: url, limit }: Options): Promise<reports.Report> =>
  sessions.withSession(url, async ({ store }) => {
    const publications = await readLatest(store, limit)
    if (publications.kind === 'error') return describe.storeError(publications.error)
    const lines = publications.value.length > 0 ? publications.value.map(formatPublication) : ['nothing has been published']
    return { code: exitCode.OK, lines, json: { ok: true, versions: publications.value } }
  })
