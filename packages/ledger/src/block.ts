import type * as types from '@mustarddeck/types'

/** Reasons for final refusals. A block stores the index in this list plus 1 for each refused id. */
const REFUSAL_REASONS: types.RefusalReason[] = [
  'unknown-task-type', 'unknown-team', 'never-runnable', 'quota', 'overload', 'queue-time', 'memory-limit', 'cancelled',
  'draining', 'block-closed', 'owner-fenced', 'owner-lost', 'store-unavailable', 'not-submitted'
]

/**
 * Ids that were reserved together. Submissions under them are accepted until `closesAt`, and outcomes are kept at least
 * until `retiresAt`.
 */
export interface Block<Job> {
  /** Block numbers of a process increase from 1. */
  number: number
  view: types.MembershipView
  count: number
  closesAt: number
  retiresAt: number
  jobs: Map<number, Job>
  /** One byte per id: 0, or the index of its refusal reason plus 1. Absent while no id is refused. */
  refusals?: Uint8Array
}

/** Stores the reason for which an id is refused for good. */
export const storeRefusal = <Job>(block: Block<Job>, sequence: number, reason: types.RefusalReason): void => {
  block.refusals ??= new Uint8Array(block.count)
  block.refusals[sequence] = REFUSAL_REASONS.indexOf(reason) + 1
}

/** The reason for which an id was refused; undefined if it wasn't. */
export const refusalOf = <Job>(block: Block<Job>, sequence: number): types.RefusalReason | undefined => {
  const position = block.refusals?.[sequence] ?? 0
  return position === 0 ? undefined : REFUSAL_REASONS[position - 1]
}
