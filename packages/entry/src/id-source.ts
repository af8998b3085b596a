import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'
import type * as core from '@mustarddeck/entry-core'
import type * as types from '@mustarddeck/types'
import type * as requests from './requests.ts'

/** Number of ids reserved at a time for requests with an `Idempotency-Key`. */
const BLOCK_SIZE = 1000
/** Fraction of a block's lifetime after which its remaining ids are no longer handed out. */
const USABLE_LIFETIME_FRACTION = 0.5

/** Allocates job ids from blocks that this entry owns. */
export interface IdSource {
  next (): Promise<errors.Result<types.JobId, requests.Refusal>>
  /** Discards the remaining ids of the current block. */
  discard (): void
}

export const create = (reserve: requests.Requests['reserve'], time: clock.Clock): IdSource => {
  let block: core.Reservation | undefined
  let usedIds = 0
  let usableUntilMs = 0
  let pendingReservation: Promise<requests.Refusal | undefined> | undefined

  const reserveBlock = async (): Promise<requests.Refusal | undefined> => {
    const answer = await reserve(BLOCK_SIZE)
    errors.invariant(answer, 'a reservation without a disconnect signal is always answered')
    if (answer.kind === 'reserve-refused') return answer
    block = answer.reservation
    usedIds = 0
    usableUntilMs = time.monotonic() + block.lifetimeMs * USABLE_LIFETIME_FRACTION
    return undefined
  }
  const isBlockUsable = (): boolean => block !== undefined && usedIds < block.count && time.monotonic() < usableUntilMs

  const next = async (): Promise<errors.Result<types.JobId, requests.Refusal>> => {
    while (!isBlockUsable()) {
      pendingReservation ??= reserveBlock().finally(() => { pendingReservation = undefined })
      const refusal = await pendingReservation
      if (refusal) return errors.error(refusal)
    }
    errors.invariant(block, 'a usable block exists')
    return errors.ok(`${block.prefix}.${block.first + usedIds++}` as types.JobId)
  }
  return { next, discard: () => { block = undefined } }
}
