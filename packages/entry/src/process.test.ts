import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import type * as core from '@mustarddeck/entry-core'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as drain from './drain.ts'
import * as driver from './driver.ts'
import * as idempotency from './idempotency.ts'
import * as keySweeper from './key-sweeper.ts'
import * as pollers from './poller.ts'
import * as fakeCore from './testing/fake-core.ts'
import * as memoryTable from './testing/memory-table.ts'
import * as silentLog from './testing/silent-log.ts'

const INCARNATION = 'abcdefgh' as types.Incarnation
const MEMBERSHIP: types.Membership = { members: [], departures: 0, departed: [], fences: [] }

describe('driver', () => {
  const start = (handle: (input: core.Input) => core.Effect[], fence: driver.Dependencies['registry']['fence']) => {
    const timers = clock.createVirtual()
    const fake = fakeCore.create(handle)
    let deadline: number | undefined
    const testDriver = driver.create({
      core: { ...fake, deadline: () => deadline },
      timers,
      log: silentLog.create(),
      links: () => ({ send: () => testDriver.input({ kind: 'link-down', link: 1 as types.LinkId }), close: () => {} }),
      requests: () => ({ handleAnswer: () => {} }),
      registry: { fence, depart: fence as never }
    })
    return { testDriver, timers, inputs: fake.inputs, setDeadline: (at?: number) => { deadline = at } }
  }
  const unavailable = async () => ({ kind: 'error' as const, error: { kind: 'unavailable' as const, message: '' } })

  // Re-entering the decision code would expose partially updated state.
  it('handles inputs one at a time, including those caused by effects', () => {
    let depth = 0
    const { testDriver, inputs } = start((input) => {
      expect(depth++).to.equal(0)
      depth--
      return input.kind === 'timer'
        ? [{ kind: 'send', link: 1 as types.LinkId, message: { kind: 'configuration-request' } }]
        : []
    }, unavailable)
    testDriver.input({ kind: 'timer' })
    expect(inputs.map(({ kind }) => kind)).to.deep.equal(['timer', 'link-down'])
  })

  it('emits a timer input at the deadline, and none after it is stopped', () => {
    const { testDriver, timers, inputs, setDeadline } = start(() => [], unavailable)
    setDeadline(500)
    testDriver.input({ kind: 'drain' })
    timers.advance(499)
    expect(inputs).to.have.length(1)
    setDeadline()
    timers.advance(1)
    expect(inputs.map(({ kind }) => kind)).to.deep.equal(['drain', 'timer'])
    setDeadline(600)
    testDriver.input({ kind: 'drain' })
    testDriver.stop()
    timers.advance(1000)
    expect(inputs).to.have.length(3)
  })

  it('reports the result of storing a fence, without a membership while the store is down', async () => {
    const results: [driver.Dependencies['registry']['fence'], types.Membership | undefined][] = [
      [async () => ({ kind: 'ok', value: MEMBERSHIP }), MEMBERSHIP], [unavailable, undefined]
    ]
    for (const [fence, membership] of results) {
      const stored = await new Promise((resolve) => {
        const { testDriver } = start((input) => {
          if (input.kind === 'fence-stored') resolve(input)
          return input.kind === 'drain' ? [{ kind: 'store-fence', incarnation: INCARNATION }] : []
        }, fence)
        testDriver.input({ kind: 'drain' })
      })
      expect(stored).to.deep.equal({ kind: 'fence-stored', incarnation: INCARNATION, membership })
    }
  })
})

describe('poller', () => {
  it('expedites the next run once for many requests, and stops', async () => {
    const timers = clock.createVirtual()
    let runs = 0
    const poller = pollers.create(timers, 2000, async () => { runs++ })
    poller.start!()
    const nextIteration = () => new Promise((resolve) => setImmediate(resolve))
    await nextIteration()
    for (let request = 0; request < 5; request++) poller.expedite()
    timers.advance(150)
    await nextIteration()
    expect(runs).to.equal(2)
    timers.advance(2000)
    await nextIteration()
    expect(runs).to.equal(3)
    await poller.stop!()
    timers.advance(5000)
    expect(runs).to.equal(3)
  })
})

describe('drain', () => {
  const start = () => {
    const timers = clock.createVirtual()
    const log = silentLog.create()
    const sent: messages.Message[] = []
    let stops = 0
    let permitsLeft = 1
    const refused = errors.error('too-many-draining' as const)
    const drains = drain.create({
      name: 'entry-1',
      peers: {
        findLink: (name) => name === 'worker-1' ? 7 as types.LinkId : undefined,
        findMember: () => ({
          worker: 'worker-1' as types.WorkerName,
          incarnation: 'incarnation' as types.Incarnation,
          failureDomain: 'khangai-a' as types.FailureDomainName
        })
      },
      permits: {
        acquire: async (_, maxAtOnce) => permitsLeft-- > 0 && maxAtOnce === 2 ? errors.ok(undefined) : refused
      },
      links: { send: (_, message) => { sent.push(message) } },
      findPolicy: (policy) => policy === 'counter' ? { timeLimitMs: 10_000, maxAtOnce: 2 } : undefined,
      stop: () => { stops++ },
      timers,
      log
    })
    return { drains, timers, log, sent, refused, stops: () => stops }
  }

  it('forwards a request for a peer with the time limit of the policy, without stopping this process', async () => {
    const { drains, sent, refused, stops } = start()
    expect(await drains.drain('worker-1', 'counter')).to.include({ kind: 'ok' })
    expect(sent).to.deep.equal([{ kind: 'drain', timeLimitMs: 10_000 }])
    expect(await drains.drain('worker-9', 'counter')).to.deep.equal({ kind: 'error', error: 'unknown-target' })
    expect(await drains.drain('worker-1', 'none')).to.deep.equal({ kind: 'error', error: 'unknown-policy' })
    expect(await drains.drain('worker-1', 'counter')).to.deep.equal(refused)
    expect([sent.length, stops()]).to.deep.equal([1, 0])
  })

  it('stops this process once, and reports when the stop exceeds the time limit', async () => {
    const { drains, timers, log, stops } = start()
    await drains.drain('entry-1', 'counter')
    await drains.drain('entry-1', 'counter')
    expect(stops()).to.equal(1)
    timers.advance(10_000)
    expect(log.warnings).to.deep.equal(['drain-overdue'])
  })
})

describe('key sweeper', () => {
  // After an early removal, a resubmission would run the job again.
  it('removes bindings only after their retention', async () => {
    const table = new memoryTable.MemoryTable()
    const now = new Date(10 * keySweeper.KEY_RETENTION_MS)
    const bind = (key: string, ageMs: number): string => {
      const row = idempotency.rowKey('t' as types.TeamName, key)
      const value = { job: 'abcdefgh.r0.1.1', boundAtMs: now.getTime() - ageMs }
      table.rows.set(row, { key: row, version: 1, value } satisfies platform.Row)
      return row
    }
    for (let at = 0; at < 50; at++) bind(`old-${at}`, keySweeper.KEY_RETENTION_MS + 1)
    const recent = Array.from({ length: 50 }, (_, at) => bind(`recent-${at}`, keySweeper.KEY_RETENTION_MS - 1))
    const sweep = keySweeper.create({ table, time: { now: () => now, monotonic: () => 0 }, log: silentLog.create() })
    for (let part = 0; part < 256; part++) await sweep()
    expect([...table.rows.keys()].sort()).to.deep.equal(recent.sort())
  })
})
