import * as agentCore from '@mustarddeck/agent-core'
import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'
import * as fc from 'fast-check'
import type * as runs from './run.ts'

/**
 * One agent among entries that send anything at any time. The agent alone must keep the promises about starts, since it
 * does not trust its owners.
 */
export type Step =
  | { kind: 'link', entry: number }
  | { kind: 'unlink', entry: number }
  | { kind: 'start', entry: number, owner: number, view: number, block: number, sequence: number, index: number }
  | { kind: 'end', task: number, started: boolean }
  | { kind: 'recover', entry: number, owner: number }
  | { kind: 'resume', entry: number }
  | { kind: 'retire', entry: number, owner: number, block: number }
  | { kind: 'registered', owners: number[] }
  | { kind: 'wait', durationMs: number }
  | { kind: 'leave' }

const OWNERS = ['ownerowner0', 'ownerowner1', 'ownerowner2'] as types.Incarnation[]
const RESOURCES: types.Resources = { cores: 100, memoryMb: 100, accelerators: 0 }
const NO_RESOURCES: types.Resources = { cores: 0, memoryMb: 0, accelerators: 0 }
const ORPHAN_AFTER_MS = 5000
const SLOTS = 8

const small = fc.nat({ max: 2 })
const steps: fc.Arbitrary<Step>[] = [
  fc.record({ kind: fc.constant('link' as const), entry: small }),
  fc.record({ kind: fc.constant('unlink' as const), entry: small }),
  fc.record({
    kind: fc.constant('start' as const),
    entry: small,
    owner: small,
    view: fc.nat({ max: 1 }),
    block: fc.integer({ min: 1, max: 2 }),
    sequence: fc.nat({ max: 1 }),
    index: fc.nat({ max: 1 })
  }),
  fc.record({ kind: fc.constant('end' as const), task: small, started: fc.boolean() }),
  fc.record({ kind: fc.constant('recover' as const), entry: small, owner: small }),
  fc.record({ kind: fc.constant('resume' as const), entry: small }),
  fc.record({ kind: fc.constant('retire' as const), entry: small, owner: small, block: fc.integer({ min: 1, max: 2 }) }),
  fc.record({ kind: fc.constant('registered' as const), owners: fc.array(small, { maxLength: 2 }) }),
  fc.record({ kind: fc.constant('wait' as const), durationMs: fc.integer({ min: 1, max: 4000 }) }),
  fc.constant({ kind: 'leave' as const })
]
export const sequences: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 3, arbitrary: steps[0]! },
  { weight: 12, arbitrary: steps[2]! },
  { weight: 6, arbitrary: steps[3]! },
  ...steps.filter((_, index) => ![0, 2, 3].includes(index)).map((arbitrary) => ({ weight: 1, arbitrary }))
), { minLength: 1, maxLength: 60, size: 'max' })

const keyOf = (job: types.JobId, index: number): string => `${job}/${index}`

/** Returns what the agent did wrong. */
export const violationsOf = (list: Step[], create: runs.Cores['agent']): string[] => {
  const violations: string[] = []
  const core = create({
    settings: {
      worker: 'worker' as types.WorkerName,
      incarnation: 'agentagent' as types.Incarnation,
      slots: SLOTS,
      resources: RESOURCES,
      maxBytes: 1_000_000,
      orphanAfterMs: ORPHAN_AFTER_MS,
      orphanRetentionMs: 1000,
      leaveGraceMs: 1000
    }
  })
  const links = new Map<number, types.LinkId>()
  const running: messages.Start[] = []
  /** Tasks that started, or may have, and were not taken back by `not-started`. */
  const started = new Set<string>()
  const fenced = new Set<types.Incarnation>()
  const retired = new Map<types.Incarnation, number>()
  let registered = false
  let leaving = false
  let now = 0
  let lastLink = 0

  const executed = (start: messages.Start): void => {
    const id = types.parseJobId(start.job)!
    const key = keyOf(start.job, start.index)
    if (started.has(key)) violations.push(`second start of ${key}`)
    if (fenced.has(id.incarnation)) violations.push(`start of ${key} for a fenced owner`)
    if (id.block <= (retired.get(id.incarnation) ?? 0)) violations.push(`start of ${key} in a retired block`)
    if (id.view.kind === 'registered' && !registered) violations.push(`start of ${key} before the registration`)
    if (leaving) violations.push(`start of ${key} while leaving`)
    started.add(key)
    running.push(start)
  }
  const checkRecords = (jobs: types.JobId[], records: messages.JobRecord[], dropped: boolean): void => {
    for (const job of jobs) {
      const { incarnation, block } = types.parseJobId(job)!
      if (dropped || block <= (retired.get(incarnation) ?? 0)) continue
      const known = records.find((record) => record.job === job)?.tasks.map(({ index }) => index) ?? []
      for (const index of [0, 1]) {
        if (started.has(keyOf(job, index)) !== known.includes(index)) violations.push(`record of ${keyOf(job, index)}`)
      }
    }
  }
  const give = (input: agentCore.Input): void => {
    for (const effect of core.handle(input, now)) {
      if (effect.kind === 'execute') executed(effect.start)
      if (effect.kind !== 'send') continue
      const { message } = effect
      if (message.kind === 'records') checkRecords(message.jobs, message.records, message.dropped)
      if (message.kind === 'resumed') checkRecords(message.jobs, message.records, message.dropped.length > 0)
      if (message.kind === 'fenced') fenced.add(message.incarnation)
    }
  }
  const send = (entry: number, message: messages.Message): void => {
    const link = links.get(entry)
    if (link !== undefined) give({ kind: 'message', link, message })
  }
  const jobsOf = (owner: types.Incarnation): types.JobId[] => [1, 2].flatMap((block) => [0, 1].flatMap((sequence) =>
    [{ kind: 'unregistered' } as const, { kind: 'registered', departures: 0 } as const].map((view) =>
      types.formatJobId({ incarnation: owner, view, block, sequence }))))

  const perform = (step: Step): void => {
    now += 1
    switch (step.kind) {
      case 'link': {
        const link = ++lastLink as types.LinkId
        links.set(step.entry, link)
        give({
          kind: 'link-up',
          link,
          hello: {
            kind: 'hello',
            version: 1,
            role: 'entry',
            name: `entry-${step.entry}`,
            incarnation: OWNERS[step.entry]!,
            failureDomain: 'zone' as types.FailureDomainName,
            registered: false,
            slots: 0,
            resources: NO_RESOURCES,
            configuration: 0
          }
        })
        return
      }
      case 'unlink': {
        const link = links.get(step.entry)
        links.delete(step.entry)
        if (link !== undefined) give({ kind: 'link-down', link })
        return
      }
      case 'start': {
        const view: types.MembershipView = step.view === 0 ? { kind: 'unregistered' } : { kind: 'registered', departures: 0 }
        const { block, sequence } = step
        const job = types.formatJobId({ incarnation: OWNERS[step.owner]!, view, block, sequence })
        return send(step.entry, {
          kind: 'start',
          job,
          index: step.index,
          attempt: 0,
          total: 2,
          digest: 'digest' as types.Digest,
          name: `task-${step.index}` as types.TaskName,
          type: 'type' as types.TaskTypeName,
          payload: {},
          limitMs: 1000,
          resources: NO_RESOURCES
        })
      }
      case 'end': {
        const [start] = running.splice(step.task % Math.max(1, running.length), 1)
        if (!start) return
        if (!step.started) started.delete(keyOf(start.job, start.index))
        return give({
          kind: 'executed',
          job: start.job,
          index: start.index,
          execution: step.started ? { kind: 'finished', result: 1, runMs: 1 } : { kind: 'not-started' }
        })
      }
      case 'recover': {
        const incarnation = OWNERS[step.owner]!
        if (links.has(step.entry)) fenced.add(incarnation)
        return send(step.entry, { kind: 'recover', incarnation, jobs: jobsOf(incarnation) })
      }
      case 'resume': return send(step.entry, { kind: 'resume', jobs: jobsOf(OWNERS[step.entry]!) })
      case 'retire': {
        const incarnation = OWNERS[step.owner]!
        if (step.owner === step.entry && links.has(step.entry)) {
          retired.set(incarnation, Math.max(step.block, retired.get(incarnation) ?? 0))
        }
        return send(step.entry, { kind: 'retire', incarnation, block: step.block })
      }
      case 'registered': {
        if (registered) return
        const fences = step.owners.map((owner) => OWNERS[owner]!)
        fences.forEach((fence) => fenced.add(fence))
        registered = true
        return give({ kind: 'registered', fences })
      }
      case 'wait':
        now += step.durationMs
        return give({ kind: 'timer' })
      case 'leave':
        leaving = true
        return give({ kind: 'leave' })
    }
  }
  list.forEach(perform)
  return violations
}
