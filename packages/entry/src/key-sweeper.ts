import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as platform from '@mustarddeck/platform'
import * as idempotency from './idempotency.ts'

/** Minimum time in ms for which a key stays bound: one day, which is longer than any outcome is kept. */
export const KEY_RETENTION_MS = 86_400_000
/** Maximum number of rows deleted in one transaction. */
const MAX_DELETED_ROWS = 64
const HEX_DIGITS = '0123456789abcdef'

/** Removes key bindings that are older than the retention. Each call scans one of 256 partitions of the rows. */
export const create = ({ table, time, log }: {
  table: platform.Table, time: clock.Clock, log: log.Log
}): () => Promise<void> => {
  // The start time selects the first partition, so that entries scan different partitions at the same time.
  let partition = Math.floor(time.now().getTime() / 1000) % HEX_DIGITS.length ** 2

  return async () => {
    const prefix = idempotency.ROW_PREFIX + HEX_DIGITS[Math.floor(partition / HEX_DIGITS.length)] +
      HEX_DIGITS[partition % HEX_DIGITS.length]
    partition = (partition + 1) % HEX_DIGITS.length ** 2
    const listed = await table.list(prefix)
    if (listed.kind === 'error') return
    const cutoffMs = time.now().getTime() - KEY_RETENTION_MS
    const expired = listed.value.filter(({ value }) => (idempotency.parseRow(value)?.boundAtMs ?? Infinity) < cutoffMs)
      .slice(0, MAX_DELETED_ROWS)
    if (expired.length === 0) return
    const deletion = await table.transact({
      conditions: expired.map(({ key, version }) => ({ key, version })),
      writes: expired.map(({ key }) => ({ key, value: undefined }))
    })
    if (deletion.kind === 'ok') log.info('keys-removed', { count: expired.length })
  }
}
