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

/** Interval in ms between checks of header and request timeouts. */
const CHECK_INTERVAL_MS = 500
/** Time in ms added to `maxWaitMs` before an inactive connection is closed. */
const IDLE_TIMEOUT_MARGIN_MS = 30_000

export interface Dependencies extends jobs.Dependencies {
  operator: operator.Dependencies
  log: log.Log
  /** Name of the entry, sent with each response so that a client notices when it reaches another entry. */
  name: string
  draining: () => boolean
  /** Returns the metrics in the Prometheus text format. */
  metrics: () => Promise<string>
  /** Records the duration in ms of each finished response. */
  recordResponse: (route: string, status: number, durationMs: number) => void
}

export interface Server {
  /** Starts to accept connections; resolves to `host:port` with the bound port. */
  listen (host: string, port: number): Promise<string>
  /** Stops accepting connections, closes idle ones and waits for requests in progress to be answered. */
  stop (): Promise<void>
}

const CLIENT_ERRORS: Record<string, [invalid.InvalidReason, string]> = {
  HPE_HEADER_OVERFLOW: ['headers-too-large', 'the headers are too large'],
  ERR_HTTP_REQUEST_TIMEOUT: ['request-timeout', 'the request did not arrive in time']
}

/** Replies to input that Node.js rejects before it creates a request. */
const handleClientError = (failure: NodeJS.ErrnoException, socket: net.Socket): void => {
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

const registerHealthRoutes = (router: Router, { draining, configured, metrics }: Dependencies): void => {
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

export const routes = (dependencies: Dependencies): Router => {
  const router = new Router()
  jobs.register(router, dependencies)
  operator.register(router, dependencies.operator)
  registerHealthRoutes(router, dependencies)
  return router
}

/** Adds common headers, records response times, and logs unexpected errors, which are answered without detail. */
const wrapRequest = (
  { log, name, draining, recordResponse }: Dependencies
): Koa.Middleware => async (context, next) => {
  const start = performance.now()
  context.set('mustarddeck-entry', name)
  if (draining()) context.set('Connection', 'close')
  context.res.once('finish', () => {
    recordResponse(String(context['routerPath'] ?? 'none'), context.status, performance.now() - start)
  })
  try {
    await next()
  } catch (failure) {
    log.error('request-failed', { path: context.path, error: (failure as Error).stack })
    context.status = 500
    context.body = { kind: 'error', message: 'internal error' }
  }
}

const replyToUnmatched: Koa.Middleware = async (context, next) => {
  await next()
  if (context.body !== undefined) return
  if (context.status === 404) reply.refuse(context, invalid.create('not-found', 'there is no such resource'))
  if (context.status === 405 || context.status === 501) {
    reply.refuse(context, invalid.create('method-not-allowed', `the resource does not support ${context.method}`))
  }
}

export const create = (dependencies: Dependencies): Server => {
  const { limits } = dependencies
  const router = routes(dependencies)
  const app = new Koa()
  app.silent = true
  app.use(wrapRequest(dependencies)).use(replyToUnmatched).use(body.parser(limits))
    .use(router.routes()).use(router.allowedMethods())
  const server = http.createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.keepAliveMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS
  }, app.callback())
  server.maxConnections = limits.maxConnections
  // Closes connections whose callers no longer read; every legitimate period of inactivity is shorter.
  server.setTimeout(limits.maxWaitMs + IDLE_TIMEOUT_MARGIN_MS)
  server.on('clientError', handleClientError)

  return {
    listen: (host, port) => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => {
        const { address, port: boundPort } = server.address() as net.AddressInfo
        resolve(`${address}:${boundPort}`)
      })
    }),
    stop: () => new Promise((resolve) => {
      if (!server.listening) return resolve()
      server.close(() => resolve())
      server.closeIdleConnections()
    })
  }
}
