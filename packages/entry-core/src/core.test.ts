import { expect } from 'chai'
import * as agentCores from '@mustarddeck/agent-core'
import type * as messages from '@mustarddeck/messages'
import * as placements from '@mustarddeck/placement'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as core from './index.ts'

const LINK = 1 as types.LinkId
const RESOURCES = { cores: 16, memoryMb: 32_000, accelerators: 0 }
const AGENT = 'agentagent' as types.Incarnation
const FAILURE_DOMAIN = 'khangai-a' as types.FailureDomainName
const WORKER = 'w1' as types.WorkerName
const MEMBERSHIP: types.Membership = {
  members: [{ worker: WORKER, incarnation: AGENT, failureDomain: FAILURE_DOMAIN }],
  departures: 0,
  departed: [],
  fences: []
}
const RULES: types.Rules = {
  version: 1,
  taskTypes: [{
    name: 'weigh-in' as types.TaskTypeName,
    service: 'scale',
    priorityClass: 'urgent' as types.PriorityClassName,
    timeLimitMs: 1000,
    resources: { cores: 1, memoryMb: 100, accelerators: 0 },
    weight: 1
  }],
  priorityClasses: [{ name: 'urgent' as types.PriorityClassName, rank: 0, targetWaitMs: 1000, reserve: 0.1 }],
  teams: [{ name: 'depot' as types.TeamName, weight: 1 }]
}

/** An entry and an agent with a link that delivers at once. Executions are collected until the test finishes them. */
const createPair = () => {
  const random = randoms.create(1)
  const entry = core.create({
    settings: {
      name: 'e1' as types.EntryName,
      maxBytes: 1e7,
      blockLifetimeMs: 10_000,
      blockRetentionMs: 10_000,
      suspectAfterMs: 1000,
      removeAgentAfterMs: 60_000,
      retryAfterMs: 1000
    },
    placement: placements.create({ random }),
    random
  })
  const agent = agentCores.create({
    settings: {
      worker: WORKER,
      incarnation: AGENT,
      slots: 8,
      resources: RESOURCES,
      maxBytes: 1e7,
      orphanAfterMs: 900_000,
      orphanRetentionMs: 600_000,
      leaveGraceMs: 10_000
    }
  })
  const executions: messages.Start[] = []
  const answers: types.Outcome[] = []
  const events: string[] = []
  let now = 0

  const queue: (() => void)[] = []
  let running = false
  /** Handles inputs one at a time in order of arrival. */
  const enqueue = (step: () => void): void => {
    queue.push(step)
    if (running) return
    running = true
    for (let next = queue.shift(); next; next = queue.shift()) next()
    running = false
  }
  const toEntry = (input: core.Input): void => enqueue(() => {
    for (const effect of entry.handle(input, now)) {
      if (effect.kind === 'send') toAgent({ kind: 'message', link: LINK, message: effect.message })
      else if (effect.kind === 'answer') answers.push(effect.outcome)
      else events.push(effect.kind)
    }
  })
  const toAgent = (input: agentCores.Input): void => enqueue(() => {
    for (const effect of agent.handle(input, now)) {
      if (effect.kind === 'send') toEntry({ kind: 'message', link: LINK, message: effect.message })
      else if (effect.kind === 'execute') executions.push(effect.start)
      else events.push(effect.kind)
    }
  })
  const hello = (role: 'entry' | 'agent', incarnation: types.Incarnation, registered: boolean): messages.Hello => ({
    kind: 'hello',
    version: 1,
    role,
    name: role === 'agent' ? WORKER : 'e1',
    incarnation,
    failureDomain: FAILURE_DOMAIN,
    registered,
    slots: role === 'agent' ? 8 : 0,
    resources: RESOURCES,
    configuration: 0
  })
  const connect = (): void => enqueue(() => {
    toAgent({ kind: 'link-up', link: LINK, hello: hello('entry', entry.status().incarnation, true) })
    toEntry({ kind: 'link-up', link: LINK, hello: hello('agent', AGENT, true) })
  })
  const disconnect = (): void => {
    toEntry({ kind: 'link-down', link: LINK })
    toAgent({ kind: 'link-down', link: LINK })
  }
  const submit = (tasks: number, id?: types.JobId): void => toEntry({
    kind: 'submit',
    request: `r${answers.length}` as types.RequestId,
    waitMs: 5000,
    submission: {
      id,
      team: 'depot' as types.TeamName,
      type: 'weigh-in' as types.TaskTypeName,
      tasks: Array.from({ length: tasks }, (_, index) => ({ name: `t${index}` as types.TaskName, payload: index })),
      idempotent: false,
      digest: `digest-${tasks}` as types.Digest
    }
  })
  const finish = (start: messages.Start): void => toAgent({
    kind: 'executed',
    job: start.job,
    index: start.index,
    execution: { kind: 'finished', result: `result of ${start.name}`, runMs: 10 }
  })
  toAgent({ kind: 'registered', fences: [] })
  toEntry({ kind: 'rules', rules: RULES })
  return {
    entry,
    agent,
    executions,
    answers,
    events,
    toEntry,
    toAgent,
    connect,
    disconnect,
    submit,
    finish,
    advance: (ms: number) => {
      now += ms
      toEntry({ kind: 'timer' })
      toAgent({ kind: 'timer' })
    }
  }
}

describe('entry and agent', () => {
  it('run a job with more tasks than slots and give the same answer to a resubmission', () => {
    const pair = createPair()
    pair.connect()
    pair.toEntry({ kind: 'membership', membership: MEMBERSHIP })
    pair.submit(20)
    expect(pair.executions).to.have.length(8)
    for (let start = pair.executions.shift(); start; start = pair.executions.shift()) pair.finish(start)
    expect(pair.answers).to.have.length(1)
    const [answer] = pair.answers
    expect(answer?.kind).to.equal('complete')
    if (answer?.kind !== 'complete') return
    expect(answer.results.map(({ result }) => result))
      .to.deep.equal(Array.from({ length: 20 }, (_, index) => `result of t${index}`))
    pair.submit(20, answer.job)
    expect(pair.answers[1]).to.deep.equal(answer)
    pair.submit(3, answer.job)
    expect(pair.answers[2]?.kind).to.equal('conflict')
  })

  // After a lost link the entry must not resend a task that the agent has a record of.
  it('resume over a new link without starting a task twice', () => {
    const pair = createPair()
    pair.connect()
    pair.toEntry({ kind: 'membership', membership: MEMBERSHIP })
    pair.submit(2)
    const [first, second] = pair.executions as [messages.Start, messages.Start]
    pair.disconnect()
    pair.finish(first)
    pair.connect()
    pair.finish(second)
    expect(pair.executions).to.have.length(2)
    expect(pair.answers[0]?.kind).to.equal('complete')
  })

  // A fenced owner that keeps starting tasks would contradict the entry that fenced it.
  it('answer jobs of a fenced incarnation and continue under a new one', () => {
    const pair = createPair()
    pair.connect()
    pair.toEntry({ kind: 'membership', membership: MEMBERSHIP })
    const incarnation = pair.entry.status().incarnation
    pair.submit(9)
    pair.submit(1)
    pair.toAgent({ kind: 'registered', fences: [incarnation] })
    expect(pair.answers.map(({ kind }) => kind)).to.deep.equal(['not-run'])
    for (const start of pair.executions.splice(0)) pair.finish(start)
    expect(pair.answers[1]).to.include({ kind: 'failed', reason: 'owner-lost' })
    expect(pair.entry.status().incarnation).to.not.equal(incarnation)
    pair.submit(1)
    for (const start of pair.executions.splice(0)) pair.finish(start)
    expect(pair.answers[2]?.kind).to.equal('complete')
  })

  it('shut down gracefully after every task has finished', () => {
    const pair = createPair()
    pair.connect()
    pair.toEntry({ kind: 'membership', membership: MEMBERSHIP })
    pair.submit(2)
    pair.toAgent({ kind: 'leave' })
    pair.toEntry({ kind: 'drain' })
    expect(pair.events).to.not.include.members(['drained']).and.to.not.include.members(['left'])
    for (const start of pair.executions.splice(0)) pair.finish(start)
    expect(pair.answers[0]?.kind).to.equal('complete')
    expect(pair.events).to.include.members(['drained', 'left'])
  })
})
