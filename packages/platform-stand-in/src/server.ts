import * as http from 'node:http'
import type * as net from 'node:net'
import * as bodyparser from '@koa/bodyparser'
import etag from '@koa/etag'
import * as router from '@koa/router'
import type * as clock from '@mustarddeck/clock'
import * as platform from '@mustarddeck/platform'
import Koa from 'koa'
import conditionalGet from 'koa-conditional-get'
import * as faults from './faults.ts'
import * as rateLimits from './rate-limits.ts'
import * as routes from './routes.ts'

const DEFAULT_WRITES_PER_SECOND = 300
const DEFAULT_READS_PER_SECOND = 2000
/** Maximum size of a request body. The declarations of a deployment of the target size take less than 1 MB. */
const BODY_LIMIT = '8mb'

export interface StandInOptions {
  timers: clock.Timers
  host?: string
  /** 0, the default, chooses a free port. */
  port?: number
  /** Requests above this rate are rejected with status 429; the same applies to reads. */
  writesPerSecond?: number
  readsPerSecond?: number
  seed?: number
  faults?: Partial<platform.Faults>
}

export interface StandIn {
  /** Address of the service, such as `http://127.0.0.1:40123`. */
  url: string
  memory: platform.MemoryStore
  /** Closes all connections and the port. */
  stop (): Promise<void>
}

const listen = (server: http.Server, port: number, host: string): Promise<net.AddressInfo> =>
  new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server.address() as net.AddressInfo))
  })

/** Starts the HTTP server. Rejects if it cannot listen on the address. */
export const start = async (options: StandInOptions): Promise<StandIn> => {
  const { timers, seed, host = '127.0.0.1', port = 0 } = options
  const memory = platform.createMemory({ timers, seed, faults: options.faults })
  const limiters = rateLimits.create({
    writesPerSecond: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    readsPerSecond: options.readsPerSecond ?? DEFAULT_READS_PER_SECOND
  })
  const api = new router.Router()
  routes.addRoutes(api, memory, limiters)
  faults.addFaultRoutes(api, memory)

  const app = new Koa()
  app.use(conditionalGet())
  app.use(etag())
  app.use(bodyparser.bodyParser({ enableTypes: ['json'], jsonLimit: BODY_LIMIT }))
  app.use(api.routes())
  app.use(api.allowedMethods())
  const server = http.createServer(app.callback())
  const address = await listen(server, port, host)
  return {
    url: `http://${host}:${address.port}`,
    memory,
    stop: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
