import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'
import * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'

const Type = typebox.Type

/** Departures listed in the row; a whole failure domain of the target size, 430 agents, may leave at once. */
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
  /** Every failure domain that has a row, so that the conditions of a fence cover a row created meanwhile. */
  failureDomains: Type.Array(Name<types.FailureDomainName>())
})
const Domain = Type.Object({
  members: Type.Array(Type.Object({ worker: Name<types.WorkerName>(), incarnation: Name<types.Incarnation>() }))
})
const checkCore = compiler.TypeCompiler.Compile(Core)
const checkDomain = compiler.TypeCompiler.Compile(Domain)

/** Value of the row `membership`. */
export type Core = typebox.Static<typeof Core>
export interface Listed {
  worker: types.WorkerName
  incarnation: types.Incarnation
}

/** All rows as one read saw them, perhaps stale. Version 0 stands for a row that does not exist. */
export interface Rows {
  version: number
  core: Core
  domains: Map<types.FailureDomainName, { version: number, members: Listed[] }>
}

const malformed = (key: string) =>
  errors.error<platform.StoreError>({ kind: 'unavailable', message: `row ${key} is malformed` })

export const domainKey = (domain: types.FailureDomainName): string => `${MEMBERS_PREFIX}${domain}`

/** Reads the rows, and remembers the newest state seen of each, so that a stale read never hides a fresher one. */
export interface Reader {
  read (): Promise<errors.Result<Rows, platform.StoreError>>
  /** Notes a row that this process wrote. */
  wrote (row: platform.Row): void
}

const EMPTY: Core = { departures: 0, departed: [], fences: [], failureDomains: [] }

/** Rows are never deleted, so of two states of a row the one with the higher version is the newer. */
export const createReader = (table: platform.Table): Reader => {
  const newest = new Map<string, platform.Row>()

  const note = (row: platform.Row): void => {
    if ((newest.get(row.key)?.version ?? 0) < row.version) newest.set(row.key, row)
  }
  const parse = (): errors.Result<Rows, platform.StoreError> => {
    const { version = 0, value: core = EMPTY } = newest.get(MEMBERSHIP_KEY) ?? {}
    if (!checkCore.Check(core)) return malformed(MEMBERSHIP_KEY)
    const domains: Rows['domains'] = new Map()
    for (const { key, version, value } of newest.values()) {
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
      for (const row of core.value ? [core.value, ...list.value] : list.value) note(row)
      return parse()
    },
    wrote: note
  }
}

export const condition = (rows: Rows, domain: types.FailureDomainName): platform.Condition =>
  ({ key: domainKey(domain), version: rows.domains.get(domain)?.version ?? 0 })

export const coreCondition = (rows: Rows): platform.Condition => ({ key: MEMBERSHIP_KEY, version: rows.version })

export const members = (rows: Rows, domain: types.FailureDomainName): Listed[] =>
  rows.domains.get(domain)?.members ?? []

/** The rows as the shared type; only failure domains named in the row `membership` count. */
export const membership = ({ core, domains }: Rows): types.Membership => ({
  members: core.failureDomains.flatMap((failureDomain) =>
    (domains.get(failureDomain)?.members ?? []).map((member) => ({ ...member, failureDomain }))),
  departures: core.departures,
  departed: core.departed,
  fences: core.fences
})

/** The row `membership` after these incarnations departed. */
export const withDepartures = (core: Core, gone: Listed[]): Core => {
  const added = gone.map(({ worker, incarnation }, offset) =>
    ({ index: core.departures + offset + 1, worker, incarnation }))
  return {
    ...core,
    departures: core.departures + gone.length,
    departed: [...core.departed, ...added].slice(-MAX_DEPARTED)
  }
}
