import * as http from './http.mjs'

const WAIT_STEP_MS = 5
const PAGE_ROWS = 500
/** Tables that the system may not write to. */
const OPERATOR_TABLES = ['op', 'servers']

/** The platform's metadata store, with tables only: what "The platform's metadata store" in PROTOCOL.md says. */
export const start = async (host, port) => {
  const rows = new Map()
  let version = 0
  const startedAt = performance.now()

  const idOf = ({ table, part, key }) => JSON.stringify([table, part ?? '', key])
  const common = () => ({ schema_version: version, now_ms: Math.floor(performance.now() - startedAt) })
  const write = (row, deleted) => rows.set(idOf(row), { part: '', ...row, schema_version: version, deleted })
  const shown = ({ deleted, ...row }) => deleted ? { ...row, deleted } : row
  const byKey = (left, right) => left.key < right.key ? -1 : 1

  const transact = ({ expected_rev: expected = [], set_keys: set = [], remove = [] }) => {
    if ([...set, ...remove].some(({ table }) => OPERATOR_TABLES.includes(table))) return [403, {}]
    const current = expected.map((row) => rows.get(idOf(row)))
    const versionOf = (row) => row && !row.deleted ? row.schema_version : 0
    if (expected.some((row, index) => versionOf(current[index]) !== row.schema_version)) {
      return [412, { ...common(), rows: current.filter(Boolean).map(shown) }]
    }
    version++
    for (const row of set) write(row, false)
    for (const row of remove) write({ ...row, value: '' }, true)
    return [200, common()]
  }
  const get = (query) => {
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
    const [from, to] = [query.get('from') ?? '', query.get('to')]
    const found = [...rows.values()].filter((row) => row.table === query.get('table') && !row.deleted &&
      row.part === (query.get('part') ?? '') && row.key >= from && (to === null || row.key < to)).sort(byKey)
    return [200, { ...common(), rows: found.slice(0, limit).map(shown), has_more: found.length > limit }]
  }
  const feed = async (query) => {
    const endsAt = performance.now() + Number(query.get('wait_ms') ?? 0)
    for (;;) {
      const changed = [...rows.values()].filter((row) => row.table === query.get('table') &&
        row.schema_version > Number(query.get('after')))
      if (changed.length > 0 || performance.now() >= endsAt) {
        changed.sort((left, right) => left.schema_version - right.schema_version)
        return [200, { ...common(), rows: changed.map(shown) }]
      }
      await new Promise((resolve) => setTimeout(resolve, WAIT_STEP_MS))
    }
  }
  const server = await http.serve(host, port, ({ method, url, body }) => {
    if (method === 'POST' && url.pathname === '/rows-tx') return transact(body)
    if (method === 'GET' && url.pathname === '/rows-get') return get(url.searchParams)
    if (method === 'GET' && url.pathname === '/rows-feed') return feed(url.searchParams)
    return [404, {}]
  })
  return {
    ...server,
    /** Writes a configuration, as the operator does. */
    publish: (configuration) => {
      version++
      const value = Buffer.from(JSON.stringify(configuration)).toString('base64')
      write({ table: 'op', key: 'config', value }, false)
    }
  }
}
