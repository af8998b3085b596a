import { expect } from 'chai'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import * as recovery from './index.ts'

const OWNER = 'aaaaaaaa' as types.Incarnation
const JOB = 'aaaaaaaa.r3.2.0' as types.JobId
const [FIRST, SECOND] = ['agent-one', 'agent-two'] as [types.Incarnation, types.Incarnation]
const [LINK_1, LINK_2] = [1, 2] as [types.LinkId, types.LinkId]

const membership = (departures = 3): types.Membership => ({
  members: [FIRST, SECOND].map((incarnation) => ({
    worker: incarnation as string as types.WorkerName, incarnation, failureDomain: 'd' as types.FailureDomainName
  })),
  departures,
  departed: [],
  fences: [OWNER]
})
const records = (found: messages.TaskRecord[] = [], extra: Partial<messages.Records> = {}): messages.Records => ({
  kind: 'records',
  incarnation: OWNER,
  retired: 0,
  dropped: false,
  jobs: [JOB],
  records: found.length > 0 ? [{ job: JOB, total: 2, digest: 'd' as types.Digest, tasks: found }] : [],
  ...extra
})
const task = (index: number, result?: string): messages.TaskRecord => ({
  index,
  name: `t${index}` as types.TaskName,
  outcome: result === undefined ? undefined : { kind: 'finished', result, runMs: 1 }
})

const createCase = (job = JOB) => {
  const decided: types.Outcome[] = []
  const subject = recovery.create({
    settings: { suspectAfterMs: 1000, retryAfterMs: 500 },
    output: {
      send: () => undefined,
      storeFence: () => undefined,
      decided: (_job, outcome) => { decided.push(outcome) }
    }
  })
  subject.agentUp({ link: LINK_1, incarnation: FIRST })
  subject.agentUp({ link: LINK_2, incarnation: SECOND })
  subject.request({ job }, undefined, 0)
  subject.timer(1000)
  return { subject, decided, kinds: () => decided.map(({ kind }) => kind) }
}

describe('recovery', () => {
  // Answering not-run before every agent has answered would be wrong if the missing agent started a task.
  it('answers not-run only after the fence is stored and every listed agent has answered', () => {
    const { subject, kinds, decided } = createCase()
    subject.records(LINK_1, records(), 1001)
    subject.records(LINK_2, records(), 1002)
    expect(kinds()).to.deep.equal([])
    subject.fenceStored(OWNER, membership(), 1003)
    expect(decided).to.deep.equal([{ kind: 'not-run', job: JOB, reason: 'owner-lost', final: true }])
  })

  it('answers unknown while an agent has not answered, and decides the outcome once it has', () => {
    const { subject, kinds } = createCase()
    subject.fenceStored(OWNER, membership(), 1001)
    subject.records(LINK_1, records([task(0, 'a')]), 1002)
    subject.timer(3000)
    expect(kinds()).to.deep.equal(['unknown'])
    subject.request({ job: JOB }, undefined, 3100)
    subject.records(LINK_2, records(), 3200)
    expect(kinds()).to.deep.equal(['unknown', 'failed'])
  })

  // A live owner marks the tasks of a departed agent as lost unless the membership shows that it was fenced before.
  // An outcome decided from complete records before the fence is stored could contradict the owner's.
  it('decides an outcome from complete records only once the fence is stored', () => {
    const { subject, decided } = createCase()
    subject.fenceStored(OWNER, undefined, 1001)
    subject.records(LINK_1, records([task(1, 'b')]), 1002)
    subject.records(LINK_2, records([task(0)]), 1003)
    subject.recordUpdate(JOB, 0, { kind: 'finished', result: 'a', runMs: 1 }, 1004)
    expect(decided).to.deep.equal([])
    subject.fenceStored(OWNER, membership(), 1005)
    expect(decided).to.deep.equal([{
      kind: 'complete', job: JOB, results: [{ name: 't0', result: 'a' }, { name: 't1', result: 'b' }]
    }])
  })

  // The records of a departed agent are gone, so missing records don't prove that a task never started.
  it('answers expired if an agent departed after the block was opened, or records were dropped or retired', () => {
    const departed = createCase()
    departed.subject.fenceStored(OWNER, membership(4), 1001)
    for (const link of [LINK_1, LINK_2]) departed.subject.records(link, records(), 1002)
    expect(departed.kinds()).to.deep.equal(['expired'])
    const dropped = createCase()
    dropped.subject.fenceStored(OWNER, membership(), 1001)
    dropped.subject.records(LINK_1, records([], { dropped: true }), 1002)
    dropped.subject.records(LINK_2, records(), 1003)
    expect(dropped.kinds()).to.deep.equal(['expired'])
    const retired = createCase()
    retired.subject.records(LINK_1, records([], { retired: 2 }), 1002)
    expect(retired.kinds()).to.deep.equal(['expired'])
  })

  it('never answers not-run for a job that could start on unregistered agents', () => {
    const job = 'aaaaaaaa.u.2.0' as types.JobId
    const { subject, kinds } = createCase(job)
    subject.fenceStored(OWNER, membership(), 1001)
    for (const link of [LINK_1, LINK_2]) subject.records(link, records([], { jobs: [job] }), 1002)
    subject.timer(3000)
    expect(kinds()).to.deep.equal(['unknown'])
  })

  // An agent removes the record of a task that could not be started. Treating it as running would block the outcome.
  it('removes a record of a running task that its agent no longer has', () => {
    const { subject, kinds } = createCase()
    subject.fenceStored(OWNER, membership(), 1001)
    subject.records(LINK_2, records(), 1002)
    subject.records(LINK_1, records([task(0)]), 1003)
    expect(kinds()).to.deep.equal([])
    subject.agentDown(LINK_1)
    subject.agentUp({ link: LINK_1, incarnation: FIRST })
    subject.records(LINK_1, records(), 1500)
    expect(kinds()).to.deep.equal(['not-run'])
  })
})
