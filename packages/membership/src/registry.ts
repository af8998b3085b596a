import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'
import type * as membership from './index.ts'
import * as rows from './rows.ts'

type Outcome = errors.Result<types.Membership, platform.StoreError>

interface Store {
  table: platform.Table
  reader: rows.Reader
}

/** New values of the rows that an operation changes. */
interface Change {
  core: rows.Core
  domains: Map<types.FailureDomainName, rows.Listed[]>
}

const unchanged = (seen: rows.Rows): Change => ({ core: seen.core, domains: new Map() })

/** The rows with the member listed; other incarnations of its worker depart, in whichever failure domain they are. */
const withMember = (seen: rows.Rows, { worker, incarnation, failureDomain }: types.Member): Change => {
  const gone: rows.Listed[] = []
  const domains: Change['domains'] = new Map()
  for (const domain of new Set([...seen.domains.keys(), failureDomain])) {
    const old = rows.members(seen, domain)
    const kept = old.filter((member) => member.worker !== worker)
    gone.push(...old.filter((member) => member.worker === worker && member.incarnation !== incarnation))
    if (domain === failureDomain) kept.push({ worker, incarnation })
    const listed = old.some((member) => member.worker === worker && member.incarnation === incarnation)
    if (kept.length !== old.length || (domain === failureDomain && !listed)) domains.set(domain, kept)
  }
  const core = gone.length > 0 ? rows.withDepartures(seen.core, gone) : seen.core
  const known = core.failureDomains.includes(failureDomain)
  return { core: known ? core : { ...core, failureDomains: [...core.failureDomains, failureDomain] }, domains }
}

const withoutMember = (seen: rows.Rows, { worker, incarnation, failureDomain }: types.Member): Change => {
  const old = rows.members(seen, failureDomain)
  const kept = old.filter((member) => member.worker !== worker || member.incarnation !== incarnation)
  if (kept.length === old.length) return unchanged(seen)
  return {
    core: rows.withDepartures(seen.core, [{ worker, incarnation }]), domains: new Map([[failureDomain, kept]])
  }
}

const withFence = (seen: rows.Rows, incarnation: types.Incarnation): Change => {
  if (seen.core.fences.includes(incarnation)) return unchanged(seen)
  return { core: { ...seen.core, fences: [...seen.core.fences, incarnation] }, domains: new Map() }
}

/**
 * Writes the change on condition that the row `membership`, the rows of `domains` and the changed rows are as they were
 * read. A change that is in force already is a transaction without writes, which still proves that the read was fresh.
 */
const commit = async (
  { table, reader }: Store, seen: rows.Rows, change: Change, domains: types.FailureDomainName[]
): Promise<Outcome> => {
  const conditions = [
    rows.coreCondition(seen),
    ...[...new Set([...domains, ...change.domains.keys()])].map((domain) => rows.condition(seen, domain))
  ]
  const writes: platform.Write[] = change.core === seen.core ? [] : [{ key: rows.MEMBERSHIP_KEY, value: change.core }]
  const after: rows.Rows = { ...seen, core: change.core, domains: new Map(seen.domains) }
  for (const [domain, members] of change.domains) {
    writes.push({ key: rows.domainKey(domain), value: { members } })
    after.domains.set(domain, { version: 0, members })
  }
  const result = await table.transact({ conditions, writes })
  if (result.kind === 'error') return result
  writes.forEach(({ key, value }, index) => reader.wrote({ key, value, version: result.value[index]! }))
  return errors.ok(rows.membership(after))
}

/** Operations on the membership rows of one table; `retry` bounds the attempts of each operation. */
export const create = ({ table, retry }: { table: platform.Table, retry: platform.Retry }): membership.Registry => {
  const store: Store = { table, reader: rows.createReader(table) }
  const { reader } = store
  /** Departures at the first attempt to register each incarnation of this process. */
  const firstAttempts = new Map<types.Incarnation, number>()

  const attempt = (step: (seen: rows.Rows) => Promise<Outcome>): Promise<Outcome> => platform.retry(retry, async () => {
    const seen = await reader.read()
    return seen.kind === 'ok' ? step(seen.value) : seen
  })
  /** True also when so many others departed since the first attempt that the list may have dropped this one. */
  const mayHaveDeparted = ({ core }: rows.Rows, incarnation: types.Incarnation): boolean => {
    const first = firstAttempts.get(incarnation) ?? core.departures
    firstAttempts.set(incarnation, first)
    return core.departures - first > rows.MAX_DEPARTED ||
      core.departed.some((departure) => departure.incarnation === incarnation)
  }
  const register = async (member: types.Member): Promise<Outcome> => {
    let departed = false
    const result = await attempt(async (seen) => {
      departed = mayHaveDeparted(seen, member.incarnation)
      if (departed) return errors.ok(rows.membership(seen))
      return commit(store, seen, withMember(seen, member), [member.failureDomain])
    })
    return departed ? errors.error({ kind: 'conflict', keys: [rows.domainKey(member.failureDomain)] }) : result
  }
  return {
    read: async () => {
      const seen = await reader.read()
      return seen.kind === 'ok' ? errors.ok(rows.membership(seen.value)) : seen
    },
    register,
    depart: (member) => attempt((seen) =>
      commit(store, seen, withoutMember(seen, member), [member.failureDomain])),
    fence: (incarnation) => attempt((seen) =>
      commit(store, seen, withFence(seen, incarnation), seen.core.failureDomains))
  }
}
