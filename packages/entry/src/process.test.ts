import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
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
  const start = (handle: (input: core.Input) => core.Effect[], fence: driver.Surroundings['registry']['fence']) => {
    const timers = clock.createVirtual()
    const fake = fakeCore.create(handle)
    let deadline: number | undefined
    const run = driver.create({
      core: { ...fake, deadline: () => deadline },
      timers,
      log: silentLog.create(),
      links: () => ({ send: () => run.input({ kind: 'link-down', link: 1 as types.LinkId }), close: () => {} }),
      requests: () => ({ answered: () => {} }),
      registry: { fence, depart: fence as never }
    })
    return { run, timers, inputs: fake.inputs, wake: (at?: number) => { deadline = at } }
  }
  const unavailable = async () => ({ kind: 'error' as const, error: { kind: 'unavailable' as const, message: '' } })

  // Decision code that is entered while it runs would work on half-changed state.
  it('handles inputs one at a time, also those that effects cause', () => {
    let depth = 0
    const { run, inputs } = start((input) => {
      expect(depth++).to.equal(0)
      depth--
      return input.kind === 'timer'
        ? [{ kind: 'send', link: 1 as types.LinkId, message: { kind: 'configuration-request' } }]
        : []
    }, unavailable)
    run.input({ kind: 'timer' })
    expect(inputs.map(({ kind }) => kind)).to.deep.equal(['timer', 'link-down'])
  })

  it('gives a timer input at the deadline, and none after the stop', () => {
    const { run, timers, inputs, wake } = start(() => [], unavailable)
    wake(500)
    run.input({ kind: 'drain' })
    timers.advance(499)
    expect(inputs).to.have.length(1)
    wake()
    timers.advance(1)
    expect(inputs.map(({ kind }) => kind)).to.deep.equal(['drain', 'timer'])
    wake(600)
    run.input({ kind: 'drain' })
    run.stop()
    timers.advance(1000)
    expect(inputs).to.have.length(3)
  })

  it('reports the result of a fence, without a membership while the store is down', async () => {
    const results: [driver.Surroundings['registry']['fence'], types.Membership | undefined][] = [
      [async () => ({ kind: 'ok', value: MEMBERSHIP }), MEMBERSHIP], [unavailable, undefined]
    ]
    for (const [fence, membership] of results) {
      const stored = await new Promise((resolve) => {
        const { run } = start((input) => {
          if (input.kind === 'fence-stored') resolve(input)
          return input.kind === 'drain' ? [{ kind: 'store-fence', incarnation: INCARNATION }] : []
        }, fence)
        run.input({ kind: 'drain' })
      })
      expect(stored).to.deep.equal({ kind: 'fence-stored', incarnation: INCARNATION, membership })
    }
  })
})

describe('poller', () => {
  it('brings the next run forward once for many wishes, and stops', async () => {
    const timers = clock.createVirtual()
    let runs = 0
    const poller = pollers.create(timers, 2000, async () => { runs++ })
    poller.start!()
    const turn = () => new Promise((resolve) => setImmediate(resolve))
    await turn()
    for (let wish = 0; wish < 5; wish++) poller.soon()
    timers.advance(150)
    await turn()
    expect(runs).to.equal(2)
    timers.advance(2000)
    await turn()
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
    const drains = drain.create({
      name: 'entry-1',
      peers: { linkOf: (name) => name === 'worker-1' ? 7 as types.LinkId : undefined },
      links: { send: (_, message) => { sent.push(message) } },
      timeLimitOf: (policy) => policy === 'counter' ? 10_000 : undefined,
      stop: () => { stops++ },
      timers,
      log
    })
    return { drains, timers, log, sent, stops: () => stops }
  }

  it('passes a request for a peer on with the time limit of the policy, and stops nothing here', () => {
    const { drains, sent, stops } = start()
    expect(drains.drain('worker-1', 'counter')).to.include({ kind: 'ok' })
    expect(sent).to.deep.equal([{ kind: 'drain', timeLimitMs: 10_000 }])
    expect(drains.drain('worker-9', 'counter')).to.deep.equal({ kind: 'error', error: 'unknown-target' })
    expect(drains.drain('worker-1', 'none')).to.deep.equal({ kind: 'error', error: 'unknown-policy' })
    expect([sent.length, stops()]).to.deep.equal([1, 0])
  })

  it('stops this process once, and reports when that takes longer than the policy allows', () => {
    const { drains, timers, log, stops } = start()
    drains.drain('entry-1', 'counter')
    drains.drain('entry-1', 'counter')
    expect(stops()).to.equal(1)
    timers.advance(10_000)
    expect(log.warnings).to.deep.equal(['drain-overdue'])
  })
})

describe('key sweeper', () => {
  // A key that is removed too early lets a resubmission run its job again.
  it('removes bindings after their retention only', async () => {
    const table = new memoryTable.MemoryTable()
    const now = new Date(10 * keySweeper.KEY_RETENTION_MS)
    const bind = (key: string, ageMs: number): string => {
      const row = idempotency.rowKey('t' as types.TeamName, key)
      const value = { job: 'abcdefgh.r0.1.1', boundAtMs: now.getTime() - ageMs }
      table.rows.set(row, { key: row, version: 1, value } satisfies platform.Row)
      return row
    }
    for (let at = 0; at < 50; at++) bind(`old-${at}`, keySweeper.KEY_RETENTION_MS + 1)
    const young = Array.from({ length: 50 }, (_, at) => bind(`young-${at}`, keySweeper.KEY_RETENTION_MS - 1))
    const sweep = keySweeper.create({ table, time: { now: () => now, monotonic: () => 0 }, log: silentLog.create() })
    for (let part = 0; part < 256; part++) await sweep()
    expect([...table.rows.keys()].sort()).to.deep.equal(young.sort())
  })
})
