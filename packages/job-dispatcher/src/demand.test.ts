import * as clock from '@mustarddeck/clock'
import * as runs from '@mustarddeck/runs'
import { expect } from 'chai'
import * as fleet from './agents.ts'
import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'
import * as demand from './demand.ts'
import * as waitingJobs from './waiting-jobs.ts'

const OBJECTIVE_MS = 200
const QUEUE: interfaces.Queue = {
  name: 'slip' as interfaces.QueueName, service: 'corkbook', priority: 0, maxAttempts: 1, stretch: 1, objectiveMs: OBJECTIVE_MS
}

const setUp = (services = ['corkbook', 'corkbook']) => {
  const timers = clock.createVirtual()
  const agents = fleet.create()
  const sent: Array<[link: number, withinMs: number | undefined]> = []
  const notifier = demand.create({ timers, send: (link, { urgency }) => sent.push([link, urgency?.withinMs]) })
  const all = services.map((service, index) => {
    const agent = agents.up(index + 1, `agent-${index}`, 'incarnation')
    const worker: runs.Worker = {
      id: `i-${index}` as runs.WorkerId,
      bornMs: 1,
      service,
      zone: 'khangai-a',
      capacity: { millicores: 4800, memoryMb: 1000, accelerators: 0 },
      labels: ['a', `rack-${index}`],
      leaving: false
    }
    agents.update(agent, { kind: 'room', sequence: 0, sharers: 1, worker, free: worker.capacity })
    return agent
  })
  const job = (): jobs.JobState => jobs.create({
    key: 'a' as runs.JobKey, queue: QUEUE, spec: '', steps: [], callerTimeoutMs: 1000
  }, timers.monotonic(), () => 0, () => {})
  return { all, job, timers, sent, notifier }
}

const waitingOf = (...members: jobs.JobState[]): waitingJobs.WaitingJobs => {
  const waiting = waitingJobs.create()
  for (const job of members) waiting.add(job)
  return waiting
}

describe('demand notifications to agents', () => {
  it('are sent once to the agents of the service, and again when the demand is more urgent or has expired', () => {
    const { all, job, timers, sent, notifier } = setUp(['corkbook', 'benchdesk', 'corkbook'])
    const first = job()
    notifier.announce(all, waitingOf(first))
    notifier.announce(all, waitingOf(first))
    expect(sent).to.deep.equal([[1, OBJECTIVE_MS], [3, OBJECTIVE_MS]])
    timers.advance(100)
    notifier.announce(all, waitingOf(first))
    expect(sent, 'nothing new').to.have.length(2)
    timers.advance(150)
    notifier.announce(all, waitingOf(job()))
    expect(sent.slice(2)).to.deep.equal([[1, OBJECTIVE_MS], [3, OBJECTIVE_MS]])
  })

  it('are withdrawn when offered capacity is not needed, and corrected when the demand is less urgent', () => {
    const { all: [agent], job, timers, sent, notifier } = setUp(['corkbook'])
    notifier.announce([agent!], waitingOf(job()))
    timers.advance(100)
    notifier.revise(agent!, waitingOf(job()))
    notifier.revise(agent!, waitingOf())
    notifier.revise(agent!, waitingOf())
    expect(sent).to.deep.equal([[1, OBJECTIVE_MS], [1, OBJECTIVE_MS], [1, undefined]])
  })

  it('are not sent to an agent whose worker is leaving or out of rotation', () => {
    const { all, job, sent, notifier } = setUp()
    all[0]!.worker = { ...all[0]!.worker!, leaving: true }
    all[1]!.health.out = true
    notifier.announce(all, waitingOf(job()))
    expect(sent).to.deep.equal([])
  })

  // The room of other agents would otherwise be offered to an entry that does not use it.
  it('ask only the agents of the rack for which the tasks of the most urgent job wait, until the wait ends', () => {
    const { all, job, timers, sent, notifier } = setUp()
    const first = job()
    first.awaited = { racks: new Set(['rack-1']), until: timers.monotonic() + 100 }
    notifier.announce(all, waitingOf(first))
    expect(sent).to.deep.equal([[2, OBJECTIVE_MS]])
    timers.advance(100)
    notifier.announce(all, waitingOf(first))
    expect(sent.map(([link]) => link)).to.deep.equal([2, 1])
  })

  it('ask the other agents for the jobs that follow one that waits for a rack', () => {
    const { all, job, timers, sent, notifier } = setUp()
    const [first, second] = [job(), job()]
    first.awaited = { racks: new Set(['rack-1']), until: Infinity }
    second.latestStart = timers.monotonic() + 500
    notifier.announce(all, waitingOf(first, second))
    expect(sent).to.deep.equal([[1, 500], [2, OBJECTIVE_MS]])
  })
})
