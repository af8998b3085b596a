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
  domains: Map<types.FailureDomainName, rows.ListedMember[]>
}

const withoutChange = (snapshot: rows.Snapshot): Change => ({ core: snapshot.core, domains: new Map() })

/** Lists the member and removes other incarnations of its worker from all failure domains, as departed. */
const withMember = (snapshot: rows.Snapshot, { worker, incarnation, failureDomain }: types.Member): Change => {
  const departing: rows.ListedMember[] = []
  const domains: Change['domains'] = new Map()
  for (const domain of new Set([...snapshot.domains.keys(), failureDomain])) {
    const before = rows.members(snapshot, domain)
    const remaining = before.filter((member) => member.worker !== worker)
    departing.push(...before.filter((member) => member.worker === worker && member.incarnation !== incarnation))
    if (domain === failureDomain) remaining.push({ worker, incarnation })
    const isListed = before.some((member) => member.worker === worker && member.incarnation === incarnation)
    if (remaining.length !== before.length || (domain === failureDomain && !isListed)) domains.set(domain, remaining)
  }
  const core = departing.length > 0 ? rows.withDepartures(snapshot.core, departing) : snapshot.core
  const isKnownDomain = core.failureDomains.includes(failureDomain)
  return { core: isKnownDomain ? core : { ...core, failureDomains: [...core.failureDomains, failureDomain] }, domains }
}

const withoutMember = (snapshot: rows.Snapshot, { worker, incarnation, failureDomain }: types.Member): Change => {
  const before = rows.members(snapshot, failureDomain)
  const remaining = before.filter((member) => member.worker !== worker || member.incarnation !== incarnation)
  if (remaining.length === before.length) return withoutChange(snapshot)
  return {
    core: rows.withDepartures(snapshot.core, [{ worker, incarnation }]), domains: new Map([[failureDomain, remaining]])
  }
}

const withFence = (snapshot: rows.Snapshot, incarnation: types.Incarnation): Change => {
  if (snapshot.core.fences.includes(incarnation)) return withoutChange(snapshot)
  return { core: { ...snapshot.core, fences: [...snapshot.core.fences, incarnation] }, domains: new Map() }
}

/**
 * Writes the change on condition that the row `membership`, the rows of `domains` and the changed rows are unmodified
 * since the read. If the change is already in force, the transaction has no writes but still proves that the read was
 * not stale.
 */
const commit = async (
  { table, reader }: Store, snapshot: rows.Snapshot, change: Change, domains: types.FailureDomainName[]
): Promise<Outcome> => {
  const conditions = [
    rows.coreCondition(snapshot),
    ...[...new Set([...domains, ...change.domains.keys()])].map((domain) => rows.domainCondition(snapshot, domain))
  ]
  const writes: platform.Write[] = change.core === snapshot.core
    ? []
    : [{ key: rows.MEMBERSHIP_KEY, value: change.core }]
  const snapshotAfter: rows.Snapshot = { ...snapshot, core: change.core, domains: new Map(snapshot.domains) }
  for (const [domain, members] of change.domains) {
    writes.push({ key: rows.domainKey(domain), value: { members } })
    snapshotAfter.domains.set(domain, { version: 0, members })
  }
  const result = await table.transact({ conditions, writes })
  if (result.kind === 'error') return result
  writes.forEach(({ key, value }, index) => reader.onWrite({ key, value, version: result.value[index]! }))
  return errors.ok(rows.membership(snapshotAfter))
}

/** Creates the registry on a table. `retry` limits the attempts of each operation. */
export const create = (
  { table, retry }: { table: platform.Table, retry: platform.RetryOptions }
): membership.Registry => {
  const store: Store = { table, reader: rows.createReader(table) }
  const { reader } = store
  /** Number of departures at the first attempt to register each incarnation in this process. */
  const departuresAtFirstAttempt = new Map<types.Incarnation, number>()

  const withRetries = (
    operation: (snapshot: rows.Snapshot) => Promise<Outcome>
  ): Promise<Outcome> => platform.retry(retry, async () => {
    const result = await reader.read()
    return result.kind === 'ok' ? operation(result.value) : result
  })
  /** Also returns true if enough others departed since the first attempt to push this one off the list. */
  const mayHaveDeparted = ({ core }: rows.Snapshot, incarnation: types.Incarnation): boolean => {
    const departuresBefore = departuresAtFirstAttempt.get(incarnation) ?? core.departures
    departuresAtFirstAttempt.set(incarnation, departuresBefore)
    return core.departures - departuresBefore > rows.MAX_DEPARTED ||
      core.departed.some((departure) => departure.incarnation === incarnation)
  }
  const register = async (member: types.Member): Promise<Outcome> => {
    let isRefused = false
    const result = await withRetries(async (snapshot) => {
      isRefused = mayHaveDeparted(snapshot, member.incarnation)
      if (isRefused) return errors.ok(rows.membership(snapshot))
      return commit(store, snapshot, withMember(snapshot, member), [member.failureDomain])
    })
    return isRefused ? errors.error({ kind: 'conflict', keys: [rows.domainKey(member.failureDomain)] }) : result
  }
  return {
    read: async () => {
      const result = await reader.read()
      return result.kind === 'ok' ? errors.ok(rows.membership(result.value)) : result
    },
    register,
    depart: (member) => withRetries((snapshot) =>
      commit(store, snapshot, withoutMember(snapshot, member), [member.failureDomain])),
    fence: (incarnation) => withRetries((snapshot) =>
      commit(store, snapshot, withFence(snapshot, incarnation), snapshot.core.failureDomains))
  }
}
