import * as agentCores from '@mustarddeck/agent-core'
import * as clocks from '@mustarddeck/clock'
import * as entryCores from '@mustarddeck/entry-core'
import type * as messages from '@mustarddeck/messages'
import * as placements from '@mustarddeck/placement'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

/** One-way latency of a link, and time of a fence with its read, in ms of virtual time. */
const LINK_MS = 0.5
const FENCE_MS = 15
const HEARTBEAT_MS = 1000
const FIRST_ENTRY_LINK = 1_000_000
export const RESOURCES = { cores: 32, memoryMb: 64_000, accelerators: 2 }
export const DOMAIN = 'waco-floor' as types.FailureDomainName
export const TYPE = 'wiring-check' as types.TaskTypeName
const TEAMS = 170

export const RULES: types.Rules = {
  version: 1,
  taskTypes: [{
    name: TYPE,
    service: 'bench',
    priorityClass: 'urgent' as types.PriorityClassName,
    timeLimitMs: 10_000,
    resources: { cores: 0.1, memoryMb: 10, accelerators: 0 },
    weight: 1
  }],
  priorityClasses: [{ name: 'urgent' as types.PriorityClassName, rank: 0, targetWaitMs: 60_000, reserve: 0 }],
  teams: Array.from({ length: TEAMS }, (_, index) => ({ name: `team-${index}` as types.TeamName, weight: 1 }))
}

interface EntryProcess {
  core: entryCores.EntryCore
  incarnation: types.Incarnation
  alive: boolean
  cancelTimer: () => void
  /** Time spent in the decision code in ms. */
  busyMs: number
  /** Messages. */
  sent: number
  received: number
}

interface AgentProcess {
  core: agentCores.AgentCore
  incarnation: types.Incarnation
  hello: messages.Hello
  cancelTimer: () => void
}

export interface Options {
  agents: number
  entries?: number
  slots?: number
  /** Run time of each task in ms of virtual time. */
  runMs?: number
}

/** Settings of every measured entry, so that all slopes describe the same one. */
export const entrySettings = (name: string): entryCores.Settings => ({
  name: name as types.EntryName,
  maxBytes: 4e9,
  blockLifetimeMs: 600_000,
  blockRetentionMs: 900_000,
  suspectAfterMs: 1000,
  removeAgentAfterMs: 60_000,
  retryAfterMs: 500
})

/** Entries and agents of one region with the real decision code, links without faults and a virtual clock. */
export const create = ({ agents: agentCount, entries: entryCount = 1, slots = 8, runMs = 50 }: Options) => {
  const timers = clocks.createVirtual()
  const random = randoms.create(1)
  const answers = new Map<types.RequestId, types.Outcome>()
  const links = new Set<string>()
  const fences: types.Incarnation[] = []

  const hello = (role: 'entry' | 'agent', name: string, incarnation: types.Incarnation): messages.Hello => ({
    kind: 'hello',
    version: 1,
    role,
    name,
    incarnation,
    failureDomain: DOMAIN,
    registered: role === 'agent',
    slots: role === 'agent' ? slots : 0,
    resources: RESOURCES,
    configuration: 1
  })
  const entries = Array.from({ length: entryCount }, (_, index): EntryProcess => {
    const generator = random.fork()
    const core = entryCores.create({
      settings: entrySettings(`entry-${index}`),
      placement: placements.create({ random: generator.fork(), position: { index, count: entryCount } }),
      random: generator
    })
    const { incarnation } = core.status()
    return { core, incarnation, alive: true, cancelTimer: () => {}, busyMs: 0, sent: 0, received: 0 }
  })
  const agents = Array.from({ length: agentCount }, (_, index): AgentProcess => {
    const worker = `worker-${index}` as types.WorkerName
    const incarnation = `agent${index}incarnation` as types.Incarnation
    const core = agentCores.create({
      settings: {
        worker,
        incarnation,
        slots,
        resources: RESOURCES,
        maxBytes: 1e8,
        orphanAfterMs: 900_000,
        orphanRetentionMs: 900_000,
        leaveGraceMs: 10_000
      }
    })
    return { core, incarnation, hello: hello('agent', worker, incarnation), cancelTimer: () => {} }
  })
  const membership = (): types.Membership => ({
    members: agents.map(({ hello, incarnation }) =>
      ({ worker: hello.name as types.WorkerName, incarnation, failureDomain: DOMAIN })),
    departures: 0,
    departed: [],
    fences: [...fences]
  })

  const agentLink = (index: number): types.LinkId => index + 1 as types.LinkId
  const entryLink = (index: number): types.LinkId => FIRST_ENTRY_LINK + index as types.LinkId
  const isUp = (entry: number, agent: number): boolean => links.has(`${entry}-${agent}`)

  const deliverToAgent = (entry: number, agent: number, message: messages.Message): void => {
    timers.after(LINK_MS, () => {
      if (!isUp(entry, agent)) return
      toAgent(agent, { kind: 'message', link: entryLink(entry), message })
    })
  }
  const deliverToEntry = (from: number, to: number, message: messages.Message): void => {
    timers.after(LINK_MS, () => {
      if (entries[from]!.alive) toEntry(to, { kind: 'message', link: entryLink(from), message })
    })
  }
  const applyEntry = (index: number, effect: entryCores.Effect): void => {
    switch (effect.kind) {
      case 'send': {
        entries[index]!.sent++
        const { link, message } = effect
        if (link < FIRST_ENTRY_LINK) deliverToAgent(index, link - 1, message)
        else deliverToEntry(index, link - FIRST_ENTRY_LINK, message)
        return
      }
      case 'answer':
        answers.set(effect.request, effect.outcome)
        return
      case 'store-fence': {
        const { incarnation } = effect
        timers.after(FENCE_MS, () => {
          fences.push(incarnation)
          toEntry(index, { kind: 'fence-stored', incarnation, membership: membership() })
        })
      }
    }
  }
  /** Returns the time that the decision code took in ms. */
  const toEntry = (index: number, input: entryCores.Input): number => {
    const entry = entries[index]!
    if (!entry.alive) return 0
    if (input.kind === 'message') entry.received++
    const began = performance.now()
    const effects = entry.core.handle(input, timers.monotonic())
    const deadline = entry.core.deadline()
    const tookMs = performance.now() - began
    entry.busyMs += tookMs
    for (const effect of effects) applyEntry(index, effect)
    entry.cancelTimer()
    if (deadline !== undefined && deadline < Infinity) {
      const delayMs = Math.max(1, deadline - timers.monotonic())
      entry.cancelTimer = timers.after(delayMs, () => toEntry(index, { kind: 'timer' }))
    }
    return tookMs
  }
  const toAgent = (index: number, input: agentCores.Input): void => {
    const agent = agents[index]!
    for (const effect of agent.core.handle(input, timers.monotonic())) {
      if (effect.kind === 'send') {
        const entry = effect.link - FIRST_ENTRY_LINK
        const { message } = effect
        timers.after(LINK_MS, () => {
          if (isUp(entry, index)) toEntry(entry, { kind: 'message', link: agentLink(index), message })
        })
      } else if (effect.kind === 'execute') {
        const { job, index: task } = effect.start
        timers.after(runMs, () => toAgent(index, {
          kind: 'executed', job, index: task, execution: { kind: 'finished', result: `ok-${task}`, runMs }
        }))
      }
    }
    agent.cancelTimer()
    const deadline = agent.core.deadline()
    if (deadline === undefined || deadline === Infinity) return
    const delayMs = Math.max(1, deadline - timers.monotonic())
    agent.cancelTimer = timers.after(delayMs, () => toAgent(index, { kind: 'timer' }))
  }

  const linkUp = (entry: number, agent: number): void => {
    links.add(`${entry}-${agent}`)
    toAgent(agent, {
      kind: 'link-up', link: entryLink(entry), hello: hello('entry', `entry-${entry}`, entries[entry]!.incarnation)
    })
    toEntry(entry, { kind: 'link-up', link: agentLink(agent), hello: agents[agent]!.hello })
  }
  const linkDown = (entry: number, agent: number): void => {
    links.delete(`${entry}-${agent}`)
    toEntry(entry, { kind: 'link-down', link: agentLink(agent) })
    toAgent(agent, { kind: 'link-down', link: entryLink(entry) })
  }
  /** Demand of one heartbeat to each agent. Returns the time that the decision code took in ms. */
  const heartbeat = (entry: number): number => {
    const { core } = entries[entry]!
    const began = performance.now()
    const waiting = agents.map((_, agent) => core.demand(agentLink(agent)))
    const tookMs = performance.now() - began
    waiting.forEach((counts, agent) => {
      deliverToAgent(entry, agent, { kind: 'heartbeat', configuration: 1, waiting: counts })
    })
    return tookMs
  }
  const start = (): void => {
    agents.forEach((_, agent) => toAgent(agent, { kind: 'registered', fences: [] }))
    entries.forEach((_, entry) => {
      toEntry(entry, { kind: 'rules', rules: RULES })
      toEntry(entry, { kind: 'membership', membership: membership() })
      for (let other = 0; other < entry; other++) {
        for (const [from, to] of [[entry, other], [other, entry]] as const) {
          const greeting = hello('entry', `entry-${from}`, entries[from]!.incarnation)
          toEntry(to, { kind: 'link-up', link: entryLink(from), hello: greeting })
        }
      }
      agents.forEach((_, agent) => linkUp(entry, agent))
    })
    const beat = (): void => {
      entries.forEach(({ alive }, entry) => alive && heartbeat(entry))
      timers.after(HEARTBEAT_MS, beat)
    }
    timers.after(HEARTBEAT_MS, beat)
    timers.advance(5000)
  }
  const submit = (entry: number, number: number, tasks: number, id?: types.JobId): types.RequestId => {
    const request = `request-${entry}-${number}` as types.RequestId
    const submission: types.Submission = {
      id,
      team: RULES.teams[number % TEAMS]!.name,
      type: TYPE,
      tasks: Array.from({ length: tasks }, (_, index) => ({ name: `wire-${index}` as types.TaskName, payload: { index } })),
      idempotent: false,
      digest: `digest-${number}`.padEnd(64, '0') as types.Digest
    }
    toEntry(entry, { kind: 'submit', request, submission, waitMs: 60_000 })
    return request
  }
  /** Ends an entry without notice. */
  const kill = (entry: number): void => {
    entries[entry]!.alive = false
    entries[entry]!.cancelTimer()
    agents.forEach((_, agent) => linkDown(entry, agent))
    entries.forEach((_, other) => toEntry(other, { kind: 'link-down', link: entryLink(entry) }))
  }
  return {
    timers, entries, agents, answers, membership, start, submit, kill, linkUp, linkDown, heartbeat, toEntry, toAgent
  }
}

export type Region = ReturnType<typeof create>
