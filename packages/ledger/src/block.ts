import type * as types from '@mustarddeck/types'

/** Reasons of final refusals; the position in this list plus 1 is what a block stores per refused id. */
const REASONS: types.RefusalReason[] = [
  'unknown-task-type', 'unknown-team', 'never-runnable', 'quota', 'overload', 'queue-time', 'memory-limit', 'cancelled',
  'draining', 'block-closed', 'owner-fenced', 'owner-lost', 'store-unavailable', 'not-submitted'
]

/** Ids that were reserved together. Ids are accepted until `closesAt`, outcomes are kept until `retiresAt` at least. */
export interface Block<Job> {
  number: number
  view: types.View
  count: number
  closesAt: number
  retiresAt: number
  jobs: Map<number, Job>
  /** One byte per id: 0, or the position of the reason of its final refusal. Absent while nothing is refused. */
  refusals?: Uint8Array
}

export const refuse = <Job>(block: Block<Job>, sequence: number, reason: types.RefusalReason): void => {
  block.refusals ??= new Uint8Array(block.count)
  block.refusals[sequence] = REASONS.indexOf(reason) + 1
}

export const refusalOf = <Job>(block: Block<Job>, sequence: number): types.RefusalReason | undefined => {
  const position = block.refusals?.[sequence] ?? 0
  return position === 0 ? undefined : REASONS[position - 1]
}
