import type * as types from '@mustarddeck/types'
import type * as idempotency from './idempotency.ts'
import type * as requests from './requests.ts'

/** Final refusals that are due to the owner of the id and not to the job. */
const OWNER_REASONS: ReadonlySet<types.RefusalReason> = new Set(['block-closed', 'owner-fenced', 'owner-lost', 'draining'])

/**
 * True if the key may stand for another id: the job of its id is not run and never will be, and either an earlier
 * request was told so, or this one would be refused only because its id cannot be used any more. A cancelled job keeps
 * its key, so that a late resubmission does not undo the cancellation.
 */
const replaceable = (outcome: types.Outcome, binding: idempotency.Binding): boolean =>
  outcome.kind === 'not-run' && outcome.final && outcome.reason !== 'cancelled' &&
  (!binding.fresh || OWNER_REASONS.has(outcome.reason))

/**
 * A refusal of a key that may stand for another id later is not final for the key: a delayed duplicate of the request
 * could still run the job under that id.
 */
const withoutFinalWord = (outcome: types.Outcome | undefined): types.Outcome | undefined =>
  outcome?.kind === 'not-run' && outcome.reason !== 'cancelled' ? { ...outcome, final: false } : outcome

/** Submits under the id that the key is bound to; undefined if the caller's connection closed first. */
export const withKey = async (
  { requests, keys }: { requests: Pick<requests.Requests, 'submit'>, keys: idempotency.Keys },
  submission: types.Submission, key: string, waitMs: number, closed: AbortSignal
): Promise<types.Outcome | undefined> => {
  const bound = await keys.bind(submission.team, key)
  if (bound.kind === 'error') return bound.error
  const outcome = await requests.submit({ ...submission, id: bound.value.job }, waitMs, closed)
  if (!outcome || !replaceable(outcome, bound.value)) return withoutFinalWord(outcome)
  const rebound = await keys.rebind(submission.team, key, bound.value)
  if (rebound.kind === 'error') return rebound.error
  return withoutFinalWord(await requests.submit({ ...submission, id: rebound.value.job }, waitMs, closed))
}
