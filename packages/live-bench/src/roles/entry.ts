import * as entries from '@mustarddeck/entry'
import * as logs from '@mustarddeck/log'
import * as settings from '../settings.ts'
import type * as roles from './roles.ts'

/** Formats every line as in operation and drops it, so that its processor time counts. */
const discard = (level: logs.Level): logs.Log => logs.create({ level, destination: { write: () => undefined } })

export const start = async ({ platform: url, logLevel }: roles.EntryRole): Promise<Record<string, string>> => {
  const entry = await entries.start(settings.complete('entry', {
    name: 'entry-1', failureDomain: settings.FAILURE_DOMAIN, links: { entries: [], key: settings.KEY }, platform: { url }
  }), { log: discard(logLevel) })
  return { url: entry.url, address: entry.address }
}
