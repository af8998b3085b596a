import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import * as memberships from '@mustarddeck/membership'
import * as platform from '@mustarddeck/platform'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as drainPermits from './drain-permits.ts'

const SEED = 11
const WORKERS = 6
const createMember = (number: number): types.Member => ({
  worker: `worker-${number}` as types.WorkerName,
  incarnation: `incarnation-${number}` as types.Incarnation,
  failureDomain: 'khangai-a' as types.FailureDomainName
})

const createStore = async (faults: Partial<platform.Faults>) => {
  const timers = clock.createVirtual()
  const random = randoms.create(SEED)
  const memory = platform.createMemory({ timers, seed: SEED })
  const registry = () => memberships.create({ table: memory.table, retry: { timers, random: random.fork() } })
  const drive = <Value>(work: Promise<Value>): Promise<Value> => platform.drive(timers, work)
  for (let number = 0; number < WORKERS; number++) await drive(registry().register(createMember(number)))
  Object.assign(memory.faults, faults)
  const instances = [0, 1].map(() => drainPermits.create({ table: memory.table, registry: registry() }))
  return { memory, registry, drive, instances }
}

describe(`drain permits (seed ${SEED})`, () => {
  // Operators who use different entries could otherwise drain a whole failure domain at once.
  it('limits the drains of a failure domain across entries when requests race and responses are lost', async () => {
    const { drive, instances } = await createStore({ lostAnswers: 0.3, staleReads: 0.3 })
    const results = await drive(Promise.all(Array.from({ length: WORKERS }, (_, number) =>
      instances[number % 2]!.acquire(createMember(number), 2))))
    const granted = results.flatMap((result, number) => result.kind === 'ok' ? [number] : [])
    expect(granted.length).to.be.within(1, 2)
    for (const number of granted) expect(await drive(instances[0]!.acquire(createMember(number), 2))).to.include({ kind: 'ok' })
  })

  it('releases the permit of a member that has departed', async () => {
    const { registry, drive, instances: [permits] } = await createStore({})
    expect(await drive(permits!.acquire(createMember(0), 1))).to.include({ kind: 'ok' })
    expect(await drive(permits!.acquire(createMember(1), 1))).to.deep.equal({ kind: 'error', error: 'too-many-draining' })
    await drive(registry().depart(createMember(0)))
    expect(await drive(permits!.acquire(createMember(1), 1))).to.include({ kind: 'ok' })
  })

  it('refuses permits while the store is down', async () => {
    const { drive, instances: [permits] } = await createStore({ down: true })
    expect(await drive(permits!.acquire(createMember(0), 1))).to.deep.equal({ kind: 'error', error: 'store-unavailable' })
  })
})
