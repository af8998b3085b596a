import * as crypto from 'node:crypto'
import * as errors from '@mustarddeck/errors'
import * as types from '@mustarddeck/types'
import type * as clock from '@mustarddeck/clock'
import type * as platform from '@mustarddeck/platform'
import type * as idSource from './id-source.ts'
import type * as requests from './requests.ts'
import * as rowWriter from './row-writer.ts'

export const ROW_PREFIX = 'idempotency/'

const MAX_ATTEMPTS = 5
const BACKOFF_MS = 20
const RETRY_AFTER_MS = 1000

/** Id that a key stands for. `fresh`: bound by this request, not found. */
export interface Binding {
  job: types.JobId
  version: number
  fresh: boolean
}

export type Refusal = Omit<Extract<types.Outcome, { kind: 'not-run' }>, 'job'>
type Bound = errors.Result<Binding, Refusal>

/** Keys of callers, bound to job ids by insert-if-absent in the platform's table. Keys are scoped by team. */
export interface Keys {
  /** The id that the key is bound to; binds it to a new one if it is not bound yet. */
  bind (team: types.TeamName, key: string): Promise<Bound>
  /** Binds the key to a new id, if it still has this binding, whose job is known to be `not-run` for good. */
  rebind (team: types.TeamName, key: string, binding: Binding): Promise<Bound>
}

/** Row value. `boundAtMs` is wall time in ms since the epoch; it serves only to remove old rows. */
export interface KeyRow {
  job: types.JobId
  boundAtMs: number
}

const unavailable: Refusal = {
  kind: 'not-run', reason: 'store-unavailable', final: false, retryAfterMs: RETRY_AFTER_MS
}

const refusal = ({ reason, retryAfterMs }: requests.Refusal): Refusal =>
  ({ kind: 'not-run', reason, final: false, retryAfterMs })

export const rowKey = (team: types.TeamName, key: string): string =>
  ROW_PREFIX + crypto.createHash('sha256').update(`${team}\n${key}`).digest('hex')

/** Returns undefined for a value that is not the row of a key. */
export const parseRow = (value: unknown): KeyRow | undefined => {
  const row = value as Partial<KeyRow> | null | undefined
  return typeof row?.job === 'string' && types.parseJobId(row.job) && typeof row.boundAtMs === 'number'
    ? row as KeyRow
    : undefined
}

export const create = ({ table, ids, timers, limitMs }: {
  table: platform.Table
  ids: idSource.IdSource
  timers: clock.Timers
  /** Longest time in ms that a request waits for the store. */
  limitMs: number
}): Keys => {
  const writer = rowWriter.create(table)
  const underWay = new Map<string, Promise<Bound>>()

  const delay = (delayMs: number): Promise<void> => new Promise((resolve) => { timers.after(delayMs, resolve) })

  const readBack = async (row: string, written: types.JobId): Promise<Bound | undefined> => {
    const read = await table.read(row)
    if (read.kind === 'error') return errors.error(unavailable)
    if (!read.value) return undefined
    const value = parseRow(read.value.value)
    if (!value) return errors.error(unavailable)
    return errors.ok({ job: value.job, version: read.value.version, fresh: value.job === written })
  }

  /** `replaced`: the binding that may be overwritten. A read that still shows it is stale or came before the write. */
  const insert = async (row: string, replaced?: Binding): Promise<Bound> => {
    const id = await ids.next()
    if (id.kind === 'error') return errors.error(refusal(id.error))
    const job = id.value
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const value: KeyRow = { job, boundAtMs: timers.now().getTime() }
      const written = await writer.write(row, replaced?.version ?? 0, value)
      if (written.kind === 'written') return errors.ok({ job, version: written.version, fresh: true })
      if (written.kind === 'unavailable') return errors.error(unavailable)
      const found = await readBack(row, job)
      if (found && (found.kind === 'error' || found.value.job !== replaced?.job)) return found
      await delay(BACKOFF_MS * attempt)
    }
    return errors.error(unavailable)
  }

  const limited = async (work: Promise<Bound>): Promise<Bound> => {
    let cancel: clock.Cancellation | undefined
    const limit = new Promise<Bound>((resolve) => {
      cancel = timers.after(limitMs, () => resolve(errors.error(unavailable)))
    })
    const bound = await Promise.race([work, limit])
    cancel?.()
    return bound
  }
  /** Requests with one key at the same time share one binding. */
  const shared = (row: string, work: () => Promise<Bound>): Promise<Bound> => {
    const found = underWay.get(row)
    if (found) return limited(found)
    const promise = work().finally(() => underWay.delete(row))
    underWay.set(row, promise)
    return limited(promise)
  }
  return {
    bind: (team, key) => {
      const row = rowKey(team, key)
      return shared(row, () => insert(row))
    },
    rebind: (team, key, binding) => {
      const row = rowKey(team, key)
      return shared(row, () => insert(row, binding))
    }
  }
}
