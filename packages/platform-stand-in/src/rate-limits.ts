import type * as router from '@koa/router'
import * as limiter from 'rate-limiter-flexible'

export interface RateLimits {
  writesPerSecond: number
  readsPerSecond: number
}

/** Middleware that rejects reads or writes above their rate with status 429. */
export interface RateLimiters {
  read: router.RouterMiddleware
  write: router.RouterMiddleware
}

const WINDOW_SECONDS = 1
/** All clients share one rate limit. */
const SHARED_KEY = 'all'

const limitRate = (points: number): router.RouterMiddleware => {
  const rateLimiter = new limiter.RateLimiterMemory({ points, duration: WINDOW_SECONDS })
  return async (context, next) => {
    const allowed = await rateLimiter.consume(SHARED_KEY).then(() => true, () => false)
    if (allowed) return next()
    context.status = 429
    context.set('Retry-After', String(WINDOW_SECONDS))
  }
}

export const create = ({ writesPerSecond, readsPerSecond }: RateLimits): RateLimiters =>
  ({ read: limitRate(readsPerSecond), write: limitRate(writesPerSecond) })
