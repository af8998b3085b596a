import * as http from 'node:http'

// Stand-in for the platform's store, as PROTOCOL.md describes it ("The platform's metadata store").

const TX_MS = 8
const READ_MS = 4
const POLL_MS = 5
const PAGE_ROWS = 500

const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Starts the store. `put` writes a row as the operator does and returns its version. */
export const start = async (host) => {
  const rows = new Map()
  let version = 0
  const startedAt = performance.now()
  const nowMs = () => Math.floor(performance.now() - startedAt)
  const idOf = ({ table, part = '', key }) => JSON.stringify([table, part, key])
  const set = ({ table, part = '', key, value }) => {
    rows.set(idOf({ table, part, key }), { table, part, key, value, schema_version: version, deleted: false })
  }
  const drop = ({ table, part = '', key }) => {
    if (!rows.has(idOf({ table, part, key }))) return
    rows.set(idOf({ table, part, key }), { table, part, key, value: '', schema_version: version, deleted: true })
  }
  const inOrder = (list) => list.sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)))
  const transact = ({ expected_rev: expected = [], set_keys: sets = [], remove = [] }) => {
    if (sets.some(({ table }) => table === 'op' || table === 'servers')) return [403, {}]
    const current = expected.map((row) => rows.get(idOf(row)))
    const holds = expected.every((row, index) => {
      const found = current[index]
      return (found && !found.deleted ? found.schema_version : 0) === row.schema_version
    })
    if (!holds) return [412, { rows: current.filter(Boolean), schema_version: version, now_ms: nowMs() }]
    version++
    sets.forEach(set)
    remove.forEach(drop)
    return [200, { schema_version: version, now_ms: nowMs() }]
  }
  const get = (query) => {
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
    const from = Buffer.from(query.get('from') ?? '')
    const to = query.get('to')
    const found = inOrder([...rows.values()].filter((row) => !row.deleted && row.table === query.get('table') &&
      row.part === (query.get('part') ?? '') && Buffer.compare(Buffer.from(row.key), from) >= 0 &&
      (to === null || Buffer.compare(Buffer.from(row.key), Buffer.from(to)) < 0)))
    return [200, {
      rows: found.slice(0, limit), has_more: found.length > limit, schema_version: version, now_ms: nowMs()
    }]
  }
  const feed = async (query) => {
    const after = Number(query.get('after'))
    const endsAt = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    for (;;) {
      const changed = [...rows.values()].filter((row) => row.table === query.get('table') && row.schema_version > after)
      if (changed.length > 0 || performance.now() >= endsAt) {
        changed.sort((left, right) => left.schema_version - right.schema_version)
        return [200, { rows: changed, has_more: false, schema_version: version, now_ms: nowMs() }]
      }
      await wait(POLL_MS)
    }
  }
  const respond = async (method, url, body) => {
    if (method === 'POST' && url.pathname === '/rows-tx') {
      await wait(TX_MS)
      return transact(JSON.parse(body))
    }
    await wait(READ_MS)
    if (url.pathname === '/rows-get') return get(url.searchParams)
    return url.pathname === '/rows-feed' ? feed(url.searchParams) : [404, {}]
  }
  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', async () => {
      const url = new URL(request.url, 'http://store')
      const [status, content] = await respond(request.method, url, Buffer.concat(chunks).toString())
      if (response.destroyed) return
      response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(content))
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve) => server.listen(0, host, resolve))
  return {
    address: `${host}:${server.address().port}`,
    put: (key, value) => {
      version++
      set({ table: 'op', key, value: Buffer.from(JSON.stringify(value)).toString('base64') })
      return version
    },
    stop: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}
