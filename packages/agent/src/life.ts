import * as agentCore from '@mustarddeck/agent-core'
import type * as clock from '@mustarddeck/clock'
import * as link from '@mustarddeck/link'
import type * as log from '@mustarddeck/log'
import type * as membership from '@mustarddeck/membership'
import * as messages from '@mustarddeck/messages'
import type * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import type * as types from '@mustarddeck/types'
import * as crypto from 'node:crypto'
import type * as calls from './calls.ts'
import * as registrations from './registration.ts'

/** One incarnation of the agent: decision code, links and registration. */
export interface Life {
  start (): void
  /** Starts a graceful end; `onLeft` follows. */
  leave (): void
  /** Ends after `onLeft`: removes the incarnation from its row if `depart` is set, then closes the links. */
  end (depart: boolean): Promise<void>
  status (): Status
}

export interface Status {
  incarnation: types.Incarnation
  registered: boolean
  leaving: boolean
  running: number
  recordBytes: number
  links: link.Counts
}

export interface Parts {
  settings: settings.Agent
  calls: calls.Calls
  registry: membership.Registry
  log: log.Log
  timers: clock.Timers
  random: random.Random
  /** An operator asks the agent to stop gracefully. */
  onDrain (timeLimitMs: number): void
  /** Called for every end of a task. */
  onExecuted (execution: agentCore.Execution): void
}

const INCARNATION_BYTES = 8

export const create = (parts: Parts, onLeft: () => void): Life => {
  const { timers, settings: { worker, failureDomain, slots, resources, limits, links: linkSettings } } = parts
  const incarnation = crypto.randomBytes(INCARNATION_BYTES).toString('hex') as types.Incarnation
  const member: types.Member = {
    worker: worker as types.WorkerName, incarnation, failureDomain: failureDomain as types.FailureDomainName
  }
  const logger = parts.log.with({ incarnation })
  const core = agentCore.create({ settings: { ...limits, worker: member.worker, incarnation, slots, resources } })
  let registered = false
  let leaving = false
  let timerAt: number | undefined
  let cancelTimer: clock.Cancellation = () => {}
  let ended = false

  const feed = (input: agentCore.Input): void => {
    if (ended) return
    for (const effect of core.handle(input, timers.monotonic())) apply(effect)
    wait()
  }
  const wait = (): void => {
    const at = ended ? undefined : core.deadline()
    if (at === timerAt) return
    cancelTimer()
    timerAt = at
    if (at === undefined || at === Infinity) return
    cancelTimer = timers.after(Math.max(0, at - timers.monotonic()), () => {
      timerAt = undefined
      feed({ kind: 'timer' })
    })
  }
  const execute = async (start: messages.Start): Promise<void> => {
    const { job, index, attempt, type, limitMs } = start
    logger.info('start', { job, index, attempt, type, limitMs })
    const execution = await parts.calls.execute(start)
    const fields = execution.kind === 'not-started' ? {} : { runMs: Math.round(execution.runMs) }
    const reason = execution.kind === 'failed' ? execution.reason : undefined
    logger.info('end', { job, index, attempt, end: execution.kind, reason, ...fields })
    parts.onExecuted(execution)
    feed({ kind: 'executed', job, index, execution })
  }
  const apply = (effect: agentCore.Effect): void => {
    switch (effect.kind) {
      case 'send': return links.send(effect.link, effect.message)
      case 'close': return links.close(effect.link, effect.reason)
      case 'execute':
        execute(effect.start)
        return
      case 'abort': return parts.calls.abort(effect.job, effect.index)
      case 'decision': return logger.info(effect.event, effect.fields)
      case 'left':
        logger.info('left')
        return onLeft()
    }
  }

  const links = link.create({
    key: linkSettings.key,
    limits: { maxFrameBytes: linkSettings.maxFrameBytes },
    hello: () => ({
      kind: 'hello',
      version: messages.PROTOCOL_VERSION,
      role: 'agent',
      name: worker,
      incarnation,
      failureDomain: member.failureDomain,
      registered,
      slots,
      resources,
      configuration: 0
    }),
    heartbeat: (_id, silent) => silent ? { kind: 'heartbeat', configuration: 0 } : undefined,
    handler: {
      up: (id, hello) => feed({ kind: 'link-up', link: id, hello }),
      message: (id, message) => message.kind === 'drain'
        ? parts.onDrain(message.timeLimitMs)
        : feed({ kind: 'message', link: id, message }),
      down: (id) => feed({ kind: 'link-down', link: id })
    },
    log: logger,
    timers,
    random: parts.random
  })
  const registration = registrations.create({
    registry: parts.registry,
    member,
    timers,
    random: parts.random,
    log: logger,
    onRegistered: ({ fences }) => {
      registered = true
      feed({ kind: 'registered', fences })
    },
    onDeparted: () => feed({ kind: 'leave' })
  })

  return {
    start: () => {
      registration.start()
      for (const address of linkSettings.entries) links.dial(address)
      wait()
    },
    leave: () => {
      leaving = true
      feed({ kind: 'leave' })
    },
    end: async (depart) => {
      ended = true
      cancelTimer()
      if (depart) await registration.depart()
      else registration.stop()
      await links.stop()
    },
    status: () => ({
      incarnation,
      registered,
      leaving,
      running: core.running(),
      recordBytes: core.bytes(),
      links: links.counts()
    })
  }
}
