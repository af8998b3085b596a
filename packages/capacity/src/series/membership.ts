import * as clocks from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as memberships from '@mustarddeck/membership'
import * as platforms from '@mustarddeck/platform'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import type * as series from '../series.ts'
import { target } from '../targets.ts'

const WINDOW_MS = 1000
const READ_MS = 5
const WRITE_MS = 10

/** What one table was asked for. */
interface Usage {
  reads: number
  /** Transactions with writes or conditions, those that failed included. */
  writes: number
  refused: number
  readBytes: number
  writtenBytes: number
}

const bytesOf = (value: unknown): number => JSON.stringify(value)?.length ?? 0

/** A table that refuses requests above the platform's rates, and counts. */
const limited = (timers: clocks.Timers, inner: platforms.Table) => {
  const usage: Usage = { reads: 0, writes: 0, refused: 0, readBytes: 0, writtenBytes: 0 }
  let window = { from: -Infinity, reads: 0, writes: 0 }
  const admit = (kind: 'reads' | 'writes', limit: number): boolean => {
    if (timers.monotonic() - window.from >= WINDOW_MS) window = { from: timers.monotonic(), reads: 0, writes: 0 }
    usage[kind]++
    if (++window[kind] <= limit) return true
    usage.refused++
    return false
  }
  const refusal = errors.error<platforms.StoreError>({ kind: 'unavailable', message: 'above the rate limit' })
  const counted = <Value>(value: Value): Value => {
    usage.readBytes += bytesOf(value)
    return value
  }
  class Limited extends platforms.Table {
    read = async (key: string) =>
      admit('reads', target.storeReadsPerSecond) ? counted(await inner.read(key)) : refusal

    list = async (prefix: string) =>
      admit('reads', target.storeReadsPerSecond) ? counted(await inner.list(prefix)) : refusal

    transact = async (transaction: platforms.Transaction) => {
      if (!admit('writes', target.storeWritesPerSecond)) return refusal
      usage.writtenBytes += bytesOf(transaction.writes)
      return inner.transact(transaction)
    }
  }
  return { table: new Limited(), usage }
}

const memberOf = (number: number): types.Member => ({
  worker: `worker-${number}` as types.WorkerName,
  incarnation: `${number}`.padStart(16, 'a') as types.Incarnation,
  failureDomain: `domain-${number % target.failureDomains}` as types.FailureDomainName
})

/** A table with so many members, written as registrations leave it. */
const populated = async (members: number) => {
  const timers = clocks.createVirtual()
  const store = platforms.createMemory({ timers, faults: { readMs: READ_MS, writeMs: WRITE_MS } })
  const all = Array.from({ length: members }, (_, number) => memberOf(number))
  const domains = [...new Set(all.map(({ failureDomain }) => failureDomain))]
  const writes: platforms.Write[] = domains.map((domain) => ({
    key: `members/${domain}`,
    value: {
      members: all.filter(({ failureDomain }) => failureDomain === domain)
        .map(({ worker, incarnation }) => ({ worker, incarnation }))
    }
  }))
  writes.push({ key: 'membership', value: { departures: 0, departed: [], fences: [], failureDomains: domains } })
  const written = platforms.drive(timers, store.table.transact({ conditions: [], writes }))
  errors.invariant((await written).kind === 'ok', 'the rows are written')
  return { timers, store }
}

/** Size and time of a fence, and of the read of the membership that every entry repeats. */
export const fences = async (sizes: number[]): Promise<series.Series[]> => {
  const points = await Promise.all(sizes.map(async (members) => {
    const { timers, store } = await populated(members)
    const { table, usage } = limited(timers, store.table)
    const registry = memberships.create({ table, retry: { timers, random: randoms.create(1) } })
    await platforms.drive(timers, registry.read())
    const rowBytes = usage.readBytes
    const began = timers.monotonic()
    const fenced = await platforms.drive(timers, registry.fence('fencedincarnation' as types.Incarnation))
    errors.invariant(fenced.kind === 'ok' && fenced.value.members.length === members, 'the fence is stored')
    return { members, rowBytes, writtenBytes: usage.writtenBytes, virtualMs: timers.monotonic() - began }
  }))
  const common = { mechanism: 'membership', x: 'members' }
  return [
    {
      ...common,
      id: 'membership-rows',
      title: 'read of the membership: all rows',
      y: 'bytes',
      points: points.map(({ members, rowBytes }) => ({ x: members, y: rowBytes }))
    },
    {
      ...common,
      id: 'fence-bytes',
      title: 'bytes written by a fence',
      y: 'bytes',
      points: points.map(({ members, writtenBytes }) => ({ x: members, y: writtenBytes }))
    },
    {
      ...common,
      id: 'fence-time',
      title: `time of a fence, store with ${READ_MS} ms reads and ${WRITE_MS} ms writes, virtual clock`,
      y: 'ms',
      points: points.map(({ members, virtualMs }) => ({ x: members, y: virtualMs }))
    }
  ]
}

const FIRST_DELAY_MS = 100
const MAX_DELAY_MS = 2000

/** All agents of one failure domain register at once and try again as the agent does. */
const burst = async (agents: number) => {
  const { timers, store } = await populated(0)
  const { table, usage } = limited(timers, store.table)
  const random = randoms.create(1)
  const pause = (attempt: number): Promise<void> => new Promise((resolve) => {
    const longest = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.min(attempt, 10))
    timers.after(longest * (1 + random.float()) / 2, resolve)
  })
  const register = async (number: number): Promise<void> => {
    const registry = memberships.create({ table, retry: { timers, random: random.fork() } })
    const member = { ...memberOf(number), failureDomain: 'domain-0' as types.FailureDomainName }
    for (let attempt = 0; (await registry.register(member)).kind === 'error'; attempt++) await pause(attempt)
  }
  const all = Promise.all(Array.from({ length: agents }, (_, number) => register(number)))
  await platforms.drive(timers, all)
  return { agents, seconds: timers.monotonic() / 1000, usage }
}

export const registrations = async (sizes: number[]): Promise<series.Series[]> => {
  const bursts: Awaited<ReturnType<typeof burst>>[] = []
  for (const agents of sizes) bursts.push(await burst(agents))
  const common = { mechanism: 'membership, agent (registration)', x: 'agents' }
  return [
    {
      ...common,
      id: 'registration-time',
      title: 'time until all agents of one failure domain have registered, all at once, virtual clock',
      y: 's',
      points: bursts.map(({ agents, seconds }) => ({ x: agents, y: seconds }))
    },
    {
      ...common,
      id: 'registration-writes',
      title: 'transactions asked of the store for each agent that registers in the burst',
      y: 'transactions',
      points: bursts.map(({ agents, usage }) => ({ x: agents, y: usage.writes / agents }))
    },
    {
      ...common,
      id: 'registration-refused',
      title: 'share of the requests in the burst that the store refuses for their rate',
      y: '%',
      points: bursts.map(({ agents, usage }) => ({ x: agents, y: 100 * usage.refused / (usage.reads + usage.writes) }))
    }
  ]
}
