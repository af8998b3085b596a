import * as nodeHttp from 'node:http'
import got from 'got'
import type * as types from '@mustarddeck/types'

/** Time beyond `waitMs` after which a request without an answer times out. */
const ANSWER_MARGIN_MS = 2000
const CONNECT_TIMEOUT_MS = 1000
const MAX_SOCKETS = 1024

/** Answer of an entry. `entry` is its name, which changes when a load balancer routes the connection to another one. */
export type Answer =
  | { kind: 'answer', status: number, entry: string | undefined, body: Body }
  /** No usable answer arrived; the request may or may not have taken effect. */
  | { kind: 'no-answer', message: string }

export type Body = types.Outcome | Reserved | Invalid

export interface Reserved {
  kind: 'reserved'
  prefix: string
  first: number
  count: number
  lifetimeMs: number
}

export interface Invalid {
  kind: 'invalid'
  reason: string
  message: string
}

export interface Http {
  call (method: 'GET' | 'POST' | 'DELETE', url: string, waitMs: number, json?: unknown): Promise<Answer>
  close (): void
}

const KINDS: ReadonlySet<unknown> = new Set<Body['kind']>([
  'complete', 'failed', 'not-run', 'unknown', 'expired', 'conflict', 'pending', 'reserved', 'invalid'
])

const parse = (text: string): Body | undefined => {
  try {
    const value = JSON.parse(text) as { kind?: unknown } | null
    return KINDS.has(value?.kind) ? value as Body : undefined
  } catch {
    return undefined
  }
}

export const create = (): Http => {
  const agent = new nodeHttp.Agent({ keepAlive: true, maxSockets: MAX_SOCKETS })
  return {
    call: async (method, url, waitMs, json) => {
      try {
        const response = await got(url, {
          method,
          json,
          agent: { http: agent },
          retry: { limit: 0 },
          throwHttpErrors: false,
          followRedirect: false,
          timeout: { connect: CONNECT_TIMEOUT_MS, request: waitMs + ANSWER_MARGIN_MS }
        })
        const body = parse(response.body)
        if (!body) return { kind: 'no-answer', message: `HTTP status ${response.statusCode} without an outcome` }
        const entry = response.headers['mustarddeck-entry']
        return { kind: 'answer', status: response.statusCode, entry: entry?.toString(), body }
      } catch (failure) {
        return { kind: 'no-answer', message: (failure as Error).message }
      }
    },
    close: () => agent.destroy()
  }
}
