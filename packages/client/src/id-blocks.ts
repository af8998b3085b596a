import type * as clock from '@mustarddeck/clock'
import type * as types from '@mustarddeck/types'
import type * as entries from './entries.ts'
import type * as http from './http.ts'

/** Share of a block's lifetime for which its ids are used, since the lifetime counts on the entry's clock. */
const USABLE_SHARE = 0.5
const RESERVE_WAIT_MS = 1000

/** Ids from blocks of the entry in use; a move of the connection to another entry leads to a block of that entry. */
export interface IdBlocks {
  /** Undefined when no entry reserved a block; ask again later. */
  next (): Promise<types.JobId | undefined>
  /** Leaves the block of this id, whose owner no longer accepts it. */
  leave (id: types.JobId): void
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
  /** By name of the entry, since a load balancer may spread the connections of one client. */
  const blocks = new Map<string, Block>()
  let reserving: Promise<Block | undefined> | undefined

  const reserve = async (): Promise<Block | undefined> => {
    const address = entries.current()
    const answer = await http.call('POST', `${address}/v1/id-blocks`, RESERVE_WAIT_MS, { count })
    entries.heard(address, answer)
    if (answer.kind === 'no-answer') return undefined
    if (answer.body.kind !== 'reserved') {
      entries.leave(address)
      return undefined
    }
    const usableUntil = time.monotonic() + answer.body.lifetimeMs * USABLE_SHARE
    const block = { ...answer.body, used: 0, usableUntil }
    blocks.set(answer.entry ?? '', block)
    return block
  }
  const usable = (block: Block | undefined): block is Block =>
    block !== undefined && block.used < block.count && time.monotonic() < block.usableUntil

  return {
    next: async () => {
      let block = blocks.get(entries.name() ?? '')
      if (!usable(block)) {
        reserving ??= reserve().finally(() => { reserving = undefined })
        block = await reserving
      }
      return usable(block) ? `${block.prefix}.${block.first + block.used++}` as types.JobId : undefined
    },
    leave: (id) => {
      for (const [name, block] of blocks) if (id.startsWith(`${block.prefix}.`)) blocks.delete(name)
    }
  }
}
