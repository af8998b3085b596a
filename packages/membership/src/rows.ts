import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'
import * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'

const Type = typebox.Type

/** Departures that the row lists at most. A whole failure domain of the target size, 430 agents, may depart at once. */
export const MAX_DEPARTED = 1000
export const MEMBERSHIP_KEY = 'membership'
const MEMBERS_PREFIX = 'members/'

const Name = <Id extends string>() => Type.Unsafe<Id>(Type.String({ minLength: 1 }))

const Core = Type.Object({
  departures: Type.Integer({ minimum: 0 }),
  departed: Type.Array(Type.Object({
    index: Type.Integer({ minimum: 1 }), worker: Name<types.WorkerName>(), incarnation: Name<types.Incarnation>()
  })),
  fences: Type.Array(Name<types.Incarnation>()),
  /** All failure domains that have a row, so that the conditions of a fence also cover rows created concurrently. */
  failureDomains: Type.Array(Name<types.FailureDomainName>())
})
const Domain = Type.Object({
  members: Type.Array(Type.Object({ worker: Name<types.WorkerName>(), incarnation: Name<types.Incarnation>() }))
})
const checkCore = compiler.TypeCompiler.Compile(Core)
const checkDomain = compiler.TypeCompiler.Compile(Domain)

/** Value of the row `membership`. */
export type Core = typebox.Static<typeof Core>
export interface ListedMember {
  worker: types.WorkerName
  incarnation: types.Incarnation
}

/** Contents of all rows at one read, possibly stale. Version 0 means that the row doesn't exist. */
export interface Snapshot {
  version: number
  core: Core
  domains: Map<types.FailureDomainName, { version: number, members: ListedMember[] }>
}

const malformed = (key: string) =>
  errors.error<platform.StoreError>({ kind: 'unavailable', message: `row ${key} is malformed` })

export const domainKey = (domain: types.FailureDomainName): string => `${MEMBERS_PREFIX}${domain}`

/** Reads the rows and caches the newest version of each, so that a stale read never replaces a fresher one. */
export interface Reader {
  read (): Promise<errors.Result<Snapshot, platform.StoreError>>
  /** Caches a row that this process has written. */
  onWrite (row: platform.Row): void
}

const EMPTY: Core = { departures: 0, departed: [], fences: [], failureDomains: [] }

/** Creates a reader. Rows are never deleted, so a higher version of a row is always newer. */
export const createReader = (table: platform.Table): Reader => {
  const newestRows = new Map<string, platform.Row>()

  const remember = (row: platform.Row): void => {
    if ((newestRows.get(row.key)?.version ?? 0) < row.version) newestRows.set(row.key, row)
  }
  const parse = (): errors.Result<Snapshot, platform.StoreError> => {
    const { version = 0, value: core = EMPTY } = newestRows.get(MEMBERSHIP_KEY) ?? {}
    if (!checkCore.Check(core)) return malformed(MEMBERSHIP_KEY)
    const domains: Snapshot['domains'] = new Map()
    for (const { key, version, value } of newestRows.values()) {
      if (key === MEMBERSHIP_KEY) continue
      if (!checkDomain.Check(value)) return malformed(key)
      domains.set(key.slice(MEMBERS_PREFIX.length) as types.FailureDomainName, { version, members: value.members })
    }
    return errors.ok({ version, core, domains })
  }
  return {
    read: async () => {
      const [core, list] = await Promise.all([table.read(MEMBERSHIP_KEY), table.list(MEMBERS_PREFIX)])
      if (core.kind === 'error') return core
      if (list.kind === 'error') return list
      for (const row of core.value ? [core.value, ...list.value] : list.value) remember(row)
      return parse()
    },
    onWrite: remember
  }
}

export const domainCondition = (snapshot: Snapshot, domain: types.FailureDomainName): platform.Condition =>
  ({ key: domainKey(domain), version: snapshot.domains.get(domain)?.version ?? 0 })

export const coreCondition = (snapshot: Snapshot): platform.Condition =>
  ({ key: MEMBERSHIP_KEY, version: snapshot.version })

export const members = (snapshot: Snapshot, domain: types.FailureDomainName): ListedMember[] =>
  snapshot.domains.get(domain)?.members ?? []

/** Converts the rows to the shared type. Failure domains that the row `membership` doesn't name are ignored. */
export const membership = ({ core, domains }: Snapshot): types.Membership => ({
  members: core.failureDomains.flatMap((failureDomain) =>
    (domains.get(failureDomain)?.members ?? []).map((member) => ({ ...member, failureDomain }))),
  departures: core.departures,
  departed: core.departed,
  fences: core.fences
})

/** Returns the row `membership` with the departures of these incarnations added. */
export const withDepartures = (core: Core, departing: ListedMember[]): Core => {
  const added = departing.map(({ worker, incarnation }, offset) =>
    ({ index: core.departures + offset + 1, worker, incarnation }))
  return {
    ...core,
    departures: core.departures + departing.length,
    departed: [...core.departed, ...added].slice(-MAX_DEPARTED)
  }
}
