import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import { expect } from 'chai'
import * as configuration from './index.ts'
import * as rows from './rows.ts'
import * as simulation from './testing/simulation.ts'

const SEED = 20
const RACES = 1000

const published = (result: configuration.PublishResult): configuration.Published & { kind: 'published' } => {
  if (result.kind === 'error' || result.value.kind !== 'published') throw new Error(JSON.stringify(result))
  return result.value
}

/** Reads all publications in order of version, without faults. */
const history = async ({ table, faults, run }: ReturnType<typeof simulation.create>): Promise<rows.Publication[]> => {
  const before = { ...faults }
  Object.assign(faults, platform.NO_FAULTS)
  const list = await run(table.list('configuration/versions/'))
  Object.assign(faults, before)
  return list.kind === 'ok' ? list.value.map(({ value }) => value as rows.Publication) : []
}
const weights = async ({ objects, faults, run }: ReturnType<typeof simulation.create>, digest: string) => {
  const before = { ...faults }
  Object.assign(faults, platform.NO_FAULTS)
  const content = await run(objects.get(rows.contentKey(digest)))
  Object.assign(faults, before)
  const set = declarations.deserialize(content.kind === 'ok' ? content.value ?? '' : '')
  errors.invariant(set.kind === 'ok', 'the published set is valid')
  return Object.fromEntries(declarations.resolved(set.value, 'team').map(({ name, fields }) => [name, fields.weight]))
}

describe('publishing', () => {
  it('publishes the first set, then differences, and nothing for an unchanged set', async () => {
    const sim = simulation.create()
    const first = published(await sim.run(sim.publish({ a: 1, b: 1 })))
    expect([first.version, first.changes.length, first.merged]).to.deep.equal([1, 3, false])
    expect(published(await sim.run(sim.publish({ a: 2, b: 1 }))).changes.map(({ object }) => object))
      .to.deep.equal(['team/a'])
    expect(await sim.run(sim.publish({ a: 2, b: 1 }))).to.deep.equal(errors.ok({ kind: 'unchanged', version: 2 }))
    expect((await history(sim)).map(({ version, changed, objects }) => [version, changed, objects])).to.deep.equal([
      [1, 3, ['priority-class/counter', 'team/a', 'team/b']], [2, 1, ['team/a']]
    ])
  })

  it('plans without writing', async () => {
    const sim = simulation.create()
    await sim.run(sim.publish({ a: 1, b: 1 }))
    const before = await sim.table.list('')
    const plan = await sim.run(sim.publisher().plan({ declarations: simulation.setOf({ a: 1, b: 3 }) }))
    expect(published(plan).version).to.equal(2)
    expect(await sim.table.list('')).to.deep.equal(before)
  })

  // Each change must take effect exactly once or be refused, whichever requests and responses of the store are lost.
  it(`handles ${RACES} races of two operators with lost responses and stale reads (seed ${SEED})`, async () => {
    const sim = simulation.create({ seed: SEED, faults: simulation.FAULTY })
    published(await sim.run(sim.publish({ a: 1, b: 1 })))
    let expected: Record<string, number> = { a: 1, b: 1 }
    let [version, clashes, merges] = [1, 0, 0]
    for (let race = 2; race < RACES + 2; race += 1) {
      const clashing = sim.generator.float() < 0.3
      const ours: Record<string, number> = { ...expected, a: race * 2 % 900 + 1 }
      const change: Record<string, number> = clashing ? { a: race * 2 % 900 + 2 } : { b: race * 2 % 900 + 1 }
      const theirs: Record<string, number> = { ...expected, ...change }
      const [first, second] = await sim.run(Promise.all([sim.publish(ours, version), sim.publish(theirs, version)]))
      const label = `race ${race}: ${JSON.stringify([first, second])}`
      if (clashing) {
        const refused = [first, second].filter(({ kind }) => kind === 'error')
        expect(refused, label).to.deep.equal(
          [errors.error({ kind: 'clash', objects: ['team/a'], version: version + 1 })])
        expected = first.kind === 'ok' ? ours : theirs
        version += 1
        clashes += 1
      } else {
        const versions = [published(first).version, published(second).version].sort((x, y) => x - y)
        expect(versions, label).to.deep.equal([version + 1, version + 2])
        expect([published(first).merged, published(second).merged].sort(), label).to.deep.equal([false, true])
        expected = { a: ours.a!, b: theirs.b! }
        version += 2
        merges += 1
      }
    }
    const publications = await history(sim)
    expect(publications.map((other) => other.version)).to.deep.equal(publications.map((_, index) => index + 1))
    expect(publications.length).to.equal(version)
    expect(new Set(publications.map(({ change }) => change)).size).to.equal(version)
    expect(await weights(sim, publications.at(-1)!.digest)).to.deep.equal(expected)
    expect(Math.min(clashes, merges), 'races of each kind').to.be.greaterThan(RACES / 5)
  })

  /** Creates a publisher whose row writes take effect but return `uncertain`. `after` is called after each of them. */
  const loseAnswers = (sim: ReturnType<typeof simulation.create>, after: () => void): configuration.Publisher => {
    class Losing extends platform.Table {
      read = (key: string) => sim.table.read(key)
      list = (prefix: string) => sim.table.list(prefix)
      transact = async (transaction: platform.Transaction) => {
        const result = await sim.table.transact(transaction)
        if (transaction.writes.length === 0 || result.kind === 'error') return result
        after()
        return errors.error<platform.StoreError>({ kind: 'uncertain', message: 'lost' })
      }
    }
    const retry = { timers: sim.timers, random: sim.generator, attempts: 3 }
    return configuration.createPublisher({ table: new Losing(), objects: sim.objects, retry })
  }
  const proposal = (a: number) => ({ declarations: simulation.setOf({ a }), change: `change to ${a}`, operator: 'test' })

  it('finds its change by id in the history after another change has superseded it', async () => {
    const sim = simulation.create()
    await sim.run(sim.publish({ a: 1 }))
    const other: Promise<unknown>[] = []
    const publisher = loseAnswers(sim, () => other.push(sim.publish({ a: 3 }, 2)))
    const result = published(await sim.run(publisher.publish(proposal(2))))
    await sim.run(Promise.all(other))
    expect(result.version).to.equal(2)
    expect((await history(sim)).map(({ change }) => change)).to.deep.equal(['change-1', 'change to 2', 'change-2'])
  })

  it('returns uncertain if the store fails between the lost response and the read that would verify the write', async () => {
    const sim = simulation.create()
    const publisher = loseAnswers(sim, () => { sim.faults.down = true })
    const result = await sim.run(publisher.publish(proposal(2)))
    expect(result.kind === 'error' && result.error.kind).to.equal('uncertain')
    sim.faults.down = false
    expect((await history(sim)).length).to.equal(1)
    expect(await sim.run(publisher.publish(proposal(2)))).to.deep.equal(errors.ok({ kind: 'unchanged', version: 1 }))
  })

  it('refuses a change of objects that were changed since its base, and names them', async () => {
    const sim = simulation.create()
    await sim.run(sim.publish({ a: 1, b: 1 }))
    await sim.run(sim.publish({ a: 2, b: 2 }))
    expect(await sim.run(sim.publish({ a: 3, b: 3 }, 1))).to.deep.equal(
      errors.error({ kind: 'clash', objects: ['team/a', 'team/b'], version: 2 }))
    expect(await sim.run(sim.publish({ a: 3, b: 3 }, 9))).to.deep.equal(
      errors.error({ kind: 'unknown-base', version: 9 }))
  })

  // Two changes that are each valid can conflict without modifying the same object.
  it('validates the merged set as a whole', async () => {
    const sim = simulation.create()
    const parse = (rank: string) => {
      const text = `[priority-class.a]\nrank=0\ntargetWaitMs=1\nreserve=0.1\n${rank}`
      const set = declarations.parse([{ file: 't', text }])
      errors.invariant(set.kind === 'ok', 'the set is valid')
      return set.value
    }
    const apply = (text: string, change: string, base: number) =>
      sim.run(sim.publisher().publish({ declarations: parse(text), change, operator: 'test', base }))
    await apply('', 'one', 0)
    await apply('[priority-class.b]\nrank=1\ntargetWaitMs=1\nreserve=0.1', 'two', 1)
    const result = await apply('[priority-class.c]\nrank=1\ntargetWaitMs=1\nreserve=0.1', 'three', 1)
    expect(result.kind === 'error' && result.error.kind).to.equal('invalid')
    expect((await history(sim)).length).to.equal(2)
  })

  it('reports a store outage as unavailable', async () => {
    const sim = simulation.create({ faults: { down: true } })
    const result = await sim.run(sim.publish({ a: 1 }))
    expect(result.kind === 'error' && result.error.kind).to.equal('unavailable')
  })
})
