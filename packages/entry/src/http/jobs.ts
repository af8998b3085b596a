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

export interface Dependencies {
  requests: requests.Requests
  keys: idempotency.Keys
  limits: limits.Limits
  /** False until a configuration is in force; new work is refused until then. */
  configured: () => boolean
  /** Counts a refusal by its reason. */
  countRefusal: (reason: string) => void
}

const RETRY_AFTER_MS = 1000

/** Returns a signal that aborts when the caller disconnects before the response is complete. */
const disconnectSignal = (context: koa.Context): AbortSignal => {
  const controller = new AbortController()
  context.res.once('close', () => { if (!context.res.writableFinished) controller.abort() })
  return controller.signal
}

/** Registers the routes of callers. */
export const register = (router: Router, dependencies: Dependencies): void => {
  const { limits } = dependencies

  const sendOutcome = (context: koa.Context, outcome: types.Outcome | undefined, status?: number): void => {
    if (!outcome) {
      context.respond = false
      return
    }
    if (outcome.kind === 'not-run') dependencies.countRefusal(outcome.reason)
    reply.outcome(context, outcome, status)
  }
  /** Refuses the request if too many are open or no configuration is in force; returns whether it refused. */
  const refuseIfUnavailable = (context: koa.Context): boolean => {
    const isFull = dependencies.requests.openCount() >= limits.maxOpenRequests
    if (!isFull && dependencies.configured()) return false
    const reason = isFull ? 'overload' : 'store-unavailable'
    sendOutcome(context, { kind: 'not-run', reason, final: false, retryAfterMs: RETRY_AFTER_MS })
    return true
  }
  const handleJobRequest = async (
    context: koa.Context, defaultWaitMs: number,
    requestOutcome: (job: types.JobId, waitMs: number, disconnected: AbortSignal) => Promise<types.Outcome | undefined>,
    status?: (outcome: types.Outcome) => number
  ): Promise<void> => {
    const id = context['params'].id as string
    if (!types.parseJobId(id)) {
      return reply.refuse(context, invalid.create('bad-id', `${invalid.quote(id)} is not a job id`))
    }
    const waitMs = query.waitMs(context, defaultWaitMs, limits.maxWaitMs)
    if (waitMs.kind === 'error') return reply.refuse(context, waitMs.error)
    const outcome = await requestOutcome(id as types.JobId, waitMs.value, disconnectSignal(context))
    sendOutcome(context, outcome, outcome && status?.(outcome))
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
    if (refuseIfUnavailable(context)) return
    const disconnected = disconnectSignal(context)
    sendOutcome(context, key.value === undefined
      ? await dependencies.requests.submit(submission.value, waitMs.value, disconnected)
      : await submit.submitWithKey(dependencies, submission.value, key.value, waitMs.value, disconnected))
  })

  router.get('/v1/jobs/:id', (context) => handleJobRequest(context, 0, dependencies.requests.inquire))

  // A cancellation that took effect is a success of this request, although the job itself did not complete.
  router.delete('/v1/jobs/:id', (context) => handleJobRequest(
    context, limits.defaultWaitMs, dependencies.requests.cancel,
    (outcome) => 'reason' in outcome && outcome.reason === 'cancelled' ? 200 : reply.outcomeStatus(outcome)))

  router.post('/v1/id-blocks', async (context) => {
    const checked = validate.reservation(context.request.body)
    if (checked.kind === 'error') return reply.refuse(context, checked.error)
    if (refuseIfUnavailable(context)) return
    const reserved = await dependencies.requests.reserve(checked.value.count, disconnectSignal(context))
    if (reserved?.kind === 'reserved') {
      context.body = { kind: 'reserved', ...reserved.reservation }
    } else {
      sendOutcome(context, reserved && {
        kind: 'not-run', reason: reserved.reason, final: false, retryAfterMs: reserved.retryAfterMs
      })
    }
  })
}
