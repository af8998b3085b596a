import * as http from 'node:http'
import * as https from 'node:https'
import * as errors from '@mustarddeck/errors'
import type * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'
import { got, type Response } from 'got'
import * as lru from 'lru-cache'
import * as storeErrors from './store-errors.ts'
import * as protocol from './protocol.ts'
import * as table from './table.ts'

const DEFAULT_CONNECT_TIMEOUT_MS = 1000
const DEFAULT_REQUEST_TIMEOUT_MS = 5000
const DEFAULT_MAX_CONNECTIONS = 16
/**
 * Maximum number of responses cached by URL, so that polling transfers a list only after a change. got's own cache is
 * not used because it leaks a listener per request.
 */
const MAX_CACHED_RESPONSES = 16

export interface ClientOptions {
  /** Address of the platform's service, such as `http://10.0.0.1:8080`. */
  url: string
  connectLimitMs?: number
  /** Timeout from the request to the end of its response. */
  requestLimitMs?: number
  maxConnections?: number
}

export interface Client {
  table: table.Table
  objects: table.ObjectStore
  /** Closes all connections; requests in progress fail. */
  close (): void
}

/** Status and body of a response. */
type HttpResponse = Pick<Response<string>, 'statusCode' | 'body'>

interface Call {
  method: 'GET' | 'POST' | 'PUT'
  path: string
  query?: Record<string, string>
  body?: object
}

type StoreResult<Value> = errors.Result<Value, table.StoreError>

/** Returns undefined for invalid JSON. */
const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Parses the body of a response. Returns undefined if it does not match the schema. */
const parseBody = <Schema extends typebox.TSchema>(
  schema: Schema, response: HttpResponse
): typebox.Static<Schema> | undefined => {
  const parsed = parseJson(response.body)
  return value.Value.Check(schema, parsed) ? parsed : undefined
}

/** Creates a client of the platform's HTTP interface. It never retries a request; see `retry`. */
export const createClient = (options: ClientOptions): Client => {
  const pool = { keepAlive: true, maxSockets: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS }
  const agent = { http: new http.Agent(pool), https: new https.Agent(pool) }
  const request = got.extend({
    agent,
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    timeout: {
      connect: options.connectLimitMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      request: options.requestLimitMs ?? DEFAULT_REQUEST_TIMEOUT_MS
    }
  })

  const cache = new lru.LRUCache<string, { etag: string, response: HttpResponse }>({ max: MAX_CACHED_RESPONSES })

  /** Sends a conditional GET request; returns the cached response if the service reports it as unchanged. */
  const fetchCached = async (url: URL): Promise<HttpResponse> => {
    const cached = cache.get(url.href)
    const received = await request(url, { headers: cached && { 'if-none-match': cached.etag } })
    if (received.statusCode === 304 && cached) return cached.response
    const response = { statusCode: received.statusCode, body: received.body }
    const etag = received.headers.etag
    if (etag !== undefined && received.statusCode === 200) cache.set(url.href, { etag, response })
    return response
  }
  /** Sends a request. `toResult` returns undefined for a response that violates the protocol. */
  const call = async <Value>(
    { method, path, query, body }: Call, toResult: (response: HttpResponse) => StoreResult<Value> | undefined
  ): Promise<StoreResult<Value>> => {
    const isWrite = method !== 'GET'
    try {
      const url = new URL(path, options.url)
      url.search = new URLSearchParams(query).toString()
      const response = isWrite ? await request(url, { method, json: body }) : await fetchCached(url)
      return toResult(response) ?? errors.error(storeErrors.fromResponse(isWrite, response.statusCode))
    } catch (error) {
      return errors.error(storeErrors.fromException(isWrite, error))
    }
  }
  /** Gets the value of a key, or undefined if the service responds with 404 and the key as missing. */
  const get = <Schema extends typebox.TSchema, Value>(
    path: string, key: string, schema: Schema, map: (body: typebox.Static<Schema>) => Value
  ) => call<Value | undefined>({ method: 'GET', path, query: { key } }, (response) => {
      if (response.statusCode === 404) return parseBody(protocol.Missing, response) && errors.ok(undefined)
      const content = response.statusCode === 200 ? parseBody(schema, response) : undefined
      return content && errors.ok(map(content))
    })

  class HttpTable extends table.Table {
    read = (key: string) => get(protocol.paths.row, key, protocol.Row, (row): table.Row => row as table.Row)

    list = (prefix: string) =>
      call<table.Row[]>({ method: 'GET', path: protocol.paths.rows, query: { prefix } }, (response) => {
        const content = response.statusCode === 200 ? parseBody(protocol.Rows, response) : undefined
        return content && errors.ok(content.rows as table.Row[])
      })

    transact = (transaction: table.Transaction) =>
      call<number[]>({ method: 'POST', path: protocol.paths.transactions, body: transaction }, (response) => {
        if (response.statusCode === 409) {
          const content = parseBody(protocol.Conflict, response)
          return content && errors.error({ kind: 'conflict', keys: content.conflict })
        }
        const content = response.statusCode === 200 ? parseBody(protocol.Versions, response) : undefined
        return content && errors.ok(content.versions)
      })
  }

  class HttpObjectStore extends table.ObjectStore {
    put = (key: string, content: string) =>
      call<void>({ method: 'PUT', path: protocol.paths.object, query: { key }, body: { content } }, (response) =>
        response.statusCode === 204 ? errors.ok(undefined) : undefined)

    get = (key: string) => get(protocol.paths.object, key, protocol.ObjectContent, ({ content }) => content)
  }

  const close = (): void => {
    agent.http.destroy()
    agent.https.destroy()
  }
  return { table: new HttpTable(), objects: new HttpObjectStore(), close }
}
