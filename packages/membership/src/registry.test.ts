import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import { expect } from 'chai'
import * as membership from './index.ts'

const FAULTY = { readMs: 5, writeMs: 10, lostAnswers: 0.2, lostRequests: 0.1, staleReads: 0.7 }

const member = (worker: string, incarnation: string, failureDomain = 'khangai-a') =>
  ({ worker, incarnation, failureDomain }) as types.Member

const create = ({ faults = {}, seed = 1 }: { faults?: Partial<platform.Faults>, seed?: number } = {}) => {
  const timers = clock.createVirtual()
  const store = platform.createMemory({ timers, faults, seed })
  const registry = (stream: number, attempts = 200) =>
    membership.create({ table: store.table, retry: { timers, random: random.create(seed * 1000 + stream), attempts } })
  const run = async <Value>(promise: Promise<errors.Result<Value, platform.StoreError>>): Promise<Value> => {
    const result = await platform.drive(timers, promise)
    if (result.kind === 'error') throw new Error(JSON.stringify(result.error))
    return result.value
  }
  return { ...store, timers, registry, run }
}
const incarnations = ({ members }: types.Membership) => members.map(({ incarnation }) => incarnation).sort()

describe('membership', () => {
  it('records a replaced and a departed incarnation once each, even if responses are lost', async () => {
    for (let seed = 1; seed <= 50; seed += 1) {
      const { registry, run, faults } = create({ faults: FAULTY, seed })
      const agent = registry(1)
      await run(agent.register(member('w1', 'one')))
      await run(agent.register(member('w2', 'two')))
      await run(agent.register(member('w1', 'three')))
      await run(agent.depart(member('w2', 'two')))
      await run(agent.depart(member('w2', 'two')))
      Object.assign(faults, platform.NO_FAULTS)
      const after = await run(agent.read())
      expect(incarnations(after), `seed ${seed}`).to.deep.equal(['three'])
      expect(after.departed.map(({ index, incarnation }) => [index, incarnation]), `seed ${seed}`)
        .to.deep.equal([[1, 'one'], [2, 'two']])
      expect(after.departures).to.equal(2)
    }
  })

  it('records the old incarnation of a worker that moved to another failure domain as departed', async () => {
    const { registry, run } = create()
    await run(registry(1).register(member('w1', 'one', 'khangai-a')))
    const after = await run(registry(1).register(member('w1', 'two', 'khangai-b')))
    expect(after.members).to.deep.equal([member('w1', 'two', 'khangai-b')])
    expect(after.departures).to.equal(1)
  })

  // Owners treat the records of a departed incarnation as lost, so it must not start tasks as a member again.
  it('refuses to register an incarnation that has departed', async () => {
    const { registry, run, timers } = create()
    await run(registry(1).register(member('w1', 'one')))
    await run(registry(2).depart(member('w1', 'one')))
    const again = await platform.drive(timers, registry(1).register(member('w1', 'one')))
    expect(again).to.deep.equal(errors.error({ kind: 'conflict', keys: ['members/khangai-a'] }))

    const late = registry(3)
    await run(late.register(member('w2', 'late')))
    await run(registry(2).depart(member('w2', 'late')))
    for (let index = 0; index < membership.MAX_DEPARTED; index += 1) {
      await run(registry(2).register(member('w3', `n${index}`)))
    }
    await run(registry(2).depart(member('w3', `n${membership.MAX_DEPARTED - 1}`)))
    expect((await run(registry(2).read())).departed.some(({ incarnation }) => incarnation === 'late')).to.equal(false)
    const afterMany = await platform.drive(timers, late.register(member('w2', 'late')))
    expect(afterMany.kind).to.equal('error')
  })

  it('keeps only the latest departures', async () => {
    const { registry, run } = create()
    const agent = registry(1)
    const count = membership.MAX_DEPARTED + 10
    for (let index = 0; index <= count; index += 1) await run(agent.register(member('w1', `n${index}`)))
    const { departures, departed } = await run(agent.read())
    expect(departures).to.equal(count)
    expect(departed.length).to.equal(membership.MAX_DEPARTED)
    expect([departed[0]!.index, departed.at(-1)!.index]).to.deep.equal([count - membership.MAX_DEPARTED + 1, count])
  })

  it('reports an outage without retries, and an uncertain result after a lost response', async () => {
    const { registry, timers, faults } = create({ faults: { down: true } })
    const down = await platform.drive(timers, registry(1, 5).fence('x' as types.Incarnation))
    expect(down.kind === 'error' && down.error.kind).to.equal('unavailable')
    expect(timers.monotonic()).to.equal(0)
    Object.assign(faults, { down: false, lostAnswers: 1 })
    const lost = await platform.drive(timers, registry(1, 5).fence('x' as types.Incarnation))
    expect(lost.kind === 'error' && lost.error.kind).to.equal('uncertain')
  })

  // An entry treats a member that was listed and is missing later as departed, and fails the tasks that ran there.
  it('never omits a listed member before its departure, even if reads are stale', async () => {
    for (let seed = 1; seed <= 30; seed += 1) {
      const { registry, run } = create({ faults: { readMs: 5, writeMs: 10, staleReads: 0.7 }, seed })
      const [agents, entry] = [registry(1), registry(2)]
      const listed = new Set<string>()
      for (let index = 0; index < 12; index += 1) {
        await run(agents.register(member(`w${index}`, `i${index}`, index % 2 ? 'khangai-a' : 'khangai-b')))
        if (index % 4 === 3) await run(agents.depart(member(`w${index}`, `i${index}`, 'khangai-a')))
        const view = await run(entry.read())
        const departed = new Set(view.departed.map(({ incarnation }) => incarnation as string))
        for (const incarnation of incarnations(view)) listed.add(incarnation)
        for (const incarnation of listed) {
          const present = view.members.some((other) => other.incarnation === incarnation) || departed.has(incarnation)
          if (!present) listed.delete(incarnation)
          expect(present || Number(incarnation.slice(1)) % 4 === 3, `seed ${seed}: ${incarnation}`).to.equal(true)
        }
      }
      expect(listed.size, `seed ${seed}`).to.be.greaterThan(0)
    }
  })

  it('rejects malformed rows', async () => {
    const { registry, timers, table } = create()
    await table.transact({ conditions: [], writes: [{ key: 'membership', value: { departures: 'many' } }] })
    const result = await platform.drive(timers, registry(1).read())
    expect(result.kind === 'error' && result.error.kind).to.equal('unavailable')
  })
})

describe('fences and concurrent registrations', () => {
  interface TimedResult { startedAt: number, endedAt: number, observed: types.Membership }
  const DOMAINS = ['khangai-a', 'khangai-b', 'khangai-c']

  /** Concurrently runs agents that register, replace their incarnations and depart, and entries that add fences. */
  const race = async (seed: number) => {
    const { registry, timers, run } = create({ faults: FAULTY, seed })
    const generator = random.create(seed)
    const registered = new Map<string, TimedResult>()
    const departureStartedAt = new Map<string, number>()
    const fenced = new Map<string, TimedResult>()
    const timed = async (operation: Promise<errors.Result<types.Membership, platform.StoreError>>) => {
      const startedAt = timers.monotonic()
      const result = await operation
      if (result.kind === 'error') throw new Error(JSON.stringify(result.error))
      return { startedAt, endedAt: timers.monotonic(), observed: result.value }
    }
    const randomDelay = (): Promise<void> =>
      new Promise((resolve) => timers.after(generator.float() * 300, resolve))
    const agent = async (index: number): Promise<void> => {
      const agentRegistry = registry(index)
      await randomDelay()
      for (let generation = 0; generation < 2; generation += 1) {
        const registrant = member(`w${index}`, `w${index}-${generation}`, DOMAINS[index % DOMAINS.length])
        if (generation > 0) departureStartedAt.set(`w${index}-${generation - 1}`, timers.monotonic())
        registered.set(registrant.incarnation, await timed(agentRegistry.register(registrant)))
      }
      if (index % 2 > 0) return
      departureStartedAt.set(`w${index}-1`, timers.monotonic())
      await timed(agentRegistry.depart(member(`w${index}`, `w${index}-1`, DOMAINS[index % DOMAINS.length])))
    }
    const entry = async (index: number): Promise<void> => {
      await randomDelay()
      fenced.set(`x${index}`, await timed(registry(100 + index).fence(`x${index}` as types.Incarnation)))
    }
    const all = [...Array(6).keys()].map(agent).concat([...Array(4).keys()].map(entry))
    await run(Promise.all(all).then(() => errors.ok(undefined)))
    return { registered, departureStartedAt, fenced }
  }

  // An agent that is missing from the list and hasn't seen the fence could still start the fenced owner's tasks.
  it('returns the agent in the result of the fence, or the fence in the result of the registration', async () => {
    let nonOverlapping = 0
    for (let seed = 1; seed <= 60; seed += 1) {
      const { registered, departureStartedAt, fenced } = await race(seed)
      for (const [owner, fence] of fenced) {
        expect(fence.observed.fences).to.include(owner)
        for (const [incarnation, registration] of registered) {
          const label = `seed ${seed}: ${owner} and ${incarnation}`
          const listed = fence.observed.members.some((other) => other.incarnation === incarnation)
          const hasDeparted = (departureStartedAt.get(incarnation) ?? Infinity) <= fence.endedAt
          const seesFence = registration.observed.fences.includes(owner as types.Incarnation)
          expect(listed || hasDeparted || seesFence, label).to.equal(true)
          if (registration.endedAt < fence.startedAt) expect(listed || hasDeparted, `${label}: stale list`).to.equal(true)
          if (fence.endedAt < registration.startedAt) expect(seesFence, `${label}: unseen fence`).to.equal(true)
          if (registration.endedAt < fence.startedAt || fence.endedAt < registration.startedAt) nonOverlapping += 1
        }
      }
    }
    expect(nonOverlapping, 'pairs that did not overlap').to.be.greaterThan(100)
  })
})
