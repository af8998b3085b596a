import type * as agentCore from '@mustarddeck/agent-core'
import type * as entryCore from '@mustarddeck/entry-core'
import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'
import type * as fc from 'fast-check'
import type * as events from './events.ts'
import type * as runs from './run.ts'

/** Replacement of a piece of a package's source, given as its path below `packages`. */
export interface SourceChange {
  file: string
  find: string
  replace: string
}

/**
 * A fault that the checks must notice. `wrap` changes inputs and effects of the real code; `source` changes the code.
 * `by` is the check that is meant to notice it.
 */
export interface Mutant {
  name: string
  by: 'schedules' | 'foreign messages'
  wrap?: (cores: runs.Cores) => runs.Cores
  source?: SourceChange
  /** Schedules among which the fault shows often enough. */
  schedules?: fc.Arbitrary<events.Schedule>
}

type AgentHandle = agentCore.AgentCore['handle']
type EntryHandle = entryCore.EntryCore['handle']

const wrapAgent = (change: (handle: AgentHandle) => AgentHandle) => (cores: runs.Cores): runs.Cores => ({
  ...cores,
  agent: (options) => {
    const core = cores.agent(options)
    return { ...core, handle: change(core.handle) }
  }
})
const wrapEntry = (change: (handle: EntryHandle) => EntryHandle) => (cores: runs.Cores): runs.Cores => ({
  ...cores,
  entry: (options) => {
    const core = cores.entry(options)
    return { ...core, handle: change(core.handle) }
  }
})

/** Leaves some tasks out of the records that the agent gives. */
const hidesRecords = (isHidden: (task: messages.TaskRecord) => boolean) => wrapAgent((handle) => (input, now) =>
  handle(input, now).map((effect) => {
    if (effect.kind !== 'send') return effect
    const { message } = effect
    if (message.kind !== 'records' && message.kind !== 'resumed') return effect
    const records = message.records
      .map((record) => ({ ...record, tasks: record.tasks.filter((task) => !isHidden(task)) }))
      .filter((record) => record.tasks.length > 0)
    return { ...effect, message: { ...message, records } }
  }))

const changesMembership = (change: (membership: types.Membership) => types.Membership) =>
  wrapEntry((handle) => (input, now) => {
    if ((input.kind === 'fence-stored' || input.kind === 'membership') && input.membership) {
      return handle({ ...input, membership: change(input.membership) }, now)
    }
    return handle(input, now)
  })

const skipsOneAcknowledgement = wrapEntry((handle) => (input, now) => {
  if (input.kind !== 'fence-stored' || !input.membership) return handle(input, now)
  return handle({ ...input, membership: { ...input.membership, members: input.membership.members.slice(1) } }, now)
})

const refusesUnknown = wrapEntry((handle) => (input, now) => handle(input, now).map((effect) =>
  effect.kind === 'answer' && effect.outcome.kind === 'unknown'
    ? { ...effect, outcome: { kind: 'not-run', job: effect.outcome.job, reason: 'owner-lost', final: true } }
    : effect))

const confusesRequests = wrapEntry((handle) => {
  const open = new Map<types.LinkId, number[]>()
  return (input, now) => {
    let changed = input
    if (input.kind === 'message' && input.message.kind === 'forwarded') {
      const request = open.get(input.link)?.shift()
      if (request !== undefined) changed = { ...input, message: { ...input.message, request } }
    }
    const effects = handle(changed, now)
    for (const effect of effects) {
      if (effect.kind === 'send' && effect.message.kind === 'forward') {
        open.set(effect.link, [...open.get(effect.link) ?? [], effect.message.request])
      }
    }
    return effects
  }
})

const assumesNotStarted = wrapEntry((handle) => (input, now) => {
  const effects: entryCore.Effect[] = []
  const pending: Array<{ link: types.LinkId, jobs: types.JobId[] }> = []
  const collect = (list: entryCore.Effect[]): void => {
    for (const effect of list) {
      if (effect.kind === 'send' && effect.message.kind === 'resume') {
        pending.push({ link: effect.link, jobs: effect.message.jobs })
      } else effects.push(effect)
    }
  }
  collect(handle(input, now))
  for (const { link, jobs } of pending) {
    collect(handle({ kind: 'message', link, message: { kind: 'resumed', jobs, dropped: [], records: [] } }, now))
  }
  return effects
})

const JOURNAL = 'journal/src/index.ts'

export const mutants: Mutant[] = [
  {
    name: 'the agent does not check start records',
    by: 'foreign messages',
    source: {
      file: JOURNAL,
      find: "if (owner?.blocks.get(id.block)?.get(start.job)?.tasks.has(start.index)) return reject('duplicate')",
      replace: ''
    }
  },
  { name: 'a start is recorded after the call', by: 'schedules', wrap: hidesRecords((task) => !task.outcome) },
  { name: 'one acknowledgement of a fence is not awaited', by: 'schedules', wrap: skipsOneAcknowledgement },
  {
    name: 'the agent forgets a fence',
    by: 'schedules',
    source: { file: JOURNAL, find: "if (owner?.fenced) return reject('fenced')", replace: '' }
  },
  {
    // Schedules do not show it, since an owner reads the membership, and with it its fence, before it uses the agent.
    name: 'a registering agent ignores the fences that it read',
    by: 'foreign messages',
    wrap: wrapAgent((handle) => (input, now) => handle(input.kind === 'registered' ? { ...input, fences: [] } : input, now))
  },
  {
    name: 'a retired block is accepted',
    by: 'foreign messages',
    source: { file: JOURNAL, find: "if (owner && id.block <= owner.retired) return reject('retired')", replace: '' }
  },
  {
    name: 'records are dropped before their block retires',
    by: 'schedules',
    wrap: hidesRecords((task) => task.outcome !== undefined)
  },
  { name: '"not run" is answered on a broken link', by: 'schedules', wrap: refusesUnknown },
  { name: 'a forwarded answer is matched to the wrong request', by: 'schedules', wrap: confusesRequests },
  {
    name: 'a refused id is run later',
    by: 'schedules',
    source: { file: 'ledger/src/ledger.ts', find: "if (reason) return { kind: 'refused', reason }", replace: '' }
  },
  { name: 'a task is sent again without asking for records', by: 'schedules', wrap: assumesNotStarted },
  {
    name: 'departed agents are ignored in recovery',
    by: 'schedules',
    wrap: changesMembership((membership) => ({ ...membership, departures: 0, departed: [] }))
  }
]
