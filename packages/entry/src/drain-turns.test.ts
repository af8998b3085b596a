import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import * as memberships from '@mustarddeck/membership'
import * as platform from '@mustarddeck/platform'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as drainTurns from './drain-turns.ts'

const SEED = 11
const WORKERS = 6
const member = (number: number): types.Member => ({
  worker: `worker-${number}` as types.WorkerName,
  incarnation: `incarnation-${number}` as types.Incarnation,
  failureDomain: 'khangai-a' as types.FailureDomainName
})

const createStore = async (faults: Partial<platform.Faults>) => {
  const timers = clock.createVirtual()
  const random = randoms.create(SEED)
  const memory = platform.createMemory({ timers, seed: SEED })
  const registry = () => memberships.create({ table: memory.table, retry: { timers, random: random.fork() } })
  const run = <Value>(work: Promise<Value>): Promise<Value> => platform.drive(timers, work)
  for (let number = 0; number < WORKERS; number++) await run(registry().register(member(number)))
  Object.assign(memory.faults, faults)
  const entries = [0, 1].map(() => drainTurns.create({ table: memory.table, registry: registry() }))
  return { memory, registry, run, entries }
}

describe(`turns to drain (seed ${SEED})`, () => {
  // Two operators at two entries could otherwise empty a failure domain.
  it('bound the drains of a failure domain across entries that race and lose answers', async () => {
    const { run, entries } = await createStore({ lostAnswers: 0.3, staleReads: 0.3 })
    const results = await run(Promise.all(Array.from({ length: WORKERS }, (_, number) =>
      entries[number % 2]!.take(member(number), 2))))
    const taken = results.flatMap((result, number) => result.kind === 'ok' ? [number] : [])
    expect(taken.length).to.be.within(1, 2)
    for (const number of taken) expect(await run(entries[0]!.take(member(number), 2))).to.include({ kind: 'ok' })
  })

  it('give the turn on when a member has departed', async () => {
    const { registry, run, entries: [entry] } = await createStore({})
    expect(await run(entry!.take(member(0), 1))).to.include({ kind: 'ok' })
    expect(await run(entry!.take(member(1), 1))).to.deep.equal({ kind: 'error', error: 'too-many-draining' })
    await run(registry().depart(member(0)))
    expect(await run(entry!.take(member(1), 1))).to.include({ kind: 'ok' })
  })

  it('are refused while the store is down', async () => {
    const { run, entries: [entry] } = await createStore({ down: true })
    expect(await run(entry!.take(member(0), 1))).to.deep.equal({ kind: 'error', error: 'store-unavailable' })
  })
})
