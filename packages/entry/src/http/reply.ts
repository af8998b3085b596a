import type * as koa from 'koa'
import type * as types from '@mustarddeck/types'
import * as invalid from './invalid.ts'

const MS_PER_SECOND = 1000

const STATUSES = {
  complete: 200, pending: 202, failed: 500, 'not-run': 503, unknown: 504, expired: 410, conflict: 409
} as const satisfies Record<types.Outcome['kind'], number>

/** Returns the HTTP status of an outcome; 429 if a quota refused it. */
export const outcomeStatus = (outcome: types.Outcome): number =>
  outcome.kind === 'not-run' && outcome.reason === 'quota' ? 429 : STATUSES[outcome.kind]

const retryAfterMs = (outcome: types.Outcome): number | undefined =>
  outcome.kind === 'not-run' || outcome.kind === 'unknown' ? outcome.retryAfterMs : undefined

export const outcome = (context: koa.Context, value: types.Outcome, status = outcomeStatus(value)): void => {
  const delayMs = retryAfterMs(value)
  if (delayMs !== undefined) context.set('Retry-After', String(Math.ceil(delayMs / MS_PER_SECOND)))
  if (value.job !== undefined) context.set('Location', `/v1/jobs/${value.job}`)
  context.status = status
  context.body = value
}

export const refuse = (context: koa.Context, refusal: invalid.Invalid): void => {
  context.status = invalid.status(refusal.reason)
  context.body = refusal
}
