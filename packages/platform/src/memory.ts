import * as errors from '@mustarddeck/errors'
import * as random from '@mustarddeck/random'
import type * as clock from '@mustarddeck/clock'
import * as table from './table.ts'

/** Faults of the in-memory store; any of them may be changed at any time. Shares are from 0 to 1. */
export interface Faults {
  /** Every request is refused as `unavailable`, and nothing is written. */
  down: boolean
  /** Share of requests that are refused in the same way. */
  unavailable: number
  /** Longest time of a read; the shortest is half of it. It takes effect half-way through. */
  readMs: number
  /** The same for a write. */
  writeMs: number
  /** Share of writes that take effect and are answered as `uncertain`. */
  lostAnswers: number
  /** Share of writes that have no effect and are answered as `uncertain`. */
  lostRequests: number
  /** Share of rows and objects that a read shows as they were up to `staleness` transactions ago. */
  staleReads: number
  staleness: number
}

export const NO_FAULTS: Readonly<Faults> = {
  down: false, unavailable: 0, readMs: 0, writeMs: 0, lostAnswers: 0, lostRequests: 0, staleReads: 0, staleness: 10
}

/** Transactions after which an overwritten value can no longer be seen by a stale read. */
export const MAX_STALENESS = 100

export interface Memory {
  table: table.Table
  objects: table.ObjectStore
  /** The faults in force. */
  faults: Faults
}

/** One state of a row; `value` is undefined while the row does not exist. */
interface State {
  /** Number of the transaction that wrote it. */
  transaction: number
  /** Number of writes of the row so far, deletions included, so that a re-created row never repeats a version. */
  writes: number
  value: unknown
}

const copy = <Value>(value: Value): Value => value === undefined ? value : structuredClone(value)

const uncertain = (): errors.Result<never, table.StoreError> =>
  errors.error({ kind: 'uncertain', message: 'no answer from the store' })

/** Rows and objects with their recent past; takes effect at once and has no faults. */
const createState = () => {
  const rows = new Map<string, State[]>()
  const objects = new Map<string, { transaction: number, content: string }>()
  let transactions = 0

  const latest = (key: string): State | undefined => rows.get(key)?.at(-1)
  const version = (key: string): number => {
    const state = latest(key)
    return state === undefined || state.value === undefined ? 0 : state.writes
  }
  const write = ({ key, value }: table.Write): number => {
    const states = rows.get(key) ?? []
    rows.set(key, states)
    states.push({ transaction: transactions, writes: (states.at(-1)?.writes ?? 0) + 1, value: copy(value) })
    while (states.length > 1 && states[1]!.transaction <= transactions - MAX_STALENESS) states.shift()
    return version(key)
  }
  const at = (key: string, lag: number): table.Row | undefined => {
    const state = rows.get(key)?.findLast(({ transaction }) => transaction <= transactions - lag)
    return state?.value === undefined ? undefined : { key, version: state.writes, value: copy(state.value) }
  }
  return {
    transact: ({ conditions, writes }: table.Transaction): errors.Result<number[], table.StoreError> => {
      const keys = conditions.filter((condition) => version(condition.key) !== condition.version).map(({ key }) => key)
      if (keys.length > 0) return errors.error({ kind: 'conflict', keys })
      if (writes.length > 0) transactions += 1
      return errors.ok(writes.map(write))
    },
    read: at,
    list: (prefix: string, lag: () => number): table.Row[] =>
      [...rows.keys()].filter((key) => key.startsWith(prefix)).sort().flatMap((key) => at(key, lag()) ?? []),
    put: (key: string, content: string): void => {
      if (!objects.has(key)) objects.set(key, { transaction: ++transactions, content })
    },
    get: (key: string, lag: number): string | undefined => {
      const object = objects.get(key)
      return object && object.transaction <= transactions - lag ? object.content : undefined
    }
  }
}

/**
 * A table and an object store in memory, with settable faults. Conditions of transactions always see the latest state.
 * `seed` determines which requests the faults hit.
 */
export const createMemory = ({ timers, seed = 1, faults = {} }: {
  timers: clock.Timers, seed?: number, faults?: Partial<Faults>
}): Memory => {
  const state = createState()
  const generator = random.create(seed)
  const current: Faults = { ...NO_FAULTS, ...faults }

  const happens = (share: number): boolean => generator.float() < share
  const lag = (): number => {
    if (!happens(current.staleReads)) return 0
    return generator.integer(Math.min(1, current.staleness), Math.min(current.staleness, MAX_STALENESS))
  }
  const delay = async (longestMs: number): Promise<void> => {
    const delayMs = longestMs / 2 * (0.5 + generator.float() / 2)
    if (delayMs > 0) await new Promise<void>((resolve) => timers.after(delayMs, resolve))
  }
  const attempt = async <Value>(
    longestMs: number, action: () => errors.Result<Value, table.StoreError>
  ): Promise<errors.Result<Value, table.StoreError>> => {
    if (current.down || happens(current.unavailable)) {
      return errors.error({ kind: 'unavailable', message: 'the store is down' })
    }
    await delay(longestMs)
    const result = action()
    await delay(longestMs)
    return result
  }
  const read = <Value>(action: () => Value) => attempt<Value>(current.readMs, () => errors.ok(action()))
  const write = <Value>(action: () => errors.Result<Value, table.StoreError>) =>
    attempt<Value>(current.writeMs, () => {
      if (happens(current.lostRequests)) return uncertain()
      const result = action()
      return happens(current.lostAnswers) ? uncertain() : result
    })

  class MemoryTable extends table.Table {
    read = (key: string) => read(() => state.read(key, lag()))
    list = (prefix: string) => read(() => state.list(prefix, lag))
    transact = (transaction: table.Transaction) => write(() => state.transact(transaction))
  }
  class MemoryObjectStore extends table.ObjectStore {
    put = (key: string, content: string) => write(() => errors.ok(state.put(key, content)))
    get = (key: string) => read(() => state.get(key, lag()))
  }
  return { table: new MemoryTable(), objects: new MemoryObjectStore(), faults: current }
}
