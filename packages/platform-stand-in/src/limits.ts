import type * as router from '@koa/router'
import * as limiter from 'rate-limiter-flexible'

export interface Rates {
  writesPerSecond: number
  readsPerSecond: number
}

/** Middleware that refuses requests above the rate of their kind with status 429. */
export interface Limits {
  read: router.RouterMiddleware
  write: router.RouterMiddleware
}

const WINDOW_SECONDS = 1
const KEY = 'all'

const refuseAbove = (points: number): router.RouterMiddleware => {
  const rate = new limiter.RateLimiterMemory({ points, duration: WINDOW_SECONDS })
  return async (context, next) => {
    const allowed = await rate.consume(KEY).then(() => true, () => false)
    if (allowed) return next()
    context.status = 429
    context.set('Retry-After', String(WINDOW_SECONDS))
  }
}

export const create = ({ writesPerSecond, readsPerSecond }: Rates): Limits =>
  ({ read: refuseAbove(readsPerSecond), write: refuseAbove(writesPerSecond) })
