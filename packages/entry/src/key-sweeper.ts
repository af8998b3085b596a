import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as platform from '@mustarddeck/platform'
import * as idempotency from './idempotency.ts'

/** Time in ms for which a key stays bound at least: one day, longer than any outcome is kept. */
export const KEY_RETENTION_MS = 86_400_000
/** Rows of one deletion. */
const MAX_ROWS = 64
const DIGITS = '0123456789abcdef'

/** Removes bindings of keys after their retention. Each call covers one of 256 parts of the rows. */
export const create = ({ table, time, log }: {
  table: platform.Table, time: clock.Clock, log: log.Log
}): () => Promise<void> => {
  // Entries start at different parts, so that together they cover the rows sooner.
  let part = Math.floor(time.now().getTime() / 1000) % DIGITS.length ** 2

  return async () => {
    const prefix = idempotency.ROW_PREFIX + DIGITS[Math.floor(part / DIGITS.length)] + DIGITS[part % DIGITS.length]
    part = (part + 1) % DIGITS.length ** 2
    const listed = await table.list(prefix)
    if (listed.kind === 'error') return
    const before = time.now().getTime() - KEY_RETENTION_MS
    const old = listed.value.filter(({ value }) => (idempotency.parseRow(value)?.boundAtMs ?? Infinity) < before)
      .slice(0, MAX_ROWS)
    if (old.length === 0) return
    const removed = await table.transact({
      conditions: old.map(({ key, version }) => ({ key, version })),
      writes: old.map(({ key }) => ({ key, value: undefined }))
    })
    if (removed.kind === 'ok') log.info('keys-removed', { count: old.length })
  }
}
