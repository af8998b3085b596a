import type * as agentCore from '@mustarddeck/agent-core'
import type * as clock from '@mustarddeck/clock'
import type * as entryCore from '@mustarddeck/entry-core'
import type * as messages from '@mustarddeck/messages'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import type * as backend from './fakes/backend.ts'
import type * as callers from './fakes/callers.ts'
import type * as links from './fakes/links.ts'
import type * as platforms from './fakes/platform.ts'

type Input = agentCore.Input | entryCore.Input
type Effect = agentCore.Effect | entryCore.Effect

/** What both kinds of core have in common. */
export interface Core {
  handle (input: Input, now: number): Effect[]
  deadline (): number | undefined
}

/** One life of an entry or agent process around its core. */
export interface Process extends callers.Port {
  name: string
  role: 'entry' | 'agent'
  life: number
  host: links.Host
  incarnation: types.Incarnation
  /** All owner incarnations of an entry, the first one being that of the process. */
  owned: Set<types.Incarnation>
  startedAt: number
  /** Time of `leave` or `drain`. */
  leavingAt?: number
  /** Time after a planned stop until the next life starts. */
  replaceMs: number
  /** True after the process stopped by itself, as planned. */
  left: boolean
  /** Pauses in world time, the last one open while the process is paused. */
  pauses: Array<{ from: number, to: number }>
  leave (): void
  pause (): void
  resume (): void
  kill (silent: boolean): void
}

export interface Surroundings {
  timers: clock.Timers
  random: random.Random
  links: links.Links
  platform: platforms.Platform
  callers: callers.Callers
  fail (message: string): void
  trace (line: () => string): void
}

const HEARTBEAT_MS = 1000
const READ_INTERVAL_MS = 1000
const RETRY_MS = 300
/** A core that wants this many timers without time passing is in an endless loop. */
const MAX_IMMEDIATE_TIMERS = 1000

interface Options {
  name: string
  role: 'entry' | 'agent'
  life: number
  incarnation: types.Incarnation
  core: Core
  /** Slots wanted from one agent, for the heartbeat to it. */
  demand? (link: types.LinkId): number[]
  /** The owner incarnation of an entry now. */
  owner? (): types.Incarnation
  hello (): messages.Hello
  perform (effect: Effect, process: Process): void
}

const create = (around: Surroundings, options: Options): Process => {
  const { timers, random, fail, trace } = around
  const { core, role, name } = options
  const label = `${name}#${options.life}`
  const offset = random.integer(0, 1_000_000)
  const up = new Set<types.LinkId>()
  let backlog: Array<() => void> = []
  let alive = true
  let paused = false
  let cancelTimer: clock.Cancellation = () => {}
  let immediate = { at: 0, count: 0 }

  const arm = (): void => {
    cancelTimer()
    const at = core.deadline()
    if (at === undefined || !alive) return
    const dueMs = at - timers.monotonic() - offset
    const now = timers.monotonic()
    immediate = { at: now, count: immediate.at === now ? immediate.count + 1 : 0 }
    if (immediate.count > MAX_IMMEDIATE_TIMERS) return fail(`${label} asks for timers without end`)
    cancelTimer = timers.after(Math.max(0, dueMs) + random.float(), () => receive(() => input({ kind: 'timer' })))
  }
  const input = (value: Input): void => {
    if (!alive) return
    if ('request' in value) around.callers.received(value.request)
    if (value.kind !== 'timer') trace(() => `${label} <- ${JSON.stringify(value)}`)
    let effects: Effect[]
    try {
      effects = core.handle(value, timers.monotonic() + offset)
    } catch (thrown) {
      fail(`${label} threw at ${value.kind}: ${(thrown as Error).stack}`)
      return process.kill(false)
    }
    if (options.owner) process.owned.add(options.owner())
    for (const effect of effects) {
      trace(() => `${label} -> ${JSON.stringify(effect)}`)
      if (alive) perform(effect)
    }
    arm()
  }
  const perform = (effect: Effect): void => {
    if (effect.kind === 'send') around.links.send(host, effect.link, effect.message)
    else if (effect.kind === 'close') around.links.close(host, effect.link)
    else if (effect.kind !== 'decision') options.perform(effect, process)
  }
  const receive = (action: () => void): void => {
    if (!alive) return
    if (paused) backlog.push(action)
    else action()
  }
  const host: links.Host = {
    name,
    alive: () => alive,
    paused: () => paused,
    receive,
    hello: options.hello,
    up: (link, hello) => {
      up.add(link)
      input({ kind: 'link-up', link, hello })
    },
    message: (link, message) => input({ kind: 'message', link, message }),
    down: (link) => {
      up.delete(link)
      input({ kind: 'link-down', link })
    }
  }
  const beat = (): void => {
    for (const link of up) {
      const waiting = options.demand?.(link)
      around.links.send(host, link, { kind: 'heartbeat', configuration: 1, ...(waiting ? { waiting } : {}) })
    }
    timers.after(HEARTBEAT_MS, () => receive(beat))
  }
  const process: Process = {
    name,
    role,
    life: options.life,
    label,
    host,
    incarnation: options.incarnation,
    owned: new Set([options.incarnation]),
    startedAt: timers.monotonic(),
    replaceMs: 500,
    left: false,
    pauses: [],
    accepts: () => alive,
    input: (value) => receive(() => input(value)),
    leave: () => receive(() => {
      if (process.leavingAt !== undefined) return
      process.leavingAt = timers.monotonic()
      input({ kind: role === 'entry' ? 'drain' : 'leave' })
    }),
    pause: () => {
      if (paused || !alive) return
      paused = true
      const pause = { from: timers.monotonic(), to: Infinity }
      process.pauses.push(pause)
      around.links.stalled(host, () => pause.to === Infinity && alive)
    },
    resume: () => {
      if (!paused || !alive) return
      paused = false
      process.pauses[process.pauses.length - 1]!.to = timers.monotonic()
      around.links.resumed(host)
      for (const action of backlog.splice(0)) action()
    },
    kill: (silent) => {
      if (!alive) return
      alive = false
      backlog = []
      cancelTimer()
      around.links.ended(host, silent)
    }
  }
  around.links.add(host)
  arm()
  timers.after(HEARTBEAT_MS * random.float(), () => receive(beat))
  return process
}

const commonHello = {
  kind: 'hello', version: 1, failureDomain: 'zone' as types.FailureDomainName, configuration: 1
} as const
const ENTRY_RESOURCES: types.Resources = { cores: 0, memoryMb: 0, accelerators: 0 }

/** Registers at the platform, calls the backend server, and restarts under a new incarnation when it was removed. */
export const createAgent = (around: Surroundings, { name, life, incarnation, core, settings, backend, onLeft }: {
  name: string
  life: number
  incarnation: types.Incarnation
  core: agentCore.AgentCore
  settings: agentCore.Settings
  backend: backend.Backend
  onLeft: (process: Process) => void
}): Process => {
  const { timers, platform } = around
  const reader: platforms.Reader = { core: 0, members: 0 }
  const member: types.Member = { worker: settings.worker, incarnation, failureDomain: commonHello.failureDomain }
  let registered = false

  const depart = (): void => platform.depart(member, (membership) => process.host.receive(() => {
    if (membership) onLeft(process)
    else timers.after(RETRY_MS, () => process.host.receive(depart))
  }))
  const process = create(around, {
    name,
    role: 'agent',
    life,
    incarnation,
    core: core as Core,
    hello: () => ({
      ...commonHello,
      role: 'agent',
      name,
      incarnation,
      registered,
      slots: settings.slots,
      resources: settings.resources
    }),
    perform: (effect) => {
      if (effect.kind === 'execute') {
        backend.call(effect.start, incarnation, (execution) => process.host.receive(() =>
          process.input({ kind: 'executed', job: effect.start.job, index: effect.start.index, execution } as never)))
      } else if (effect.kind === 'abort') backend.abort(effect.job, effect.index)
      else if (effect.kind === 'left') depart()
    }
  })
  const register = (): void => platform.register(member, (membership) => process.host.receive(() => {
    if (!membership) {
      timers.after(RETRY_MS, () => process.host.receive(register))
      return
    }
    registered = true
    process.input({ kind: 'registered', fences: membership.fences } as never)
    watch()
  }))
  const watch = (): void => platform.read(reader, (membership) => process.host.receive(() => {
    if (membership?.departed.some((departure) => departure.incarnation === incarnation)) process.leave()
    else timers.after(READ_INTERVAL_MS, () => process.host.receive(watch))
  }))
  register()
  return process
}

/** Takes callers' requests, reads the membership periodically, and stores fences and departures. */
export const createEntry = (around: Surroundings, { name, life, core, rules, onLeft }: {
  name: string
  life: number
  core: entryCore.EntryCore
  rules: types.Rules
  onLeft: (process: Process) => void
}): Process => {
  const { timers, platform, callers } = around
  const reader: platforms.Reader = { core: 0, members: 0 }
  const incarnation = core.status().incarnation
  const process = create(around, {
    name,
    role: 'entry',
    life,
    incarnation,
    core: core as Core,
    owner: () => core.status().incarnation,
    demand: core.demand,
    hello: () => ({
      ...commonHello, role: 'entry', name, incarnation, registered: false, slots: 0, resources: ENTRY_RESOURCES
    }),
    perform: (effect) => {
      if (effect.kind === 'answer') callers.answered(effect.request, effect.outcome)
      else if (effect.kind === 'reserved') callers.reserved(effect.request, effect.reservation)
      else if (effect.kind === 'store-fence') {
        const { incarnation: fenced } = effect
        platform.fence(fenced, (membership) =>
          process.input({ kind: 'fence-stored', incarnation: fenced, ...(membership ? { membership } : {}) }))
      } else if (effect.kind === 'store-departure') platform.depart(effect.member, () => {})
      else if (effect.kind === 'drained') onLeft(process)
    }
  })
  const read = (): void => platform.read(reader, (membership) => process.host.receive(() => {
    if (membership) process.input({ kind: 'membership', membership })
    timers.after(READ_INTERVAL_MS, () => process.host.receive(read))
  }))
  process.input({ kind: 'rules', rules })
  read()
  return process
}
