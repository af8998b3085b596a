import type * as router from '@koa/router'
import type * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import type * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'
import type * as rateLimits from './rate-limits.ts'

const { paths } = platform.protocol

type Context = router.RouterContext

/** Returns the body of the request if it matches the schema. Otherwise responds with 400 and returns undefined. */
const parseBody = <Schema extends typebox.TSchema>(
  context: Context, schema: Schema
): typebox.Static<Schema> | undefined => {
  const content: unknown = context.request.body
  if (value.Value.Check(schema, content)) return content
  context.status = 400
  context.body = { error: 'invalid-body' }
}

/** Returns the query parameter `key`. If it is missing or invalid, responds with 400 and returns undefined. */
const parseKey = (context: Context): string | undefined => {
  const text = context.query.key
  if (typeof text === 'string' && text.length > 0 && text.length <= platform.protocol.MAX_KEY_LENGTH) return text
  context.status = 400
  context.body = { error: 'invalid-key' }
}

/** Responds with a result or a store error. An `uncertain` error closes the connection without a response. */
const respond = <Value>(
  context: Context, result: errors.Result<Value, platform.StoreError>, onSuccess: (value: Value) => void
): void => {
  if (result.kind === 'ok') {
    context.status = 200
    // Clients may cache the response, but must revalidate it each time.
    if (context.method === 'GET') context.set('Cache-Control', 'no-cache')
    onSuccess(result.value)
  } else if (result.error.kind === 'conflict') {
    context.status = 409
    context.body = { conflict: result.error.keys }
  } else if (result.error.kind === 'unavailable') {
    context.status = 503
    context.body = { error: result.error.message }
  } else {
    context.respond = false
    context.req.socket.destroy()
  }
}

/** Responds with 200 and the content of a key, or with 404 if there is none. */
const respondWith = (context: Context, key: string, content: object | undefined): void => {
  context.status = content ? 200 : 404
  context.body = content ?? { missing: key }
}

const addTable = (api: router.Router, { table }: platform.MemoryStore, limiters: rateLimits.RateLimiters): void => {
  api.get(paths.row, limiters.read, async (context) => {
    const key = parseKey(context)
    if (key) respond(context, await table.read(key), (row) => respondWith(context, key, row))
  })
  api.get(paths.rows, limiters.read, async (context) => {
    const { prefix } = context.query
    respond(context, await table.list(typeof prefix === 'string' ? prefix : ''), (rows) => { context.body = { rows } })
  })
  api.post(paths.transactions, limiters.write, async (context) => {
    const transaction = parseBody(context, platform.protocol.Transaction)
    if (!transaction) return
    const result = await table.transact(transaction as platform.Transaction)
    respond(context, result, (versions) => { context.body = { versions } })
  })
}

const addObjects = (api: router.Router, { objects }: platform.MemoryStore, limiters: rateLimits.RateLimiters): void => {
  api.get(paths.object, limiters.read, async (context) => {
    const key = parseKey(context)
    if (!key) return
    respond(context, await objects.get(key), (content) =>
      respondWith(context, key, content === undefined ? undefined : { content }))
  })
  api.put(paths.object, limiters.write, async (context) => {
    const key = parseKey(context)
    const object = key && parseBody(context, platform.protocol.ObjectContent)
    if (key && object) {
      respond(context, await objects.put(key, object.content), () => { context.status = 204 })
    }
  })
}

/** Adds the routes of the platform's HTTP interface to the in-memory store. */
export const addRoutes = (
  api: router.Router, memory: platform.MemoryStore, limiters: rateLimits.RateLimiters
): void => {
  addTable(api, memory, limiters)
  addObjects(api, memory, limiters)
}
