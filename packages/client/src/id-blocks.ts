import type * as clock from '@mustarddeck/clock'
import type * as types from '@mustarddeck/types'
import type * as entries from './entries.ts'
import type * as http from './http.ts'

/** Part of a block's lifetime during which its ids are used. Less than 1, as the lifetime runs on the entry's clock. */
const USABLE_LIFETIME_FRACTION = 0.5
const RESERVE_WAIT_MS = 1000

/** Job ids from blocks of the current entry. If the connection moves to another entry, a block of that one is used. */
export interface IdBlocks {
  /** Returns an unused id, or undefined if no block could be reserved; retry later in that case. */
  next (): Promise<types.JobId | undefined>
  /** Discards the block of this id, whose owner no longer accepts it. */
  discardBlockOf (id: types.JobId): void
}

interface Block extends http.Reserved {
  used: number
  usableUntil: number
}

export const create = ({ http, entries, time, count }: {
  http: http.Http
  entries: entries.Entries
  time: clock.Clock
  /** Number of ids to reserve at a time. */
  count: number
}): IdBlocks => {
  /** By name of the entry, since a load balancer may distribute one client's connections over several entries. */
  const blocks = new Map<string, Block>()
  let reserving: Promise<Block | undefined> | undefined

  const reserve = async (): Promise<Block | undefined> => {
    const address = entries.current()
    const answer = await http.call('POST', `${address}/v1/id-blocks`, RESERVE_WAIT_MS, { count })
    entries.recordAnswer(address, answer)
    if (answer.kind === 'no-answer') return undefined
    if (answer.body.kind !== 'reserved') {
      entries.switchFrom(address)
      return undefined
    }
    const usableUntil = time.monotonic() + answer.body.lifetimeMs * USABLE_LIFETIME_FRACTION
    const block = { ...answer.body, used: 0, usableUntil }
    blocks.set(answer.entry ?? '', block)
    return block
  }
  const isUsable = (block: Block | undefined): block is Block =>
    block !== undefined && block.used < block.count && time.monotonic() < block.usableUntil

  return {
    next: async () => {
      let block = blocks.get(entries.name() ?? '')
      if (!isUsable(block)) {
        reserving ??= reserve().finally(() => { reserving = undefined })
        block = await reserving
      }
      return isUsable(block) ? `${block.prefix}.${block.first + block.used++}` as types.JobId : undefined
    },
    discardBlockOf: (id) => {
      for (const [name, block] of blocks) if (id.startsWith(`${block.prefix}.`)) blocks.delete(name)
    }
  }
}
