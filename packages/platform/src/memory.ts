import * as errors from '@mustarddeck/errors'
import * as random from '@mustarddeck/random'
import type * as clock from '@mustarddeck/clock'
import * as table from './table.ts'

/** Faults that the in-memory store injects. They may be changed at any time; shares are from 0 to 1. */
export interface Faults {
  /** Refuses every request as `unavailable`, so that nothing is written. */
  down: boolean
  /** Share of requests refused as `unavailable`. */
  unavailable: number
  /** Maximum duration of a read in ms; the minimum is half of it. The read takes effect halfway through. */
  readMs: number
  /** Maximum duration of a write in ms, as for reads. */
  writeMs: number
  /** Share of writes that take effect but fail as `uncertain`. */
  lostAnswers: number
  /** Share of writes that have no effect and fail as `uncertain`. */
  lostRequests: number
  /** Share of rows and objects that a read returns in an earlier state. */
  staleReads: number
  /** Maximum age of a stale state in transactions. */
  staleness: number
}

export const NO_FAULTS: Readonly<Faults> = {
  down: false, unavailable: 0, readMs: 0, writeMs: 0, lostAnswers: 0, lostRequests: 0, staleReads: 0, staleness: 10
}

/** Upper bound of `staleness`: transactions after which an overwritten value is dropped. */
export const MAX_STALENESS = 100

export interface MemoryStore {
  table: table.Table
  objects: table.ObjectStore
  /** The current faults; assign to its fields to change them. */
  faults: Faults
}

/** One state of a row; `value` is undefined while the row does not exist. */
interface State {
  /** Number of the transaction that wrote this state. */
  transaction: number
  /** Writes of the row so far. Includes deletions, so that a re-created row never repeats a version. */
  writes: number
  value: unknown
}

const clone = <Value>(value: Value): Value => value === undefined ? value : structuredClone(value)

const uncertain = (): errors.Result<never, table.StoreError> =>
  errors.error({ kind: 'uncertain', message: 'no response from the store' })

/** Rows with their recent states, and objects; without delays and faults. */
const createStore = () => {
  const rows = new Map<string, State[]>()
  const objects = new Map<string, { transaction: number, content: string }>()
  let transactions = 0

  const latestState = (key: string): State | undefined => rows.get(key)?.at(-1)
  const versionOf = (key: string): number => {
    const state = latestState(key)
    return state === undefined || state.value === undefined ? 0 : state.writes
  }
  const write = ({ key, value }: table.Write): number => {
    const states = rows.get(key) ?? []
    rows.set(key, states)
    states.push({ transaction: transactions, writes: (states.at(-1)?.writes ?? 0) + 1, value: clone(value) })
    while (states.length > 1 && states[1]!.transaction <= transactions - MAX_STALENESS) states.shift()
    return versionOf(key)
  }
  const readLagging = (key: string, lag: number): table.Row | undefined => {
    const state = rows.get(key)?.findLast(({ transaction }) => transaction <= transactions - lag)
    return state?.value === undefined ? undefined : { key, version: state.writes, value: clone(state.value) }
  }
  return {
    transact: ({ conditions, writes }: table.Transaction): errors.Result<number[], table.StoreError> => {
      const keys = conditions.filter((condition) => versionOf(condition.key) !== condition.version)
        .map(({ key }) => key)
      if (keys.length > 0) return errors.error({ kind: 'conflict', keys })
      if (writes.length > 0) transactions += 1
      return errors.ok(writes.map(write))
    },
    read: readLagging,
    list: (prefix: string, lag: () => number): table.Row[] =>
      [...rows.keys()].filter((key) => key.startsWith(prefix)).sort().flatMap((key) => readLagging(key, lag()) ?? []),
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
 * Creates a table and an object store in memory with settable faults. Conditions of transactions always see the latest
 * state. `seed` determines which requests are faulty.
 */
export const createMemory = ({ timers, seed = 1, faults = {} }: {
  timers: clock.Timers, seed?: number, faults?: Partial<Faults>
}): MemoryStore => {
  const store = createStore()
  const generator = random.create(seed)
  const current: Faults = { ...NO_FAULTS, ...faults }

  const drawFault = (share: number): boolean => generator.float() < share
  const drawLag = (): number => {
    if (!drawFault(current.staleReads)) return 0
    return generator.integer(Math.min(1, current.staleness), Math.min(current.staleness, MAX_STALENESS))
  }
  const delay = async (maxMs: number): Promise<void> => {
    const delayMs = maxMs / 2 * (0.5 + generator.float() / 2)
    if (delayMs > 0) await new Promise<void>((resolve) => timers.after(delayMs, resolve))
  }
  const attempt = async <Value>(
    maxMs: number, action: () => errors.Result<Value, table.StoreError>
  ): Promise<errors.Result<Value, table.StoreError>> => {
    if (current.down || drawFault(current.unavailable)) {
      return errors.error({ kind: 'unavailable', message: 'the store is down' })
    }
    await delay(maxMs)
    const result = action()
    await delay(maxMs)
    return result
  }
  const read = <Value>(action: () => Value) => attempt<Value>(current.readMs, () => errors.ok(action()))
  const write = <Value>(action: () => errors.Result<Value, table.StoreError>) =>
    attempt<Value>(current.writeMs, () => {
      if (drawFault(current.lostRequests)) return uncertain()
      const result = action()
      return drawFault(current.lostAnswers) ? uncertain() : result
    })

  class MemoryTable extends table.Table {
    read = (key: string) => read(() => store.read(key, drawLag()))
    list = (prefix: string) => read(() => store.list(prefix, drawLag))
    transact = (transaction: table.Transaction) => write(() => store.transact(transaction))
  }
  class MemoryObjectStore extends table.ObjectStore {
    put = (key: string, content: string) => write(() => errors.ok(store.put(key, content)))
    get = (key: string) => read(() => store.get(key, drawLag()))
  }
  return { table: new MemoryTable(), objects: new MemoryObjectStore(), faults: current }
}
