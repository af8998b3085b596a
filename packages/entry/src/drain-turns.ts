import * as errors from '@mustarddeck/errors'
import type * as membership from '@mustarddeck/membership'
import type * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'

export type Refusal = 'too-many-draining' | 'store-unavailable'

/** Turns to drain of the workers of a failure domain, bounded across all entries by a row of the platform's table. */
export interface DrainTurns {
  /** Takes a turn for a member unless `maxAtOnce` others have theirs. A turn ends when its member has departed. */
  take (member: types.Member, maxAtOnce: number): Promise<errors.Result<undefined, Refusal>>
}

const ROW_PREFIX = 'drains/'
/** Attempts against operators who drain workers of the same failure domain at the same time. */
const MAX_ATTEMPTS = 10

type Turn = Pick<types.Member, 'worker' | 'incarnation'>

const parse = (value: unknown): Turn[] => {
  const turns = (value as { turns?: Turn[] } | undefined)?.turns
  return Array.isArray(turns) ? turns : []
}

export const create = ({ table, registry }: {
  table: Pick<platform.Table, 'read' | 'transact'>
  registry: Pick<membership.Registry, 'read'>
}): DrainTurns => {
  /** Undefined asks for another attempt. */
  const attempt = async (
    { worker, incarnation, failureDomain }: types.Member, maxAtOnce: number
  ): Promise<errors.Result<undefined, Refusal> | undefined> => {
    const key = ROW_PREFIX + failureDomain
    const [row, members] = await Promise.all([table.read(key), registry.read()])
    if (row.kind === 'error' || members.kind === 'error') return errors.error('store-unavailable')
    const listed = new Set(members.value.members.map((member) => member.incarnation))
    const turns = parse(row.value?.value).filter((turn) => listed.has(turn.incarnation))
    if (turns.some((turn) => turn.incarnation === incarnation)) return errors.ok(undefined)
    if (turns.length >= maxAtOnce) return errors.error('too-many-draining')
    const written = await table.transact({
      conditions: [{ key, version: row.value?.version ?? 0 }],
      writes: [{ key, value: { turns: [...turns, { worker, incarnation }] } }]
    })
    if (written.kind === 'ok') return errors.ok(undefined)
    // After a lost answer or a conflict the row is read again, which shows whether the turn was taken.
    return written.error.kind === 'unavailable' ? errors.error('store-unavailable') : undefined
  }
  return {
    take: async (member, maxAtOnce) => {
      for (let count = 0; count < MAX_ATTEMPTS; count++) {
        const result = await attempt(member, maxAtOnce)
        if (result) return result
      }
      return errors.error('store-unavailable')
    }
  }
}
