import * as http from 'node:http'
import type * as net from 'node:net'
import Koa from 'koa'
import Router from '@koa/router'
import type * as log from '@mustarddeck/log'
import * as body from './body.ts'
import * as invalid from './invalid.ts'
import * as jobs from './jobs.ts'
import * as operator from './operator.ts'
import * as reply from './reply.ts'

/** Time in ms between checks of header and request time-outs. */
const CHECK_INTERVAL_MS = 500
const IDLE_MARGIN_MS = 30_000

export interface Parts extends jobs.Parts {
  operator: operator.Parts
  log: log.Log
  /** Name of the entry, sent with each response so that a client notices when its connection moves. */
  name: string
  draining: () => boolean
  /** Text in the Prometheus format. */
  metrics: () => Promise<string>
  /** Reports the time in ms of each finished response. */
  responded: (route: string, status: number, durationMs: number) => void
}

export interface Server {
  /** Starts to accept connections; returns host and port. */
  listen (host: string, port: number): Promise<string>
  /** Accepts no new connections and closes idle ones; requests in progress are answered first. */
  stop (): Promise<void>
}

const CLIENT_ERRORS: Record<string, [invalid.InvalidReason, string]> = {
  HPE_HEADER_OVERFLOW: ['headers-too-large', 'the headers are too large'],
  ERR_HTTP_REQUEST_TIMEOUT: ['request-timeout', 'the request did not arrive in time']
}

/** Answers what Node refuses before it becomes a request. */
const refuseRaw = (failure: NodeJS.ErrnoException, socket: net.Socket): void => {
  if (!socket.writable || failure.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const [reason, message] = CLIENT_ERRORS[failure.code ?? ''] ?? ['malformed-request', 'the request is not valid HTTP']
  const status = invalid.status(reason)
  const text = JSON.stringify(invalid.create(reason, message))
  socket.end([
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`, 'Connection: close', 'Content-Type: application/json; charset=utf-8',
    `Content-Length: ${Buffer.byteLength(text)}`, '', text
  ].join('\r\n'))
}

const health = (router: Router, { draining, configured, metrics }: Parts): void => {
  router.get('/live', (context) => { context.body = { kind: 'live' } })
  router.get('/ready', (context) => {
    const kind = draining() ? 'draining' : configured() ? 'ready' : 'unconfigured'
    context.status = kind === 'ready' ? 200 : 503
    context.body = { kind }
  })
  router.get('/metrics', async (context) => {
    context.type = 'text/plain; version=0.0.4; charset=utf-8'
    context.body = await metrics()
  })
}

export const routes = (parts: Parts): Router => {
  const router = new Router()
  jobs.register(router, parts)
  operator.register(router, parts.operator)
  health(router, parts)
  return router
}

/** Errors inside the server are logged and answered without detail. */
const guard = ({ log, name, draining, responded }: Parts): Koa.Middleware => async (context, next) => {
  const start = performance.now()
  context.set('mustarddeck-entry', name)
  if (draining()) context.set('Connection', 'close')
  context.res.once('finish', () => {
    responded(String(context['routerPath'] ?? 'none'), context.status, performance.now() - start)
  })
  try {
    await next()
  } catch (failure) {
    log.error('request-failed', { path: context.path, error: (failure as Error).stack })
    context.status = 500
    context.body = { kind: 'error', message: 'internal error' }
  }
}

const unmatched: Koa.Middleware = async (context, next) => {
  await next()
  if (context.body !== undefined) return
  if (context.status === 404) reply.refuse(context, invalid.create('not-found', 'there is no such resource'))
  if (context.status === 405 || context.status === 501) {
    reply.refuse(context, invalid.create('method-not-allowed', `the resource does not support ${context.method}`))
  }
}

export const create = (parts: Parts): Server => {
  const { limits } = parts
  const router = routes(parts)
  const app = new Koa()
  app.silent = true
  app.use(guard(parts)).use(unmatched).use(body.parser(limits))
    .use(router.routes()).use(router.allowedMethods())
  const server = http.createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.keepAliveMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS
  }, app.callback())
  server.maxConnections = limits.maxConnections
  // Ends connections whose callers no longer read; every other pause is shorter.
  server.setTimeout(limits.maxWaitMs + IDLE_MARGIN_MS)
  server.on('clientError', refuseRaw)

  return {
    listen: (host, port) => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => {
        const { address, port: bound } = server.address() as net.AddressInfo
        resolve(`${address}:${bound}`)
      })
    }),
    stop: () => new Promise((resolve) => {
      if (!server.listening) return resolve()
      server.close(() => resolve())
      server.closeIdleConnections()
    })
  }
}
