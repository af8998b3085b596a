import * as clock from '@mustarddeck/clock'
import * as declarations from '@mustarddeck/declarations'
import type * as messages from '@mustarddeck/messages'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import { expect } from 'chai'
import fc from 'fast-check'
import * as configuration from './index.ts'
import * as world from './testing/world.ts'

/** Bound of the design for a configuration to be in force everywhere, at today's size. */
const IN_FORCE_MS = 5000
const RUNS = 200
const SEED = 8

const versions = (process: world.Process): number[] => process.adopted.map(({ version }) => version)

describe('following', () => {
  it('brings each version into force everywhere within the bound, also where no store is reachable', async () => {
    const one = world.createWorld({ seed: SEED, faults: { readMs: 100, writeMs: 200, staleReads: 0.1 } })
    const entries = [one.startProcess(), one.startProcess()]
    const agents = Array.from({ length: 10 }, () => one.startProcess({ withStore: false }))
    for (let version = 1; version <= 20; version += 1) {
      await one.run(one.publish({ a: version }))
      const begun = one.timers.monotonic()
      await one.wait(IN_FORCE_MS)
      expect([...entries, ...agents].map(({ follower }) => follower.version()), `after ${begun} ms`)
        .to.deep.equal(Array(12).fill(version))
    }
  })

  it('gives a process that starts in an outage the newest version of its peers', async () => {
    const one = world.createWorld()
    const old = one.startProcess()
    for (const a of [1, 2, 3]) await one.run(one.publish({ a }))
    await one.wait(IN_FORCE_MS)
    one.faults.down = true
    const restarted = one.startProcess()
    expect(restarted.follower.version()).to.equal(0)
    await one.wait(IN_FORCE_MS)
    expect(versions(restarted)).to.deep.equal([3])
    expect(restarted.adopted[0]!.rules.teams).to.deep.equal([{ name: 'a', weight: 3 }])
    expect(old.follower.version()).to.equal(3)
  })

  it('takes a process that missed 100 versions to the newest one at once', async () => {
    const one = world.createWorld()
    const [near, far] = [one.startProcess(), one.startProcess()]
    await one.run(one.publish({ a: 1 }))
    await one.wait(IN_FORCE_MS)
    one.setLink(near, far, false)
    far.storeReachable = false
    for (let version = 2; version <= 101; version += 1) await one.run(one.publish({ a: version }))
    await one.wait(IN_FORCE_MS)
    expect([near.follower.version(), far.follower.version()]).to.deep.equal([101, 1])
    one.setLink(near, far, true)
    await one.wait(IN_FORCE_MS)
    expect(versions(far)).to.deep.equal([1, 101])
  })

  // A version that this program cannot interpret must neither stop the process nor be fetched with every heartbeat.
  it('keeps its version when a set is not usable, and does not ask for it again', async () => {
    const sent: messages.MessageKind[] = []
    const adopted: number[] = []
    const follower = configuration.createFollower({
      timers: clock.createVirtual(),
      random: random.create(SEED),
      log: world.silent,
      send: (_, { kind }) => sent.push(kind),
      adopted: ({ version }) => adopted.push(version)
    })
    const link = 7 as types.LinkId
    const offer = (version: number, content: string, digest = declarations.digest(content)): void => {
      follower.announced(link, version)
      follower.message(link, { kind: 'configuration-set', version, digest, content })
    }
    const good = declarations.serialize(world.setOf({ a: 1 }))
    offer(2, good)
    offer(4, '{"format":2}')
    offer(5, good, 'another digest')
    offer(1, good)
    expect(adopted).to.deep.equal([2])
    expect(sent).to.deep.equal(Array(3).fill('configuration-request'))
    follower.announced(link, 4)
    expect(sent.length, 'requests').to.equal(3)
    offer(6, good)
    expect(adopted).to.deep.equal([2, 6])
  })

  it('asks another peer when the first does not answer', async () => {
    const one = world.createWorld()
    const [silent, holder, asker] =
      [one.startProcess(), one.startProcess(), one.startProcess({ withStore: false })]
    one.setLink(silent, asker, false)
    one.setLink(holder, asker, false)
    await one.run(one.publish({ a: 1 }))
    await one.wait(IN_FORCE_MS)
    one.setLink(silent, asker, true)
    asker.follower.announced(0 as types.LinkId, 9)
    one.setLink(holder, asker, true)
    await one.wait(IN_FORCE_MS)
    expect(versions(asker)).to.deep.equal([1])
  })

  type Step =
    | { kind: 'publish', weight: number }
    | { kind: 'link', a: number, b: number, up: boolean }
    | { kind: 'store', process: number, up: boolean }
    | { kind: 'faults', faults: Partial<platform.Faults> }
    | { kind: 'restart', process: number }
    | { kind: 'wait', ms: number }
  const COUNT = 4
  const index = fc.integer({ min: 0, max: COUNT - 1 })
  const step: fc.Arbitrary<Step> = fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({ kind: fc.constant('publish' as const), weight: fc.integer({ min: 1, max: 99 }) })
    },
    fc.record({ kind: fc.constant('link' as const), a: index, b: index, up: fc.boolean() }),
    fc.record({ kind: fc.constant('store' as const), process: index, up: fc.boolean() }),
    fc.record({
      kind: fc.constant('faults' as const),
      faults: fc.record({
        down: fc.constantFrom(false, false, true),
        staleReads: fc.constantFrom(0, 0.5, 1),
        lostAnswers: fc.constantFrom(0, 0.3)
      })
    }),
    fc.record({ kind: fc.constant('restart' as const), process: index }),
    fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 4000 }) })
  )

  /** Runs the steps; returns every life of every process and the weight published as each version. */
  const play = async (steps: Step[], seed: number) => {
    const one = world.createWorld({ seed, attempts: 4 })
    const lives: world.Process[] = []
    const start = (): world.Process => {
      const life = one.startProcess()
      lives.push(life)
      return life
    }
    const live = Array.from({ length: COUNT }, start)
    for (const step of steps) {
      if (step.kind === 'publish') await one.run(one.publish({ a: step.weight }))
      if (step.kind === 'link' && step.a !== step.b) one.setLink(live[step.a]!, live[step.b]!, step.up)
      if (step.kind === 'store') live[step.process]!.storeReachable = step.up
      if (step.kind === 'faults') Object.assign(one.faults, step.faults)
      if (step.kind === 'wait') await one.wait(step.ms)
      if (step.kind === 'restart') {
        live[step.process]!.stop()
        live[step.process] = start()
      }
    }
    Object.assign(one.faults, platform.NO_FAULTS)
    live.forEach((process) => { process.storeReachable = true })
    await one.wait(IN_FORCE_MS)
    const row = await one.table.read('configuration/current')
    const newest = row.kind === 'ok' ? (row.value?.value as { version: number } | undefined)?.version ?? 0 : -1
    return { lives, live, newest }
  }

  it(`never goes to a lower version, and ends at the newest (${RUNS} runs, seed ${SEED})`, async () => {
    const counts = { adoptions: 0, versions: 0 }
    const steps = fc.array(step, { minLength: 5, maxLength: 25 })
    await fc.assert(fc.asyncProperty(steps, fc.nat(1e6), async (steps, seed) => {
      const { lives, live, newest } = await play(steps, seed)
      const rules = new Map<number, string>()
      for (const life of lives) {
        const seen = versions(life)
        expect(seen, 'versions of one life').to.deep.equal([...new Set(seen)].sort((a, b) => a - b))
        for (const { version, rules: adopted } of life.adopted) {
          const text = JSON.stringify(adopted)
          expect(rules.get(version) ?? text, `rules of version ${version}`).to.equal(text)
          rules.set(version, text)
        }
        counts.adoptions += seen.length
      }
      counts.versions += newest
      expect(live.map(({ follower }) => follower.version())).to.deep.equal(Array(COUNT).fill(newest))
    }), { numRuns: RUNS, seed: SEED })
    expect(counts.versions, 'versions published in all runs').to.be.greaterThan(RUNS)
    expect(counts.adoptions).to.be.greaterThan(counts.versions)
  })
})
