import { expect } from 'chai'
import type * as runs from '@mustarddeck/runs'
import * as smallFleet from './testing/small-fleet.ts'

const { QUEUE, setUp } = smallFleet
const RUN_MS = 200
/** A queue whose jobs have time to wait. */
const PATIENT = { ...QUEUE, objectiveMs: 2000 }
const RACKS = [['a', 'near'], ['a', 'far'], ['a', 'far']]

/** Fills the rack `near` of a fleet with three workers, of which two are on the rack `far`. */
const setUpFull = async (options: Parameters<typeof setUp>[0] = {}, tasks: 'succeed' | 'hang' = 'succeed') => {
  const fleet = await setUp({ workers: 3, runMs: RUN_MS, farFactor: 3, labels: RACKS, ...options })
  fleet.fleet[0]!.worker.faults.tasks = tasks
  fleet.submit({ tasks: 3, rack: 'near', queue: PATIENT })
  await fleet.pass(100)
  const ranOn = (key: string): string[] => fleet.fleet.flatMap(({ worker }) =>
    worker.running().filter((task) => task.startsWith(key)).map(() => worker.worker().id))
  const waitOutcomes = (): string[] => fleet.observed.filter((line) => line.startsWith('wait'))
  return { ...fleet, ranOn, waitOutcomes }
}

describe('a task whose rack is full', () => {
  it('waits for the rack if its room is expected soon enough, and runs there', async () => {
    const { pass, ranOn, submit, waitOutcomes } = await setUpFull()
    const { key, result } = submit({ rack: 'near', queue: PATIENT })
    await pass(90)
    expect(ranOn(key)).to.deep.equal([])
    await pass(40)
    expect(ranOn(key)).to.deep.equal(['i-1'])
    expect(waitOutcomes()).to.deep.equal(['wait near'])
    await pass(300)
    expect(result.answer?.kind).to.equal('completed')
  })

  it('runs elsewhere at once if the longer run costs less than the wait', async () => {
    const { pass, ranOn, submit } = await setUpFull({ farFactor: 1.1 })
    const { key } = submit({ rack: 'near', queue: PATIENT })
    await pass(10)
    expect(ranOn(key)).to.have.length(1).and.not.include('i-1')
  })

  // The estimate of the room is wrong if a run of the rack hangs.
  it('runs elsewhere when its wait has lasted as long as the longer run would have cost', async () => {
    const { pass, ranOn, submit, waitOutcomes } = await setUpFull({ farFactor: 2 }, 'hang')
    const { key } = submit({ rack: 'near', queue: PATIENT })
    await pass(150)
    expect(ranOn(key)).to.deep.equal([])
    await pass(200)
    expect(ranOn(key)).to.have.length(1).and.not.include('i-1')
    expect(waitOutcomes()).to.deep.equal(['wait expired'])
  })

  it('runs elsewhere at once when the only worker of the rack begins to leave', async () => {
    const { fleet, pass, ranOn, submit, waitOutcomes } = await setUpFull()
    const { key } = submit({ rack: 'near', queue: PATIENT })
    await pass(10)
    fleet[0]!.announce({ leaving: true })
    await pass(30)
    expect(ranOn(key)).to.have.length(1).and.not.include('i-1')
    expect(waitOutcomes()).to.deep.equal(['wait capacity-fell'])
  })

  it('runs elsewhere at once when the rack\'s agent is lost', async () => {
    const { entry, pass, ranOn, submit, timers, waitOutcomes } = await setUpFull()
    const { key } = submit({ rack: 'near', queue: PATIENT })
    await pass(10)
    entry.agentDown(1, timers.monotonic())
    await pass(30)
    expect(ranOn(key)).to.have.length(1).and.not.include('i-1')
    expect(waitOutcomes()).to.deep.equal(['wait capacity-fell'])
  })

  it('does not wait for a rack of which the entry reaches no worker', async () => {
    const { pass, ranOn, submit } = await setUpFull()
    const { key } = submit({ rack: 'unknown', queue: PATIENT })
    await pass(10)
    expect(ranOn(key)).to.have.length(1)
  })

  it('does not hold up other tasks of its job or other jobs, and reserves nothing', async () => {
    const { pass, ranOn, submit } = await setUpFull()
    const waiting = submit({ rack: 'near', queue: PATIENT })
    const others = [1, 2].map(() => submit({ tasks: 3, queue: { ...PATIENT, objectiveMs: 3000 } }))
    await pass(10)
    expect(ranOn(waiting.key)).to.deep.equal([])
    expect(others.flatMap(({ key }) => ranOn(key))).to.have.length(6)
  })

  it('makes admission refuse others for no longer than its own work', async () => {
    const { pass, submit } = await setUpFull()
    for (let count = 0; count < 3; count++) submit({ rack: 'near', queue: QUEUE })
    const other = submit({ queue: QUEUE })
    await pass(RUN_MS + 50)
    expect(other.result.answer).to.deep.equal({ kind: 'completed' })
  })

  // Their agents would otherwise offer room to this entry rather than to one that would use it.
  it('asks for no room elsewhere', async () => {
    const { pass, sent, submit } = await setUpFull()
    submit({ rack: 'near', queue: PATIENT })
    await pass(60)
    const asked = sent.flatMap(({ kind, link }) => kind === 'want' ? [link] : [])
    expect(asked).to.include(1).and.not.include(2).and.not.include(3)
  })

  it('ends its wait with its job', async () => {
    const { pass, submit, waitOutcomes } = await setUpFull()
    const { abandon } = submit({ rack: 'near', queue: PATIENT })
    await pass(10)
    abandon()
    expect(waitOutcomes()).to.deep.equal(['wait job-ended'])
  })

  // Three times the expected run time is the bound for hung runs.
  it('is not stopped as hung when it runs elsewhere and takes longer', async () => {
    const { pass, site, submit } = await setUp({ workers: 1, runMs: 1500, farFactor: 3, labels: [['a', 'far']] })
    const queue = { ...QUEUE, objectiveMs: 10_000 }
    const { key, job } = submit({ rack: 'near', queue, callerTimeoutMs: 10_000 })
    job.steps[0]!.tasks[0]!.estimateMs = 300
    await pass(1600)
    expect(site.starts.get(`${key}.0.0.0` as runs.TaskId)).to.equal(1)
  })
})

describe('the tasks of a group', () => {
  it('run on one rack, even if the workers of another one have a larger free share', async () => {
    const labels = [['a', 'r1'], ['a', 'r2'], ['a', 'r2'], ['a', 'r1']]
    const { fleet, pass, submit, site } = await setUp({ workers: 4, labels })
    submit({ tasks: 2, rack: 'r1' })
    await pass(10)
    const { key } = submit({ tasks: 5, sameRack: true })
    await pass(20)
    const racks = fleet.flatMap(({ worker }, index) =>
      worker.running().filter((task) => task.startsWith(key)).map(() => [1, 2].includes(index) ? 'r2' : 'r1'))
    expect(racks).to.deep.equal(Array(5).fill('r2'))
    expect(site.violations).to.deep.equal([])
  })

  it('wait together if no rack has room for all of them, and then run on one', async () => {
    const { fleet, pass, submit } = await setUp({ workers: 2, farFactor: 3, labels: [['a', 'r1'], ['a', 'r2']] })
    submit({ tasks: 1, rack: 'r1', queue: PATIENT })
    submit({ tasks: 1, rack: 'r2', queue: PATIENT })
    await pass(120)
    const { key, result } = submit({ tasks: 3, sameRack: true, queue: PATIENT })
    await pass(130)
    const counts = fleet.map(({ worker }) => worker.running().filter((task) => task.startsWith(key)).length)
    expect(counts.sort()).to.deep.equal([0, 3])
    await pass(300)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })

  it('run on several racks rather than miss their objective', async () => {
    const { pass, submit } = await setUp({ workers: 2, farFactor: 1.5, labels: [['a', 'r1'], ['a', 'r2']] })
    const { result } = submit({ tasks: 6, sameRack: true })
    await pass(400)
    expect(result.answer).to.deep.equal({ kind: 'completed' })
  })
})
