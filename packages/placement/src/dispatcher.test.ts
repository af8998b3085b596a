import { expect } from 'chai'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as placement from './index.ts'

const SEED = 1
const resources = { cores: 1, memoryMb: 100, accelerators: 0 }
const large = { cores: 1, memoryMb: 100, accelerators: 4 }
const linkOf = (index: number): types.LinkId => index as types.LinkId
const typeOf = (name: string, priorityClass: string, needed = resources): unknown =>
  ({ name, service: 's', priorityClass, timeLimitMs: 1000, resources: needed, weight: 1 })
const rules = {
  version: 1,
  taskTypes: [
    typeOf('quick', 'class-0'), typeOf('slow', 'class-1'), typeOf('other', 'class-1'),
    typeOf('huge', 'class-0', large)
  ],
  priorityClasses: [0, 1].map((rank) => ({ name: `class-${rank}`, rank, targetWaitMs: 1000, reserve: 0 })),
  teams: [{ name: 'team', weight: 1 }, { name: 'few', weight: 1, maxRunning: 4 }]
} as unknown as types.Rules
const job = (id: string, type: string, tasks = 1, more: object = {}): placement.WaitingJob =>
  ({ id, team: 'team', type, tasks, registeredOnly: false, ...more }) as placement.WaitingJob

const create = (workers = 1, slots = 4): placement.Placement => {
  const dispatcher = placement.create({ random: random.create(SEED) })
  dispatcher.configure(rules)
  for (let index = 1; index <= workers; index++) {
    const capacity = { cores: 80, memoryMb: 8000, accelerators: 0 }
    const worker = { name: `w${index}`, failureDomain: 'd', slots, resources: capacity, registered: true }
    dispatcher.workerConnected(linkOf(index), worker as placement.Worker, 0)
  }
  return dispatcher
}
const startAll = (dispatcher: placement.Placement, now = 0): placement.Dispatch[] => {
  const started: placement.Dispatch[] = []
  for (let next = dispatcher.next(now); next; next = dispatcher.next(now)) started.push(next)
  return started
}
const end = (
  dispatcher: placement.Placement, { link, job, index }: placement.Dispatch, now: number,
  { failed = false, runMs = 100 } = {}
): void => dispatcher.finished(
  { link, job, index, end: failed ? 'failed' : 'finished', runMs, renewed: true }, now)

describe('dispatcher', () => {
  it('starts the most urgent work first, and only against grants', () => {
    const dispatcher = create()
    expect(dispatcher.admit(job('late', 'slow'), 0).kind).to.equal('admitted')
    expect(dispatcher.admit(job('urgent', 'quick'), 0).kind).to.equal('admitted')
    expect(dispatcher.next(0)).to.equal(undefined)
    dispatcher.granted(linkOf(1), 1)
    expect(dispatcher.next(0)?.job).to.equal('urgent')
    expect(dispatcher.next(0)).to.equal(undefined)
  })

  it('starts the job with the least remaining work first, unless a larger one has waited long enough', () => {
    const dispatcher = create()
    dispatcher.admit(job('large', 'slow', 3), 0)
    dispatcher.admit(job('small', 'slow', 1), 10)
    dispatcher.admit(job('late', 'slow', 1), 60_000)
    dispatcher.granted(linkOf(1), 4)
    expect(startAll(dispatcher, 60_000).map((start) => start.job)).to.deep.equal(['small', 'large', 'large', 'large'])
  })

  // A task that is counted twice would start twice; one that is not counted would never start.
  it('starts each task once, again only after a rejection, and none of a withdrawn job', () => {
    const dispatcher = create()
    dispatcher.admit(job('kept', 'slow', 2), 0)
    dispatcher.admit(job('withdrawn', 'slow', 3), 0)
    dispatcher.withdraw('withdrawn' as types.JobId)
    expect(dispatcher.waiting()).to.equal(2)
    dispatcher.granted(linkOf(1), 4)
    const [first, second] = startAll(dispatcher)
    expect([first!.index, second!.index].sort()).to.deep.equal([0, 1])
    end(dispatcher, first!, 10)
    dispatcher.rejected(second!, 'no-slot', 10)
    expect(startAll(dispatcher, 10).map((start) => start.index)).to.deep.equal([second!.index])
    expect(startAll(dispatcher, 10)).to.deep.equal([])
  })

  it('refuses a job that no worker can run once the list of workers is complete, and admits it before', () => {
    const dispatcher = create()
    expect(dispatcher.admit(job('early', 'huge'), 0).kind).to.equal('admitted')
    expect(dispatcher.admit(job('later', 'huge'), 5000)).to.deep.equal({ kind: 'refused', reason: 'never-runnable' })
  })

  it('refuses work beyond the target wait with a retry delay, and withdraws jobs past their wait limit', () => {
    const dispatcher = create()
    for (let index = 0; index < 200; index++) dispatcher.admit(job(`j${index}`, 'slow', 1, { maxWaitMs: 500 }), 0)
    const refusal = dispatcher.admit(job('extra', 'slow', 1, { maxWaitMs: 500 }), 0)
    expect(refusal).to.include({ kind: 'refused', reason: 'overload' })
    expect(refusal.kind === 'refused' && refusal.retryAfterMs).to.be.greaterThan(0)
    expect(dispatcher.overdue(499)).to.deep.equal([])
    expect(dispatcher.overdue(500)).to.have.length.greaterThan(0)
    expect(dispatcher.waiting()).to.equal(0)
  })

  // Guards against a scan of thousands of cancelled jobs at the queue's head on each start, which stalls the entry.
  it('drops 10,000 withdrawn jobs without visiting them again', () => {
    const dispatcher = create()
    dispatcher.configure({
      ...rules,
      priorityClasses: rules.priorityClasses.map((each) =>
        ({ ...each, targetWaitMs: 1e9 }))
    })
    for (let index = 0; index < 10_000; index++) dispatcher.admit(job(`j${index}`, 'slow'), 0)
    for (let index = 0; index < 10_000; index++) dispatcher.withdraw(`j${index}` as types.JobId)
    expect(dispatcher.waiting()).to.equal(0)
    dispatcher.admit(job('kept', 'slow'), 0)
    dispatcher.granted(linkOf(1), 1)
    expect(dispatcher.next(0)?.job).to.equal('kept')
  })

  it('takes the only failing worker out of rotation, and returns it after trial tasks', () => {
    const dispatcher = create(4)
    for (let index = 1; index <= 4; index++) dispatcher.granted(linkOf(index), 4)
    const events: string[] = []
    let failures = 0
    for (let round = 0; round < 400; round++) {
      const now = round * 100
      dispatcher.admit(job(`j${round}`, 'slow', 4), now)
      for (const start of startAll(dispatcher, now)) {
        const failed = start.link === linkOf(2) && now < 10_000
        failures += failed ? 1 : 0
        end(dispatcher, start, now + 50, { failed })
      }
      events.push(...dispatcher.decisions().map(({ event }) => event))
    }
    expect(events).to.deep.equal(['worker-out', 'worker-back'])
    expect(failures).to.be.at.most(8)
  })

  it('keeps workers in rotation when the tasks of one type fail on all of them', () => {
    const dispatcher = create(4)
    for (let index = 1; index <= 4; index++) dispatcher.granted(linkOf(index), 4)
    for (let round = 0; round < 100; round++) {
      const now = round * 100
      dispatcher.admit(job(`bad${round}`, 'slow', 4), now)
      dispatcher.admit(job(`good${round}`, 'other', 4), now)
      for (const start of startAll(dispatcher, now)) end(dispatcher, start, now, { failed: start.job.startsWith('bad') })
    }
    const out = dispatcher.decisions().filter(({ event }) => event === 'worker-out')
    expect(out.length, 'workers out of rotation').to.be.at.most(1)
  })

  it('keeps the reserve of a more urgent class free', () => {
    const dispatcher = create(1, 4)
    const [urgent, normal] = rules.priorityClasses
    const priorityClasses = [{ ...urgent!, reserve: 0.5 }, { ...normal!, targetWaitMs: 1e6 }]
    dispatcher.configure({ ...rules, priorityClasses })
    dispatcher.granted(linkOf(1), 4)
    dispatcher.admit(job('normal', 'slow', 4), 0)
    expect(startAll(dispatcher)).to.have.length(2)
    dispatcher.admit(job('urgent', 'quick', 4), 0)
    expect(startAll(dispatcher).map((start) => start.job)).to.deep.equal(['urgent', 'urgent'])
  })

  it('never runs more tasks of a team than its quota', () => {
    const dispatcher = create(1, 8)
    dispatcher.granted(linkOf(1), 8)
    dispatcher.admit(job('many', 'slow', 8, { team: 'few' }), 0)
    const started = [...startAll(dispatcher), ...startAll(dispatcher, 5000)]
    expect(started).to.have.length(4)
    end(dispatcher, started[0]!, 5100)
    expect(startAll(dispatcher, 5100)).to.have.length(1)
  })
})
