import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'
import type * as core from '@mustarddeck/entry-core'
import type * as types from '@mustarddeck/types'
import type * as requests from './requests.ts'

/** Number of ids that are reserved at a time for requests with an `Idempotency-Key`. */
const BLOCK_IDS = 1000
/** Share of a block's lifetime after which its remaining ids are left unused. */
const USABLE_SHARE = 0.5

/** Ids of this entry's own blocks. */
export interface IdSource {
  next (): Promise<errors.Result<types.JobId, requests.Refusal>>
  /** Leaves the rest of the current block unused. */
  discard (): void
}

export const create = (reserve: requests.Requests['reserve'], time: clock.Clock): IdSource => {
  let block: core.Reservation | undefined
  let used = 0
  let usableUntil = 0
  let reserving: Promise<requests.Refusal | undefined> | undefined

  const renew = async (): Promise<requests.Refusal | undefined> => {
    const answer = await reserve(BLOCK_IDS)
    errors.invariant(answer, 'a reservation that nobody abandoned is answered')
    if (answer.kind === 'reserve-refused') return answer
    block = answer.reservation
    used = 0
    usableUntil = time.monotonic() + block.lifetimeMs * USABLE_SHARE
    return undefined
  }
  const usable = (): boolean => block !== undefined && used < block.count && time.monotonic() < usableUntil

  const next = async (): Promise<errors.Result<types.JobId, requests.Refusal>> => {
    while (!usable()) {
      reserving ??= renew().finally(() => { reserving = undefined })
      const refusal = await reserving
      if (refusal) return errors.error(refusal)
    }
    errors.invariant(block, 'a usable block exists')
    return errors.ok(`${block.prefix}.${block.first + used++}` as types.JobId)
  }
  return { next, discard: () => { block = undefined } }
}
