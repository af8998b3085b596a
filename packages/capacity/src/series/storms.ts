import * as errors from '@mustarddeck/errors'
import * as types from '@mustarddeck/types'
import * as measure from '../measure.ts'
import * as regions from '../region.ts'
import type * as series from '../series.ts'

interface Storm {
  upMs: number
  downMs: number
}

/** All agents of a domain lose their links at once and come back at once. */
const storm = (agents: number): Storm => {
  const region = regions.create({ agents })
  region.start()
  const [entry] = region.entries
  const lost = region.agents.map((_, agent) => agent)
  const start = entry!.busyMs
  for (const agent of lost) region.linkDown(0, agent)
  const down = entry!.busyMs
  for (const agent of lost) {
    region.linkUp(0, agent)
    region.submit(0, agent, 1)
  }
  return { upMs: entry!.busyMs - down, downMs: down - start }
}

export const reconnection = (sizes: number[], runs: number): series.Series[] => {
  const storms = sizes.map((agents) => {
    const results = Array.from({ length: runs }, () => storm(agents))
    return {
      agents,
      upMs: Math.min(...results.map(({ upMs }) => upMs)),
      downMs: Math.min(...results.map(({ downMs }) => downMs))
    }
  })
  const common = { mechanism: 'entry-core (agents, agent-links)', x: 'agents', y: 'ms' }
  return [
    {
      ...common,
      id: 'links-down',
      title: 'decision code of an entry, all agents lose their links',
      points: storms.map(({ agents, downMs }) => ({ x: agents, y: downMs }))
    },
    {
      ...common,
      id: 'links-up',
      title: 'decision code of an entry, all agents link up again, a job submitted after each',
      points: storms.map(({ agents, upMs }) => ({ x: agents, y: upMs }))
    }
  ]
}

interface Recovery {
  /** Longest time from the death to an outcome in ms of virtual time, without the tasks' run time. */
  virtualMs: number
  /** Time in the decision code of the entry that recovers. */
  busyMs: number
  messages: number
}

const RUN_MS = 200
const TASKS_PER_JOB = 4

/** One of two entries dies with jobs in progress, and the other one gets all resubmissions at once. */
export const recover = (agents: number, jobs: number): Recovery => {
  const region = regions.create({ agents, entries: 2, runMs: RUN_MS })
  region.start()
  const [dead, alive] = region.entries as [regions.Region['entries'][0], regions.Region['entries'][0]]
  region.toEntry(0, { kind: 'reserve', request: 'block' as types.RequestId, count: jobs })
  const ids = Array.from({ length: jobs }, (_, index) => `${dead.incarnation}.r0.1.${index}` as types.JobId)
  ids.forEach((id, index) => region.submit(0, index, TASKS_PER_JOB, id))
  region.timers.advance(20)
  region.kill(0)
  const before = { busyMs: alive.busyMs, messages: alive.sent + alive.received }
  const killedAt = region.timers.monotonic()
  const requests = ids.map((id, index) => region.submit(1, index, TASKS_PER_JOB, id))
  const isPending = (): boolean => requests.some((request) => !region.answers.has(request))
  while (isPending() && region.timers.monotonic() < killedAt + 10_000) region.timers.advance(5)
  const isSettled = (request: types.RequestId): boolean => {
    const outcome = region.answers.get(request)
    return outcome !== undefined && types.isFinal(outcome)
  }
  errors.invariant(requests.every(isSettled), 'every job has a final outcome')
  return {
    virtualMs: region.timers.monotonic() - killedAt,
    busyMs: alive.busyMs - before.busyMs,
    messages: alive.sent + alive.received - before.messages
  }
}

export interface RecoverySizes {
  /** Numbers of agents, each with `jobs` jobs. */
  sizes: number[]
  jobs: number
  /** Numbers of jobs, each with `agents` agents. */
  jobSizes: number[]
  agents: number
  runs: number
}

export const recovery = ({ sizes, jobs, jobSizes, agents, runs }: RecoverySizes): series.Series[] => {
  const time = (size: number, count: number): number => measure.least(runs, () => recover(size, count).busyMs)
  const mechanism = 'recovery (owner-case), entry-core'
  return [
    {
      id: 'recovery-virtual',
      title: `time from an entry's death to the last outcome, ${jobs} jobs, virtual clock`,
      mechanism,
      x: 'agents',
      y: 'ms',
      points: sizes.map((size) => ({ x: size, y: recover(size, jobs).virtualMs }))
    },
    {
      id: 'recovery-agents',
      title: `decision code of the recovering entry, ${jobs} jobs`,
      mechanism,
      x: 'agents',
      y: 'ms',
      points: sizes.map((size) => ({ x: size, y: time(size, jobs) }))
    },
    {
      id: 'recovery-jobs',
      title: `decision code of the recovering entry, ${agents} agents`,
      mechanism,
      x: 'jobs',
      y: 'ms',
      points: jobSizes.map((count) => ({ x: count, y: time(agents, count) }))
    }
  ]
}
