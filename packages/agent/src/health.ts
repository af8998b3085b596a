import type * as kernel from '@mustarddeck/kernel'
import { once } from 'node:events'
import * as http from 'node:http'
import type * as net from 'node:net'

/** HTTP server for `/live`, `/ready` and `/metrics`. It uses no web framework, to keep the agent's memory small. */
export interface HealthServer extends kernel.Service {
  /** Host and port that the server listens on; empty before `start`. */
  address (): string
}

export const create = ({ host, port, isReady, metrics }: {
  host: string
  port: number
  isReady: () => boolean
  metrics: () => Promise<{ contentType: string, text: string }>
}): HealthServer => {
  let address = ''

  const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
    const send = (status: number, text: string, contentType = 'text/plain; charset=utf-8'): void => {
      response.writeHead(status, { 'content-type': contentType })
      response.end(request.method === 'HEAD' ? undefined : text)
    }
    if (request.method !== 'GET' && request.method !== 'HEAD') return send(405, 'method not allowed\n')
    switch (request.url?.split('?')[0]) {
      case '/live': return send(200, 'live\n')
      case '/ready': return isReady() ? send(200, 'ready\n') : send(503, 'not ready\n')
      case '/metrics': {
        const { contentType, text } = await metrics()
        return send(200, text, contentType)
      }
      default: return send(404, 'not found\n')
    }
  }
  const server = http.createServer((request, response) => { handleRequest(request, response) })

  return {
    address: () => address,
    start: async () => {
      server.listen(port, host)
      await once(server, 'listening')
      const bound = server.address() as net.AddressInfo
      address = bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`
    },
    stop: async () => {
      const closed = once(server, 'close')
      server.close()
      server.closeIdleConnections()
      await closed
    }
  }
}
