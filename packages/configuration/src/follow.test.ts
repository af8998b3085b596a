import * as clock from '@mustarddeck/clock'
import * as declarations from '@mustarddeck/declarations'
import type * as messages from '@mustarddeck/messages'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import { expect } from 'chai'
import fc from 'fast-check'
import * as configuration from './index.ts'
import * as simulation from './testing/simulation.ts'

/** Time limit in ms of the design until a configuration is in force everywhere, at the current fleet size. */
const IN_FORCE_MS = 5000
const RUNS = 200
const SEED = 8

const versions = (process: simulation.Process): number[] => process.adopted.map(({ version }) => version)

describe('following', () => {
  it('brings each version into force in all processes within the time limit, also in those without a store', async () => {
    const sim = simulation.create({ seed: SEED, faults: { readMs: 100, writeMs: 200, staleReads: 0.1 } })
    const entries = [sim.startProcess(), sim.startProcess()]
    const agents = Array.from({ length: 10 }, () => sim.startProcess({ withStore: false }))
    for (let version = 1; version <= 20; version += 1) {
      await sim.run(sim.publish({ a: version }))
      const begun = sim.timers.monotonic()
      await sim.wait(IN_FORCE_MS)
      expect([...entries, ...agents].map(({ follower }) => follower.version()), `after ${begun} ms`)
        .to.deep.equal(Array(12).fill(version))
    }
  })

  it('gets the newest version from peers for a process that starts during a store outage', async () => {
    const sim = simulation.create()
    const old = sim.startProcess()
    for (const a of [1, 2, 3]) await sim.run(sim.publish({ a }))
    await sim.wait(IN_FORCE_MS)
    sim.faults.down = true
    const restarted = sim.startProcess()
    expect(restarted.follower.version()).to.equal(0)
    await sim.wait(IN_FORCE_MS)
    expect(versions(restarted)).to.deep.equal([3])
    expect(restarted.adopted[0]!.rules.teams).to.deep.equal([{ name: 'a', weight: 3 }])
    expect(old.follower.version()).to.equal(3)
  })

  it('takes a process that missed 100 versions directly to the newest one', async () => {
    const sim = simulation.create()
    const [near, far] = [sim.startProcess(), sim.startProcess()]
    await sim.run(sim.publish({ a: 1 }))
    await sim.wait(IN_FORCE_MS)
    sim.setLink(near, far, false)
    far.storeReachable = false
    for (let version = 2; version <= 101; version += 1) await sim.run(sim.publish({ a: version }))
    await sim.wait(IN_FORCE_MS)
    expect([near.follower.version(), far.follower.version()]).to.deep.equal([101, 1])
    sim.setLink(near, far, true)
    await sim.wait(IN_FORCE_MS)
    expect(versions(far)).to.deep.equal([1, 101])
  })

  // A version that this program can't interpret must neither stop the process nor be requested at every heartbeat.
  it('keeps its version when a set is unusable, and does not request it again', async () => {
    const sent: messages.MessageKind[] = []
    const adopted: number[] = []
    const follower = configuration.createFollower({
      timers: clock.createVirtual(),
      random: random.create(SEED),
      log: simulation.silentLog,
      send: (_, { kind }) => sent.push(kind),
      adopted: ({ version }) => adopted.push(version)
    })
    const link = 7 as types.LinkId
    const offer = (version: number, content: string, digest = declarations.digest(content)): void => {
      follower.announced(link, version)
      follower.message(link, { kind: 'configuration-set', version, digest, content })
    }
    const good = declarations.serialize(simulation.setOf({ a: 1 }))
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

  it('requests from another peer when the first does not respond', async () => {
    const sim = simulation.create()
    const [unresponsive, source, requester] =
      [sim.startProcess(), sim.startProcess(), sim.startProcess({ withStore: false })]
    sim.setLink(unresponsive, requester, false)
    sim.setLink(source, requester, false)
    await sim.run(sim.publish({ a: 1 }))
    await sim.wait(IN_FORCE_MS)
    sim.setLink(unresponsive, requester, true)
    requester.follower.announced(0 as types.LinkId, 9)
    sim.setLink(source, requester, true)
    await sim.wait(IN_FORCE_MS)
    expect(versions(requester)).to.deep.equal([1])
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

  /** Runs the steps; returns all incarnations of all processes, the processes still running, and the newest version. */
  const runSteps = async (steps: Step[], seed: number) => {
    const sim = simulation.create({ seed, attempts: 4 })
    const incarnations: simulation.Process[] = []
    const start = (): simulation.Process => {
      const incarnation = sim.startProcess()
      incarnations.push(incarnation)
      return incarnation
    }
    const running = Array.from({ length: COUNT }, start)
    for (const step of steps) {
      if (step.kind === 'publish') await sim.run(sim.publish({ a: step.weight }))
      if (step.kind === 'link' && step.a !== step.b) sim.setLink(running[step.a]!, running[step.b]!, step.up)
      if (step.kind === 'store') running[step.process]!.storeReachable = step.up
      if (step.kind === 'faults') Object.assign(sim.faults, step.faults)
      if (step.kind === 'wait') await sim.wait(step.ms)
      if (step.kind === 'restart') {
        running[step.process]!.stop()
        running[step.process] = start()
      }
    }
    Object.assign(sim.faults, platform.NO_FAULTS)
    running.forEach((process) => { process.storeReachable = true })
    await sim.wait(IN_FORCE_MS)
    const row = await sim.table.read('configuration/current')
    const newest = row.kind === 'ok' ? (row.value?.value as { version: number } | undefined)?.version ?? 0 : -1
    return { incarnations, running, newest }
  }

  it(`never decreases the version, and ends at the newest (${RUNS} runs, seed ${SEED})`, async () => {
    const counts = { adoptions: 0, versions: 0 }
    const steps = fc.array(step, { minLength: 5, maxLength: 25 })
    await fc.assert(fc.asyncProperty(steps, fc.nat(1e6), async (steps, seed) => {
      const { incarnations, running, newest } = await runSteps(steps, seed)
      const rules = new Map<number, string>()
      for (const incarnation of incarnations) {
        const seen = versions(incarnation)
        expect(seen, 'versions of one incarnation').to.deep.equal([...new Set(seen)].sort((a, b) => a - b))
        for (const { version, rules: adopted } of incarnation.adopted) {
          const text = JSON.stringify(adopted)
          expect(rules.get(version) ?? text, `rules of version ${version}`).to.equal(text)
          rules.set(version, text)
        }
        counts.adoptions += seen.length
      }
      counts.versions += newest
      expect(running.map(({ follower }) => follower.version())).to.deep.equal(Array(COUNT).fill(newest))
    }), { numRuns: RUNS, seed: SEED })
    expect(counts.versions, 'versions published in all runs').to.be.greaterThan(RUNS)
    expect(counts.adoptions).to.be.greaterThan(counts.versions)
  })
})
