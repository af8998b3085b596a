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
import type * as backendClient from './backend-client.ts'
import * as registrations from './registration.ts'

/** One incarnation of the agent: its decision logic, links and registration. */
export interface AgentIncarnation {
  start (): void
  /** Starts a graceful shutdown; `onLeft` is called when it is complete. */
  leave (): void
  /** To be called after `onLeft`. Removes the incarnation from its row if `depart` is true, then closes the links. */
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

export interface Dependencies {
  settings: settings.Agent
  calls: backendClient.BackendClient
  registry: membership.Registry
  log: log.Log
  timers: clock.Timers
  random: random.Random
  /** Called when an operator requests a graceful stop within `timeLimitMs`. */
  onDrain (timeLimitMs: number): void
  /** Called when the execution of a task has ended. */
  onExecuted (execution: agentCore.Execution): void
}

const INCARNATION_BYTES = 8

export const create = (dependencies: Dependencies, onLeft: () => void): AgentIncarnation => {
  const { timers, settings: { worker, failureDomain, slots, resources, limits, links: linkSettings } } = dependencies
  const incarnation = crypto.randomBytes(INCARNATION_BYTES).toString('hex') as types.Incarnation
  const member: types.Member = {
    worker: worker as types.WorkerName, incarnation, failureDomain: failureDomain as types.FailureDomainName
  }
  const logger = dependencies.log.with({ incarnation })
  const core = agentCore.create({ settings: { ...limits, worker: member.worker, incarnation, slots, resources } })
  let registered = false
  let leaving = false
  let timerDeadline: number | undefined
  let cancelTimer: clock.Cancellation = () => {}
  let ended = false

  const handleInput = (input: agentCore.Input): void => {
    if (ended) return
    for (const effect of core.handle(input, timers.monotonic())) applyEffect(effect)
    scheduleTimer()
  }
  const scheduleTimer = (): void => {
    const deadline = ended ? undefined : core.deadline()
    if (deadline === timerDeadline) return
    cancelTimer()
    timerDeadline = deadline
    if (deadline === undefined || deadline === Infinity) return
    cancelTimer = timers.after(Math.max(0, deadline - timers.monotonic()), () => {
      timerDeadline = undefined
      handleInput({ kind: 'timer' })
    })
  }
  const execute = async (start: messages.Start): Promise<void> => {
    const { job, index, attempt, type, limitMs } = start
    logger.info('start', { job, index, attempt, type, limitMs })
    const execution = await dependencies.calls.execute(start)
    const fields = execution.kind === 'not-started' ? {} : { runMs: Math.round(execution.runMs) }
    const reason = execution.kind === 'failed' ? execution.reason : undefined
    logger.info('end', { job, index, attempt, end: execution.kind, reason, ...fields })
    dependencies.onExecuted(execution)
    handleInput({ kind: 'executed', job, index, execution })
  }
  const applyEffect = (effect: agentCore.Effect): void => {
    switch (effect.kind) {
      case 'send': return links.send(effect.link, effect.message)
      case 'close': return links.close(effect.link, effect.reason)
      case 'execute':
        execute(effect.start)
        return
      case 'abort': return dependencies.calls.abort(effect.job, effect.index)
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
      up: (id, hello) => handleInput({ kind: 'link-up', link: id, hello }),
      message: (id, message) => message.kind === 'drain'
        ? dependencies.onDrain(message.timeLimitMs)
        : handleInput({ kind: 'message', link: id, message }),
      down: (id) => handleInput({ kind: 'link-down', link: id })
    },
    log: logger,
    timers,
    random: dependencies.random
  })
  const registration = registrations.create({
    registry: dependencies.registry,
    member,
    timers,
    random: dependencies.random,
    log: logger,
    onRegistered: ({ fences }) => {
      registered = true
      handleInput({ kind: 'registered', fences })
    },
    onDeparted: () => handleInput({ kind: 'leave' })
  })

  return {
    start: () => {
      registration.start()
      for (const address of linkSettings.entries) links.dial(address)
      scheduleTimer()
    },
    leave: () => {
      leaving = true
      handleInput({ kind: 'leave' })
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
