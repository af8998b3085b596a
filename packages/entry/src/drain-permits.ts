import * as errors from '@mustarddeck/errors'
import type * as membership from '@mustarddeck/membership'
import type * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'

export type Refusal = 'too-many-draining' | 'store-unavailable'

/** Limits how many workers of a failure domain drain at once, across all entries, by one platform table row each. */
export interface DrainPermits {
  /** Acquires a permit unless `maxAtOnce` other members hold one. It lasts until the member has left the membership. */
  acquire (member: types.Member, maxAtOnce: number): Promise<errors.Result<undefined, Refusal>>
}

const PERMIT_ROW_PREFIX = 'drains/'
/** Bounds the retries when several operators drain workers of the same failure domain at the same time. */
const MAX_ATTEMPTS = 10

type Permit = Pick<types.Member, 'worker' | 'incarnation'>

const parsePermits = (value: unknown): Permit[] => {
  const permits = (value as { turns?: Permit[] } | undefined)?.turns
  return Array.isArray(permits) ? permits : []
}

export const create = ({ table, registry }: {
  table: Pick<platform.Table, 'read' | 'transact'>
  registry: Pick<membership.Registry, 'read'>
}): DrainPermits => {
  /** Returns undefined if the transaction conflicted or its result is unknown, so that the caller retries. */
  const attempt = async (
    { worker, incarnation, failureDomain }: types.Member, maxAtOnce: number
  ): Promise<errors.Result<undefined, Refusal> | undefined> => {
    const key = PERMIT_ROW_PREFIX + failureDomain
    const [row, members] = await Promise.all([table.read(key), registry.read()])
    if (row.kind === 'error' || members.kind === 'error') return errors.error('store-unavailable')
    const listed = new Set(members.value.members.map((member) => member.incarnation))
    const permits = parsePermits(row.value?.value).filter((permit) => listed.has(permit.incarnation))
    if (permits.some((permit) => permit.incarnation === incarnation)) return errors.ok(undefined)
    if (permits.length >= maxAtOnce) return errors.error('too-many-draining')
    const written = await table.transact({
      conditions: [{ key, version: row.value?.version ?? 0 }],
      writes: [{ key, value: { turns: [...permits, { worker, incarnation }] } }]
    })
    if (written.kind === 'ok') return errors.ok(undefined)
    // After a conflict or a lost response, the next attempt reads whether the permit was stored.
    return written.error.kind === 'unavailable' ? errors.error('store-unavailable') : undefined
  }
  return {
    acquire: async (member, maxAtOnce) => {
      for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
        const result = await attempt(member, maxAtOnce)
        if (result) return result
      }
      return errors.error('store-unavailable')
    }
  }
}
