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

/** Job id that a key is bound to. `isNew`: this request created the binding. */
export interface Binding {
  job: types.JobId
  version: number
  isNew: boolean
}

export type Refusal = Omit<Extract<types.Outcome, { kind: 'not-run' }>, 'job'>
type BindResult = errors.Result<Binding, Refusal>

/** Binds callers' idempotency keys to job ids, by conditional writes to the platform table. Keys are scoped by team. */
export interface Keys {
  /** Returns the id that the key is bound to, and binds an unbound key to a new id. */
  bind (team: types.TeamName, key: string): Promise<BindResult>
  /** Replaces the binding by a new id if the key still has it. The job of the old id must be finally `not-run`. */
  rebind (team: types.TeamName, key: string, binding: Binding): Promise<BindResult>
}

/** Stored row. `boundAtMs` is wall-clock time in ms since the epoch, used only to remove old rows. */
export interface KeyRow {
  job: types.JobId
  boundAtMs: number
}

const unavailable: Refusal = {
  kind: 'not-run', reason: 'store-unavailable', final: false, retryAfterMs: RETRY_AFTER_MS
}

const toRefusal = ({ reason, retryAfterMs }: requests.Refusal): Refusal =>
  ({ kind: 'not-run', reason, final: false, retryAfterMs })

export const rowKey = (team: types.TeamName, key: string): string =>
  ROW_PREFIX + crypto.createHash('sha256').update(`${team}\n${key}`).digest('hex')

/** Parses a stored row; returns undefined if the value has another form. */
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
  /** Maximum time in ms that a request waits for the store. */
  limitMs: number
}): Keys => {
  const writer = rowWriter.create(table)
  const pendingBindings = new Map<string, Promise<BindResult>>()

  const delay = (delayMs: number): Promise<void> => new Promise((resolve) => { timers.after(delayMs, resolve) })

  const readBinding = async (rowId: string, written: types.JobId): Promise<BindResult | undefined> => {
    const read = await table.read(rowId)
    if (read.kind === 'error') return errors.error(unavailable)
    if (!read.value) return undefined
    const value = parseRow(read.value.value)
    if (!value) return errors.error(unavailable)
    return errors.ok({ job: value.job, version: read.value.version, isNew: value.job === written })
  }

  /** Binds a new id. `replaced` is the binding to overwrite; a read that still returns it is stale and is retried. */
  const bindNewId = async (rowId: string, replaced?: Binding): Promise<BindResult> => {
    const id = await ids.next()
    if (id.kind === 'error') return errors.error(toRefusal(id.error))
    const job = id.value
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const value: KeyRow = { job, boundAtMs: timers.now().getTime() }
      const written = await writer.write(rowId, replaced?.version ?? 0, value)
      if (written.kind === 'written') return errors.ok({ job, version: written.version, isNew: true })
      if (written.kind === 'unavailable') return errors.error(unavailable)
      const found = await readBinding(rowId, job)
      if (found && (found.kind === 'error' || found.value.job !== replaced?.job)) return found
      await delay(BACKOFF_MS * attempt)
    }
    return errors.error(unavailable)
  }

  const withTimeout = async (pending: Promise<BindResult>): Promise<BindResult> => {
    let cancel: clock.Cancellation | undefined
    const timeout = new Promise<BindResult>((resolve) => {
      cancel = timers.after(limitMs, () => resolve(errors.error(unavailable)))
    })
    const bound = await Promise.race([pending, timeout])
    cancel?.()
    return bound
  }
  /** Concurrent requests with the same key share one operation. */
  const coalesce = (rowId: string, createBinding: () => Promise<BindResult>): Promise<BindResult> => {
    const found = pendingBindings.get(rowId)
    if (found) return withTimeout(found)
    const promise = createBinding().finally(() => pendingBindings.delete(rowId))
    pendingBindings.set(rowId, promise)
    return withTimeout(promise)
  }
  return {
    bind: (team, key) => {
      const rowId = rowKey(team, key)
      return coalesce(rowId, () => bindNewId(rowId))
    },
    rebind: (team, key, binding) => {
      const rowId = rowKey(team, key)
      return coalesce(rowId, () => bindNewId(rowId, binding))
    }
  }
}
