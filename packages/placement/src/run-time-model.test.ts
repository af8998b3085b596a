import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import { expect } from 'chai'
import * as runTimeModel from './run-time-model.ts'

const DECLARED_MS = 100
const FAR_FACTOR = 3
const GAP_MS = 10

const setUp = () => {
  const timers = clock.createVirtual()
  const { float } = random.create(1)
  const normal = (): number => Math.sqrt(-2 * Math.log(1 - float())) * Math.cos(2 * Math.PI * float())
  const model = runTimeModel.create({ farFactor: FAR_FACTOR, now: () => timers.monotonic() })
  const site = (worker: string, type = 'a', far = false, incarnation = 1): runTimeModel.Site =>
    ({ worker, incarnation, type, far })
  const work = (step?: runTimeModel.Step): runTimeModel.Work => ({ queue: 'settle', declaredMs: DECLARED_MS, step })
  /** Records steps with one run on each of the sites; their declared times are off. */
  const play = (steps: number, sites: runTimeModel.Site[], factorOf: (site: runTimeModel.Site) => number): void => {
    for (let count = 0; count < steps; count++) {
      timers.advance(GAP_MS)
      const step = model.createStep(sites.length)
      const stepMs = DECLARED_MS * Math.exp(0.4 * normal())
      const runs = sites.map((place) => ({ place, ranMs: stepMs * factorOf(place) * Math.exp(0.15 * normal()) }))
      runs.sort((left, right) => left.ranMs - right.ranMs)
      for (const { place, ranMs } of runs) model.record(work(step), place, ranMs)
    }
  }
  const ratio = (one: runTimeModel.Site, other: runTimeModel.Site): number =>
    model.expectedMs(work(), one) / model.expectedMs(work(), other)
  return { model, play, ratio, site, work }
}

describe('model of run times', () => {
  it('tells types of machines apart although declared times are off', () => {
    const { play, ratio, site } = setUp()
    const sites = [site('i-1', 'a'), site('i-2', 'b')]
    play(100, sites, ({ type }) => type === 'a' ? 1 / 0.7 : 1 / 1.7)
    expect(ratio(site('i-3', 'a'), site('i-4', 'b'))).to.be.within(2, 2.9)
    expect(ratio(sites[0]!, sites[1]!)).to.be.within(2.1, 2.8)
  })

  it('starts with the far factor of the settings and learns it', () => {
    const { play, ratio, site } = setUp()
    const sites = [site('i-1'), site('i-2', 'a', true)]
    expect(ratio(sites[1]!, sites[0]!)).to.be.closeTo(FAR_FACTOR, 0.001)
    play(300, [...sites, site('i-2'), site('i-1', 'a', true)], ({ far }) => far ? 2 : 1)
    expect(ratio(site('i-3', 'a', true), site('i-3'))).to.be.within(1.8, 2.4)
  })

  // A worker that is cold after an evacuation is slow for seconds, in which an entry sees some 9 runs a second.
  it('follows a worker that becomes slower, and faster again, within 12 steps', () => {
    const { play, ratio, site } = setUp()
    const sites = [site('i-1'), site('i-2'), site('i-3')]
    const [cold, warm] = sites as [runTimeModel.Site, runTimeModel.Site]
    play(100, sites, () => 1)
    expect(ratio(cold, warm)).to.be.within(0.85, 1.2)
    play(12, sites, (place) => place === cold ? 3 : 1)
    expect(ratio(cold, warm)).to.be.within(2.2, 3.6)
    play(12, sites, () => 1)
    expect(ratio(cold, warm)).to.be.within(0.7, 1.4)
  })

  it('starts a new incarnation of a worker with the prior of its type', () => {
    const { play, ratio, site } = setUp()
    const sites = [site('i-1'), site('i-2'), site('i-3')]
    play(60, sites, ({ worker }) => worker === 'i-1' ? 3 : 1)
    expect(ratio(sites[0]!, site('i-9'))).to.be.above(1.8)
    expect(ratio(site('i-1', 'a', false, 2), site('i-9'))).to.be.closeTo(1, 0.001)
  })

  // The shortest runs of a step end first; estimates that took in one end after the other drifted upwards.
  it('expects the mean run time when the runs of a step end one after the other', () => {
    const { model, play, site, work } = setUp()
    play(400, Array.from({ length: 8 }, (_, index) => site(`i-${index % 4}`)), () => 1)
    const meanMs = DECLARED_MS * Math.exp((0.4 ** 2 + 0.15 ** 2) / 2)
    expect(model.expectedMs(work(), site('i-1')) / meanMs).to.be.within(0.85, 1.15)
    expect(model.expectedMs(work()) / meanMs).to.be.within(0.85, 1.15)
  })

  it('keeps one estimate for each worker, type and queue, and none of workers that are gone', () => {
    const { model, play, site } = setUp()
    const sites = Array.from({ length: 500 }, (_, index) => site(`i-${index}`, `type-${index}`))
    play(3, sites, () => 1)
    expect(model.size()).to.be.at.most(1 + 64 + 500)
    for (const { worker } of sites) model.forget(worker)
    expect(model.size()).to.be.at.most(1 + 64)
  })
})
