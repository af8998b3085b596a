import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import { expect } from 'chai'
import * as platform from './index.ts'

const create = (faults: Partial<platform.Faults> = {}) => {
  const timers = clock.createVirtual()
  return { timers, ...platform.createMemory({ timers, faults }) }
}
const put = (key: string, version: number, value: unknown): platform.Transaction =>
  ({ conditions: [{ key, version }], writes: [{ key, value }] })

describe('in-memory store', () => {
  it('applies all writes of a transaction or none', async () => {
    const { table } = create()
    await table.transact(put('a', 0, 1))
    const refused = await table.transact({
      conditions: [{ key: 'a', version: 0 }, { key: 'c', version: 0 }], writes: [{ key: 'b', value: 1 }]
    })
    expect(refused).to.deep.equal(errors.error({ kind: 'conflict', keys: ['a'] }))
    expect(await table.list('')).to.deep.equal(errors.ok([{ key: 'a', version: 1, value: 1 }]))
  })

  // If a version were repeated, a condition read before the deletion would hold for the new row.
  it('never repeats a version of a row that was deleted and written again', async () => {
    const { table } = create()
    for (const [version, value] of [[0, 1], [1, undefined], [0, 2]] as const) {
      expect((await table.transact(put('a', version, value))).kind).to.equal('ok')
    }
    expect(await table.read('a')).to.deep.equal(errors.ok({ key: 'a', version: 3, value: 2 }))
  })

  it('returns earlier states to stale reads, but checks conditions against the latest state', async () => {
    const { table, faults } = create()
    for (let version = 0; version < 50; version += 1) await table.transact(put('a', version, version + 1))
    faults.staleReads = 0.5
    const seen = new Set<number>()
    for (let read = 0; read < 200; read += 1) {
      const row = await table.read('a')
      if (row.kind === 'ok') seen.add(row.value!.version)
    }
    expect(Math.min(...seen)).to.equal(40)
    expect(Math.max(...seen)).to.equal(50)
    expect((await table.transact(put('a', 49, 0))).kind).to.equal('error')
    expect((await table.transact(put('a', 50, 0))).kind).to.equal('ok')
  })

  it('reports lost answers and lost requests with the same error, but writes only the former', async () => {
    const { table, faults } = create({ lostAnswers: 1 })
    const lostAnswer = await table.transact(put('a', 0, 1))
    Object.assign(faults, { lostAnswers: 0, lostRequests: 1 })
    const lostRequest = await table.transact(put('b', 0, 1))
    expect(lostRequest).to.deep.equal(lostAnswer)
    const rows = await table.list('')
    expect(rows.kind === 'ok' && rows.value.map(({ key }) => key)).to.deep.equal(['a'])
  })

  it('delays requests on the clock that is passed in', async () => {
    const { timers, table } = create({ writeMs: 100 })
    await platform.drive(timers, table.transact(put('a', 0, 1)))
    expect(timers.monotonic()).to.be.within(50, 100)
  })
})

describe('retry', () => {
  const run = async (results: Array<'conflict' | 'uncertain' | 'unavailable' | 'ok'>) => {
    const timers = clock.createVirtual()
    const random = { float: () => 0.5 } as never
    let step = 0
    const attempt = async (): Promise<errors.Result<number, platform.StoreError>> => {
      const kind = results[step++]!
      if (kind === 'ok') return errors.ok(step)
      return errors.error(kind === 'conflict' ? { kind, keys: [] } : { kind, message: '' })
    }
    const bounds = { timers, random, attempts: results.length }
    const result = await platform.drive(timers, platform.retry(bounds, attempt))
    return result.kind === 'ok' ? 'ok' : result.error.kind
  }

  // `unavailable` means that nothing was written, which is unknown after a lost response.
  it('returns uncertain after a lost response, and unavailable only if nothing can have been written', async () => {
    expect(await run(['conflict', 'uncertain', 'unavailable', 'ok'])).to.equal('ok')
    expect(await run(['uncertain', 'conflict', 'unavailable'])).to.equal('uncertain')
    expect(await run(['conflict', 'unavailable', 'ok'])).to.equal('unavailable')
    expect(await run(['conflict', 'conflict'])).to.equal('unavailable')
  })

  it('begins no attempt after its time limit', async () => {
    const timers = clock.createVirtual()
    let begun = 0
    const attempt = async (): Promise<errors.Result<never, platform.StoreError>> => {
      begun += 1
      await new Promise<void>((resolve) => timers.after(5000, resolve))
      return errors.error({ kind: 'uncertain', message: '' })
    }
    const random = { float: () => 0.5 } as never
    await platform.drive(timers, platform.retry({ timers, random, attempts: 20, limitMs: 12_000 }, attempt))
    expect(begun).to.equal(3)
  })
})
