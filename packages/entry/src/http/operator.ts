import * as crypto from 'node:crypto'
import type * as koa from 'koa'
import type Router from '@koa/router'
import type * as drains from '../drain.ts'
import type * as status from '../status.ts'
import * as invalid from './invalid.ts'
import * as reply from './reply.ts'
import * as validate from './validate.ts'

const hash = (text: string): Buffer => crypto.createHash('sha256').update(text).digest()

/** Requires the header `Authorization: Bearer <token>`; the comparison is constant-time against timing attacks. */
const requireToken = (token: string | undefined): koa.Middleware => {
  const expected = hash(`Bearer ${token}`)
  return async (context, next) => {
    if (token !== undefined && crypto.timingSafeEqual(hash(context.get('Authorization')), expected)) return next()
    context.set('WWW-Authenticate', 'Bearer')
    reply.refuse(context, invalid.create('unauthorized', 'the operator API needs the bearer token'))
  }
}

export interface Dependencies {
  /** If undefined, the operator API refuses every request. */
  token: string | undefined
  status: () => status.Status
  drain: drains.Drain
}

const toInvalid = (failure: drains.Failure, target: string, policy = ''): invalid.Invalid => {
  switch (failure) {
    case 'unknown-policy': return invalid.create(failure, `there is no drain policy ${invalid.quote(policy)}`)
    case 'unknown-target':
      return invalid.create(failure, `${invalid.quote(target)} is neither this entry nor linked to it`)
    case 'too-many-draining':
      return invalid.create(failure, 'as many workers of this failure domain drain as the policy allows')
    case 'store-unavailable':
      return invalid.create(failure, 'the store that bounds how many workers drain at once does not answer')
  }
}

/** Registers the routes of operators. */
export const register = (router: Router, dependencies: Dependencies): void => {
  const guard = requireToken(dependencies.token)

  router.get('/v1/operator/status', guard, (context) => { context.body = dependencies.status() })

  router.post('/v1/operator/drain', guard, async (context) => {
    const checked = validate.drain(context.request.body)
    if (checked.kind === 'error') return reply.refuse(context, checked.error)
    const { target, policy } = checked.value
    const started = await dependencies.drain(target, policy)
    if (started.kind === 'error') return reply.refuse(context, toInvalid(started.error, target, policy))
    context.status = 202
    context.body = { kind: 'draining', target }
  })
}
