import * as types from '@mustarddeck/types'
import type * as koa from 'koa'
import type Router from '@koa/router'
import type * as idempotency from '../idempotency.ts'
import type * as requests from '../requests.ts'
import type * as limits from './limits.ts'
import * as invalid from './invalid.ts'
import * as query from './query.ts'
import * as reply from './reply.ts'
import * as submit from '../submit.ts'
import * as validate from './validate.ts'

export interface Parts {
  requests: requests.Requests
  keys: idempotency.Keys
  limits: limits.Limits
  /** False until a configuration is in force; new work waits for that. */
  configured: () => boolean
  /** Counts refusals by reason. */
  refused: (reason: string) => void
}

const RETRY_AFTER_MS = 1000

/** Aborted when the caller's connection closes before the response is complete. */
const closing = (context: koa.Context): AbortSignal => {
  const controller = new AbortController()
  context.res.once('close', () => { if (!context.res.writableFinished) controller.abort() })
  return controller.signal
}

/** Routes of callers. */
export const register = (router: Router, parts: Parts): void => {
  const { limits } = parts

  const answer = (context: koa.Context, outcome: types.Outcome | undefined, status?: number): void => {
    if (!outcome) {
      context.respond = false
      return
    }
    if (outcome.kind === 'not-run') parts.refused(outcome.reason)
    reply.outcome(context, outcome, status)
  }
  /** Refuses before anything reaches the decision code; true if it refused. */
  const refused = (context: koa.Context): boolean => {
    const isFull = parts.requests.open() >= limits.maxOpenRequests
    if (!isFull && parts.configured()) return false
    const reason = isFull ? 'overload' : 'store-unavailable'
    answer(context, { kind: 'not-run', reason, final: false, retryAfterMs: RETRY_AFTER_MS })
    return true
  }
  const withJob = async (
    context: koa.Context, defaultWaitMs: number,
    ask: (job: types.JobId, waitMs: number, closed: AbortSignal) => Promise<types.Outcome | undefined>,
    status?: (outcome: types.Outcome) => number
  ): Promise<void> => {
    const id = context['params'].id as string
    if (!types.parseJobId(id)) {
      return reply.refuse(context, invalid.create('bad-id', `${invalid.quote(id)} is not a job id`))
    }
    const waitMs = query.waitMs(context, defaultWaitMs, limits.maxWaitMs)
    if (waitMs.kind === 'error') return reply.refuse(context, waitMs.error)
    const outcome = await ask(id as types.JobId, waitMs.value, closing(context))
    answer(context, outcome, outcome && status?.(outcome))
  }

  router.post('/v1/jobs', async (context) => {
    const waitMs = query.waitMs(context, limits.defaultWaitMs, limits.maxWaitMs)
    if (waitMs.kind === 'error') return reply.refuse(context, waitMs.error)
    const key = query.idempotencyKey(context)
    if (key.kind === 'error') return reply.refuse(context, key.error)
    const submission = validate.submission(context.request.body)
    if (submission.kind === 'error') return reply.refuse(context, submission.error)
    if (key.value !== undefined && submission.value.id !== undefined) {
      return reply.refuse(context, invalid.create('bad-id', 'a submission has an id or an Idempotency-Key, not both'))
    }
    if (refused(context)) return
    const closed = closing(context)
    answer(context, key.value === undefined
      ? await parts.requests.submit(submission.value, waitMs.value, closed)
      : await submit.withKey(parts, submission.value, key.value, waitMs.value, closed))
  })

  router.get('/v1/jobs/:id', (context) => withJob(context, 0, parts.requests.inquire))

  // A cancellation that took effect is a success of this request, whatever it means for the job.
  router.delete('/v1/jobs/:id', (context) => withJob(context, limits.defaultWaitMs, parts.requests.cancel,
    (outcome) => 'reason' in outcome && outcome.reason === 'cancelled' ? 200 : reply.outcomeStatus(outcome)))

  router.post('/v1/id-blocks', async (context) => {
    const checked = validate.reservation(context.request.body)
    if (checked.kind === 'error') return reply.refuse(context, checked.error)
    if (refused(context)) return
    const reserved = await parts.requests.reserve(checked.value.count, closing(context))
    if (reserved?.kind === 'reserved') {
      context.body = { kind: 'reserved', ...reserved.reservation }
    } else {
      answer(context, reserved && {
        kind: 'not-run', reason: reserved.reason, final: false, retryAfterMs: reserved.retryAfterMs
      })
    }
  })
}
