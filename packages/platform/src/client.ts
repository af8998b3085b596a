import * as http from 'node:http'
import * as https from 'node:https'
import * as errors from '@mustarddeck/errors'
import type * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'
import { got, type Response } from 'got'
import * as lru from 'lru-cache'
import * as classification from './classification.ts'
import * as protocol from './protocol.ts'
import * as table from './table.ts'

const DEFAULT_CONNECT_LIMIT_MS = 1000
const DEFAULT_REQUEST_LIMIT_MS = 5000
const DEFAULT_MAX_CONNECTIONS = 16
/**
 * Answers kept by URL, so that a poll transfers a list only after a change. The cache of got is not used, since it adds
 * a listener per request that it never removes.
 */
const MAX_KEPT_ANSWERS = 16

export interface ClientOptions {
  /** Address of the platform's service, such as `http://10.0.0.1:8080`. */
  url: string
  connectLimitMs?: number
  /** Longest time from the request to the end of its answer. */
  requestLimitMs?: number
  maxConnections?: number
}

export interface Client {
  table: table.Table
  objects: table.ObjectStore
  /** Closes all connections; requests in progress fail. */
  close (): void
}

/** Status and body of an answer. */
type Answer = Pick<Response<string>, 'statusCode' | 'body'>

interface Call {
  method: 'GET' | 'POST' | 'PUT'
  path: string
  query?: Record<string, string>
  body?: object
}

type StoreResult<Value> = errors.Result<Value, table.StoreError>

const parse = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Body of the answer if it matches the schema, else undefined. */
const body = <Schema extends typebox.TSchema>(
  schema: Schema, response: Answer
): typebox.Static<Schema> | undefined => {
  const parsed = parse(response.body)
  return value.Value.Check(schema, parsed) ? parsed : undefined
}

/** Client of the platform's HTTP interface. It never repeats a request; whoever calls decides on that. */
export const createClient = (options: ClientOptions): Client => {
  const pool = { keepAlive: true, maxSockets: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS }
  const agent = { http: new http.Agent(pool), https: new https.Agent(pool) }
  const request = got.extend({
    agent,
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    timeout: {
      connect: options.connectLimitMs ?? DEFAULT_CONNECT_LIMIT_MS,
      request: options.requestLimitMs ?? DEFAULT_REQUEST_LIMIT_MS
    }
  })

  const kept = new lru.LRUCache<string, { tag: string, answer: Answer }>({ max: MAX_KEPT_ANSWERS })

  /** Sends a GET request; a kept answer counts if the service says that it is still the same. */
  const fetch = async (url: URL): Promise<Answer> => {
    const known = kept.get(url.href)
    const response = await request(url, { headers: known && { 'if-none-match': known.tag } })
    if (response.statusCode === 304 && known) return known.answer
    const answer = { statusCode: response.statusCode, body: response.body }
    const tag = response.headers.etag
    if (tag !== undefined && response.statusCode === 200) kept.set(url.href, { tag, answer })
    return answer
  }
  /** `accept` returns undefined for an answer that does not follow the protocol. */
  const call = async <Value>(
    { method, path, query, body }: Call, accept: (response: Answer) => StoreResult<Value> | undefined
  ): Promise<StoreResult<Value>> => {
    const write = method !== 'GET'
    try {
      const url = new URL(path, options.url)
      url.search = new URLSearchParams(query).toString()
      const answer = write ? await request(url, { method, json: body }) : await fetch(url)
      return accept(answer) ?? errors.error(classification.ofAnswer(write, answer.statusCode))
    } catch (error) {
      return errors.error(classification.ofException(write, error))
    }
  }
  /** The answer's body mapped to a value, or undefined where 404 names the key as missing. */
  const get = <Schema extends typebox.TSchema, Value>(
    path: string, key: string, schema: Schema, map: (body: typebox.Static<Schema>) => Value
  ) => call<Value | undefined>({ method: 'GET', path, query: { key } }, (response) => {
      if (response.statusCode === 404) return body(protocol.Missing, response) && errors.ok(undefined)
      const answer = response.statusCode === 200 ? body(schema, response) : undefined
      return answer && errors.ok(map(answer))
    })

  class HttpTable extends table.Table {
    read = (key: string) => get(protocol.paths.row, key, protocol.Row, (row): table.Row => row as table.Row)

    list = (prefix: string) =>
      call<table.Row[]>({ method: 'GET', path: protocol.paths.rows, query: { prefix } }, (response) => {
        const answer = response.statusCode === 200 ? body(protocol.Rows, response) : undefined
        return answer && errors.ok(answer.rows as table.Row[])
      })

    transact = (transaction: table.Transaction) =>
      call<number[]>({ method: 'POST', path: protocol.paths.transactions, body: transaction }, (response) => {
        if (response.statusCode === 409) {
          const answer = body(protocol.Conflict, response)
          return answer && errors.error({ kind: 'conflict', keys: answer.conflict })
        }
        const answer = response.statusCode === 200 ? body(protocol.Versions, response) : undefined
        return answer && errors.ok(answer.versions)
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
