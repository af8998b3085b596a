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
import * as limits from './limits.ts'
import * as routes from './routes.ts'

const DEFAULT_WRITES_PER_SECOND = 300
const DEFAULT_READS_PER_SECOND = 2000
/** Largest request body; a set of declarations at the target size is below 1 MB. */
const BODY_LIMIT = '8mb'

export interface StandInOptions {
  timers: clock.Timers
  host?: string
  /** Port 0 stands for any free port. */
  port?: number
  /** Above these rates requests are refused with status 429. */
  writesPerSecond?: number
  readsPerSecond?: number
  seed?: number
  faults?: Partial<platform.Faults>
}

export interface StandIn {
  /** Address of the service, such as `http://127.0.0.1:40123`. */
  url: string
  memory: platform.Memory
  /** Cuts all connections and frees the port. */
  stop (): Promise<void>
}

const listen = (server: http.Server, port: number, host: string): Promise<net.AddressInfo> =>
  new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server.address() as net.AddressInfo))
  })

/** Starts the HTTP server. The promise is rejected if the address cannot be listened on. */
export const start = async (options: StandInOptions): Promise<StandIn> => {
  const { timers, seed, host = '127.0.0.1', port = 0 } = options
  const memory = platform.createMemory({ timers, seed, faults: options.faults })
  const limit = limits.create({
    writesPerSecond: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    readsPerSecond: options.readsPerSecond ?? DEFAULT_READS_PER_SECOND
  })
  const api = new router.Router()
  routes.add(api, memory, limit)
  faults.add(api, memory)

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
