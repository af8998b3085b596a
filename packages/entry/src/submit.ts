import type * as types from '@mustarddeck/types'
import type * as idempotency from './idempotency.ts'
import type * as requests from './requests.ts'

/** Reasons of final refusals that are caused by the owner of the id, not by the job. */
const OWNER_REFUSAL_REASONS: ReadonlySet<types.RefusalReason> =
  new Set(['block-closed', 'owner-fenced', 'owner-lost', 'draining'])

/**
 * Returns whether the key may be bound to another id: the job under its current id has not run and never will, and
 * either an earlier request has already been refused with it, or the id itself is no longer usable. The key of a
 * cancelled job stays bound, so that a late resubmission does not undo the cancellation.
 */
const mayRebind = (outcome: types.Outcome, binding: idempotency.Binding): boolean =>
  outcome.kind === 'not-run' && outcome.final && outcome.reason !== 'cancelled' &&
  (!binding.isNew || OWNER_REFUSAL_REASONS.has(outcome.reason))

/**
 * Marks a refusal as not final. The key may later be bound to another id, and a delayed duplicate of the request could
 * then run the job.
 */
const asNonFinal = (outcome: types.Outcome | undefined): types.Outcome | undefined =>
  outcome?.kind === 'not-run' && outcome.reason !== 'cancelled' ? { ...outcome, final: false } : outcome

/** Submits under the id that the key is bound to; returns undefined if the caller disconnected first. */
export const submitWithKey = async (
  { requests, keys }: { requests: Pick<requests.Requests, 'submit'>, keys: idempotency.Keys },
  submission: types.Submission, key: string, waitMs: number, disconnected: AbortSignal
): Promise<types.Outcome | undefined> => {
  const bound = await keys.bind(submission.team, key)
  if (bound.kind === 'error') return bound.error
  const outcome = await requests.submit({ ...submission, id: bound.value.job }, waitMs, disconnected)
  if (!outcome || !mayRebind(outcome, bound.value)) return asNonFinal(outcome)
  const rebound = await keys.rebind(submission.team, key, bound.value)
  if (rebound.kind === 'error') return rebound.error
  return asNonFinal(await requests.submit({ ...submission, id: rebound.value.job }, waitMs, disconnected))
}
