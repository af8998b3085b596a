// Stand-in for the platform's store, as PROTOCOL.md describes it: rows in tables, transactions, reads and a feed.
import * as http from 'node:http'

/** Time in ms of an answer. */
const ANSWER_MS = 4
const MAX_ROWS = 500

const compareKeys = (left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key))

export const createStore = async (host, port) => {
  const rows = new Map()
  const waiters = new Set()
  let version = 0

  const nameOf = ({ table, part = '', key }) => JSON.stringify([table, part, key])
  const apply = ({ set_keys: sets = [], remove = [] }) => {
    version++
    for (const { table, part = '', key, value } of sets) {
      rows.set(nameOf({ table, part, key }), { table, part, key, value, schema_version: version, deleted: false })
    }
    for (const { table, part = '', key } of remove) {
      const name = nameOf({ table, part, key })
      if (rows.has(name)) rows.set(name, { table, part, key, value: '', schema_version: version, deleted: true })
    }
    for (const wake of [...waiters]) wake()
  }
  const page = (selected, hasMore) => [200, {
    schema_version: version,
    now_ms: Math.floor(performance.now()),
    rows: selected.map(({ deleted, ...row }) => deleted ? { ...row, deleted } : row),
    has_more: hasMore
  }]
  const transact = (body) => {
    const expected = body.expected_rev ?? []
    const current = (row) => {
      const found = rows.get(nameOf(row))
      return found && !found.deleted ? found.schema_version : 0
    }
    if (expected.some((row) => current(row) !== row.schema_version)) {
      return [412, { rows: expected.flatMap((row) => rows.get(nameOf(row)) ?? []), schema_version: version }]
    }
    apply(body)
    return [200, { schema_version: version, now_ms: Math.floor(performance.now()) }]
  }
  const get = (query) => {
    const from = query.get('from')
    const to = query.get('to')
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') || MAX_ROWS))
    const matching = [...rows.values()].filter((row) => !row.deleted && row.table === query.get('table') &&
      row.part === (query.get('part') ?? '') && (!from || compareKeys(row, { key: from }) >= 0) &&
      (!to || compareKeys(row, { key: to }) < 0)).sort(compareKeys)
    return page(matching.slice(0, limit), matching.length > limit)
  }
  const feed = async (query) => {
    const after = Number(query.get('after'))
    const changed = () => [...rows.values()]
      .filter((row) => row.table === query.get('table') && row.schema_version > after)
      .sort((left, right) => left.schema_version - right.schema_version)
    const until = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    while (changed().length === 0 && performance.now() < until) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, until - performance.now())
        waiters.add(wake)
      })
    }
    return page(changed(), false)
  }
  const server = http.createServer((request, response) => {
    let text = ''
    request.on('data', (chunk) => { text += chunk })
    request.on('end', async () => {
      const { pathname, searchParams } = new URL(request.url, 'http://store')
      let reply = [404, {}]
      if (pathname === '/rows-get') reply = get(searchParams)
      else if (pathname === '/rows-feed') reply = await feed(searchParams)
      else if (pathname === '/rows-tx') reply = transact(JSON.parse(text))
      setTimeout(() => {
        response.writeHead(reply[0], { 'Content-Type': 'application/json' }).end(JSON.stringify(reply[1]))
      }, ANSWER_MS)
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    address: `${host}:${port}`,
    /** Writes a row, as the operator does. */
    put: (table, key, value) => apply({ set_keys: [{ table, key, value: Buffer.from(value).toString('base64') }] }),
    stop: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
