import type * as router from '@koa/router'
import type * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import type * as typebox from '@sinclair/typebox'
import * as value from '@sinclair/typebox/value'
import type * as limits from './limits.ts'

const { paths } = platform.protocol

type Context = router.RouterContext

/** Body of the request if it matches the schema; else the answer is 400. */
const body = <Schema extends typebox.TSchema>(
  context: Context, schema: Schema
): typebox.Static<Schema> | undefined => {
  const content: unknown = context.request.body
  if (value.Value.Check(schema, content)) return content
  context.status = 400
  context.body = { error: 'invalid-body' }
}

/** Query parameter `key`; without one the answer is 400. */
const key = (context: Context): string | undefined => {
  const text = context.query.key
  if (typeof text === 'string' && text.length > 0 && text.length <= platform.protocol.MAX_KEY_LENGTH) return text
  context.status = 400
  context.body = { error: 'invalid-key' }
}

/** A lost answer is a connection that is cut without one. */
const answer = <Value>(
  context: Context, result: errors.Result<Value, platform.StoreError>, accept: (value: Value) => void
): void => {
  if (result.kind === 'ok') {
    context.status = 200
    // A client may keep the answer, but asks each time whether it is still the same.
    if (context.method === 'GET') context.set('Cache-Control', 'no-cache')
    accept(result.value)
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

const found = (context: Context, key: string, content: object | undefined): void => {
  context.status = content ? 200 : 404
  context.body = content ?? { missing: key }
}

const addTable = (api: router.Router, { table }: platform.Memory, limit: limits.Limits): void => {
  api.get(paths.row, limit.read, async (context) => {
    const name = key(context)
    if (name) answer(context, await table.read(name), (row) => found(context, name, row))
  })
  api.get(paths.rows, limit.read, async (context) => {
    const { prefix } = context.query
    answer(context, await table.list(typeof prefix === 'string' ? prefix : ''), (rows) => { context.body = { rows } })
  })
  api.post(paths.transactions, limit.write, async (context) => {
    const transaction = body(context, platform.protocol.Transaction)
    if (!transaction) return
    const result = await table.transact(transaction as platform.Transaction)
    answer(context, result, (versions) => { context.body = { versions } })
  })
}

const addObjects = (api: router.Router, { objects }: platform.Memory, limit: limits.Limits): void => {
  api.get(paths.object, limit.read, async (context) => {
    const name = key(context)
    if (!name) return
    answer(context, await objects.get(name), (content) =>
      found(context, name, content === undefined ? undefined : { content }))
  })
  api.put(paths.object, limit.write, async (context) => {
    const name = key(context)
    const object = name && body(context, platform.protocol.ObjectContent)
    if (name && object) {
      answer(context, await objects.put(name, object.content), () => { context.status = 204 })
    }
  })
}

/** Adds the platform's HTTP interface over the store. */
export const add = (api: router.Router, memory: platform.Memory, limit: limits.Limits): void => {
  addTable(api, memory, limit)
  addObjects(api, memory, limit)
}
