import type * as agentCore from '@mustarddeck/agent-core'
import * as clock from '@mustarddeck/clock'
import type * as entryCore from '@mustarddeck/entry-core'
import * as randoms from '@mustarddeck/random'
import * as types from '@mustarddeck/types'
import type * as events from './events.ts'
import * as backends from './fakes/backend.ts'
import * as callers from './fakes/callers.ts'
import * as links from './fakes/links.ts'
import * as platforms from './fakes/platform.ts'
import * as processes from './processes.ts'

/** The decision code under test: the real factories, or wrapped or changed versions of them. */
export interface Cores {
  agent (options: { settings: agentCore.Settings }): agentCore.AgentCore
  entry (options: { settings: entryCore.Settings, random: randoms.Random }): entryCore.EntryCore
}

/** Everything that the checks need to know of a run. */
export interface Record {
  schedule: events.Schedule
  starts: backends.Start[]
  callers: callers.Callers
  processes: processes.Process[]
  membership: types.Membership
  /** Violations noticed while the run went on. */
  failures: string[]
  /** Jobs without a final outcome at the end of the healing phase. */
  unsettled: callers.Job[]
  /** Time at which all faults had ended. */
  healedAt: number
  endedAt: number
  trace: string[]
}

const ENTRIES = 2
const AGENTS = 3
const MAX_PROCESSES = 5
const SLOTS = 2
const RESOURCES: types.Resources = { cores: 8, memoryMb: 8000, accelerators: 0 }
const TASK_RESOURCES: types.Resources = { cores: 1, memoryMb: 100, accelerators: 0 }
export const TIME_LIMIT_MS = 2000
const LEAVE_GRACE_MS = 3000
/** By then every entry has read the membership with the first agents, unless the store is down. */
const START_UP_MS = 1300
export const SETTLE_MS = 4000
/** All faults have ended: unknown owners are fenced, lost agents have departed, queues are served. */
export const LIVENESS_MS = 25_000
const RESUBMIT_INTERVAL_MS = 700
const REVIEW_MS = 3000
const MAX_TRACE = 20_000

export const RULES: types.Rules = {
  version: 1,
  taskTypes: [{
    name: callers.TASK_TYPE,
    service: 'service',
    priorityClass: 'urgent' as types.PriorityClassName,
    timeLimitMs: TIME_LIMIT_MS,
    resources: TASK_RESOURCES,
    weight: 1
  }],
  priorityClasses: [{ name: 'urgent' as types.PriorityClassName, rank: 0, targetWaitMs: 60_000, reserve: 0 }],
  teams: [{ name: callers.TEAM, weight: 1 }]
}

const isSettled = (job: callers.Job): boolean => job.requests.some((request) =>
  request.content === job.content &&
  request.answers.some(({ outcome }) => types.isFinal(outcome) || outcome.kind === 'conflict'))

type RequestAction = events.Action & { kind: 'submit' | 'duplicate' | 'resubmit' | 'inquire' | 'cancel' | 'conflict' }

const request = (action: RequestAction, side: callers.Callers, entry: (index: number) => callers.Port): void => {
  if (action.kind === 'submit') {
    const issuer = action.issuer === undefined ? undefined : entry(action.issuer)
    side.submit(action, issuer, entry(action.entry), action.waitMs)
    return
  }
  const job = side.jobs[action.job % Math.max(1, side.jobs.length)]
  if (!job) return
  if (action.kind === 'duplicate') {
    for (const index of [action.entry, action.entry, action.other]) side.resubmit(job, entry(index), 2000)
  } else if (action.kind === 'resubmit') side.resubmit(job, entry(action.entry), action.waitMs ?? 2000)
  else side[action.kind](job, entry(action.entry))
}

/** Gives the callers' requests of a schedule to one port after the other, without any fault. */
export const submitAll = (
  schedule: events.Schedule, timers: clock.VirtualClock, side: callers.Callers, entry: (index: number) => callers.Port
): void => {
  for (const event of ordered(schedule)) {
    timers.advance(Math.max(0, START_UP_MS + event.at - timers.monotonic()))
    request(event as RequestAction, side, entry)
  }
}

const ordered = (schedule: events.Schedule): events.Event[] => [...schedule.events].sort((a, b) => a.at - b.at)

/** Runs one schedule on a virtual clock, heals every fault, and asks every entry for every job. */
export const run = (schedule: events.Schedule, cores: Cores, { traced = false } = {}): Record => {
  const timers = clock.createVirtual()
  const random = randoms.create(schedule.seed)
  const failures: string[] = []
  const trace: string[] = []
  const starts: backends.Start[] = []
  const all: processes.Process[] = []
  const note = (line: () => string): void => {
    if (traced && trace.length < MAX_TRACE) trace.push(`${timers.monotonic().toFixed(2).padStart(10)} ${line()}`)
  }
  const fail = (message: string): void => {
    failures.push(message)
    note(() => `FAILURE ${message}`)
  }
  const net = links.create({ timers, random: random.fork(), fail })
  const platform = platforms.create({ timers, random: random.fork() })
  const callerSide = callers.create({ timers, random: random.fork(), fail })
  const backendOf = new Map<string, backends.Backend>()
  const identities = random.fork()
  const around: processes.Surroundings = {
    timers, random: random.fork(), links: net, platform, callers: callerSide, fail, trace: note
  }
  /** Latest life of each name. */
  const current = new Map<string, processes.Process>()
  const named = (role: 'entry' | 'agent'): processes.Process[] =>
    [...current.values()].filter((process) => process.role === role)
  const chosen = (index: number): processes.Process => [...current.values()][index % current.size]!
  const entry = (index: number): processes.Process => {
    const entries = named('entry')
    return entries[index % entries.length]!
  }

  const backend = (name: string): backends.Backend => {
    let found = backendOf.get(name)
    if (!found) {
      found = backends.create({ timers, random: random.fork(), worker: name, starts })
      backendOf.set(name, found)
    }
    return found
  }
  const start = (name: string, role: 'entry' | 'agent', life: number): processes.Process => {
    const { removeAgentAfterMs, blockLifetimeMs, blockRetentionMs, orphanAfterMs, orphanRetentionMs } = schedule.profile
    const { entryBytes, agentBytes } = schedule.profile
    let process: processes.Process
    if (role === 'agent') {
      const incarnation = identities.text(12) as types.Incarnation
      const settings: agentCore.Settings = {
        worker: name as types.WorkerName,
        incarnation,
        slots: SLOTS,
        resources: RESOURCES,
        maxBytes: agentBytes,
        orphanAfterMs,
        orphanRetentionMs,
        leaveGraceMs: LEAVE_GRACE_MS
      }
      const core = cores.agent({ settings })
      process = processes.createAgent(around, {
        name, life, incarnation, core, settings, backend: backend(name), onLeft: end
      })
    } else {
      const settings: entryCore.Settings = {
        name: name as types.EntryName,
        maxBytes: entryBytes,
        blockLifetimeMs,
        blockRetentionMs,
        suspectAfterMs: 1000,
        removeAgentAfterMs,
        retryAfterMs: 200
      }
      const core = cores.entry({ settings, random: identities.fork() })
      process = processes.createEntry(around, {
        name, life, core, rules: RULES, onLeft: end
      })
    }
    note(() => `${process.label} starts as ${process.incarnation}`)
    all.push(process)
    current.set(name, process)
    for (const other of named('entry')) if (other.name !== name) net.dial(process.host, other.name)
    if (role === 'entry') for (const other of current.values()) if (other.name !== name) net.dial(other.host, name)
    return process
  }
  const kill = (process: processes.Process, silent: boolean): void => {
    note(() => `${process.label} ends`)
    process.kill(silent)
    if (process.role === 'agent') backend(process.name).disconnect()
  }
  const replace = (process: processes.Process): void => {
    if (current.get(process.name) !== process || process.host.alive()) return
    start(process.name, process.role, process.life + 1)
  }
  const end = (process: processes.Process): void => {
    if (!process.host.alive()) return
    process.left = true
    checkPlannedStop(process)
    kill(process, false)
    timers.after(process.replaceMs, () => replace(process))
  }
  const checkPlannedStop = (process: processes.Process): void => {
    if (process.role === 'agent' && backend(process.name).running() > 0) {
      fail(`${process.label} left while its backend server ran a task`)
    }
    if (process.role === 'entry') {
      for (const request of callerSide.requests) {
        const open = request.received && !request.abandoned && request.answers.length === 0
        if (request.entry !== process.label || !open) continue
        fail(`${process.label} left without an answer to ${request.id}`)
      }
    }
  }

  const job = (index: number): callers.Job | undefined => callerSide.jobs[index % Math.max(1, callerSide.jobs.length)]
  const portOf = (label: string): callers.Port | undefined =>
    all.find((process) => process.label === label && process.host.alive())
  const act = (event: events.Action): void => {
    note(() => `EVENT ${JSON.stringify(event)}`)
    switch (event.kind) {
      case 'submit': case 'duplicate': case 'resubmit': case 'inquire': case 'cancel': case 'conflict':
        request(event, callerSide, entry)
        break
      case 'abandon': {
        const target = job(event.job)
        if (target) callerSide.abandon(target, portOf)
        break
      }
      case 'crash': {
        const process = chosen(event.process)
        if (!process.host.alive()) break
        kill(process, event.silent)
        timers.after(event.downMs, () => replace(process))
        break
      }
      case 'pause': {
        const process = chosen(event.process)
        process.pause()
        timers.after(event.durationMs, () => process.resume())
        break
      }
      case 'partition': {
        const [a, b] = [chosen(event.a).name, chosen(event.b).name]
        if (a === b) break
        net.partition(a, b)
        timers.after(event.durationMs, () => net.heal(a, b))
        break
      }
      case 'split': {
        const names = [...current.keys()]
        const pairs = names.flatMap((a, i) => names.slice(0, i).map((b, j) => ({ a, b, i, j })))
          .filter(({ i, j }) => (event.sides >> i & 1) !== (event.sides >> j & 1))
        for (const { a, b } of pairs) net.partition(a, b)
        timers.after(event.durationMs, () => { for (const { a, b } of pairs) net.heal(a, b) })
        break
      }
      case 'break': net.breakLink(chosen(event.a).name, chosen(event.b).name); break
      case 'slow': {
        const [a, b] = [chosen(event.a).name, chosen(event.b).name]
        net.slow(a, b, event.extraDelayMs)
        timers.after(event.durationMs, () => net.slow(a, b, 0))
        break
      }
      case 'leave': {
        const process = chosen(event.process)
        // One entry stays, so that callers can reach the system.
        if (process.role === 'entry' && named('entry').filter((other) => other.leavingAt === undefined).length < 2) break
        process.replaceMs = event.replaceMs
        process.leave()
        break
      }
      case 'join':
        if (current.size < MAX_PROCESSES + 1) start(`${event.role}-${current.size}`, event.role, 1)
        break
      case 'store':
        platform.fault(event.fault)
        timers.after(event.durationMs, () => platform.fault('none'))
        break
      case 'backend': {
        const agents = named('agent')
        const target = backend(agents[event.worker % agents.length]!.name)
        target.fault(event.fault)
        timers.after(event.durationMs, () => target.fault('none'))
        break
      }
    }
  }

  const heal = (): void => {
    note(() => 'EVENT all faults end')
    net.healAll()
    platform.fault('none')
    for (const target of backendOf.values()) target.fault('none')
    for (const process of [...current.values()]) {
      process.resume()
      replace(process)
    }
  }
  const resubmitUnsettled = (): callers.Job[] => {
    const unsettled = callerSide.jobs.filter((candidate) => candidate.id && !isSettled(candidate))
    const entries = named('entry').filter((process) => process.host.alive())
    for (const candidate of unsettled) {
      const waiting = candidate.requests.some((request) => request.healed && request.answers.length === 0 &&
        timers.monotonic() - request.at < 4000)
      if (waiting || entries.length === 0) continue
      const request = callerSide.resubmit(candidate, around.random.pick(entries), 3000)
      if (request) request.healed = true
    }
    return unsettled
  }

  if (schedule.storeDownMs > 0) {
    platform.fault('down')
    timers.after(schedule.storeDownMs, () => platform.fault('none'))
  }
  for (let index = 0; index < ENTRIES; index++) start(`entry-${index}`, 'entry', 1)
  for (let index = 0; index < AGENTS; index++) start(`agent-${index}`, 'agent', 1)
  timers.advance(START_UP_MS)
  for (const event of ordered(schedule)) {
    timers.advance(Math.max(0, START_UP_MS + event.at - timers.monotonic()))
    act(event)
  }
  timers.advance(SETTLE_MS)
  heal()
  const healedAt = timers.monotonic()
  let unsettled = callerSide.jobs
  while (unsettled.length > 0 && timers.monotonic() < healedAt + LIVENESS_MS) {
    timers.advance(RESUBMIT_INTERVAL_MS)
    unsettled = resubmitUnsettled()
  }
  for (const candidate of callerSide.jobs) {
    for (const process of named('entry')) {
      const review = callerSide.resubmit(candidate, process, REVIEW_MS)
      if (review) review.healed = true
    }
  }
  timers.advance(REVIEW_MS + 1000)
  return {
    schedule,
    starts,
    callers: callerSide,
    processes: all,
    membership: platform.current(),
    failures,
    unsettled,
    healedAt,
    endedAt: timers.monotonic(),
    trace
  }
}
