import type * as clock from '@mustarddeck/clock'
import * as kernel from '@mustarddeck/kernel'
import type * as log from '@mustarddeck/log'
import type * as membership from '@mustarddeck/membership'
import type * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import * as calls from './calls.ts'
import * as counts from './counts.ts'
import * as health from './health.ts'
import * as lives from './life.ts'

/** The process beside a backend server. */
export interface Agent {
  /** Returns host and port of `/live`, `/ready` and `/metrics`. */
  start (): Promise<string>
  /** Leaves gracefully: running tasks end, and the entries get all outcomes. */
  stop (): Promise<void>
  status (): lives.Status
}

export interface Settings {
  settings: settings.Agent
  registry: membership.Registry
  log: log.Log
  timers: clock.Timers
  random: random.Random
  /** An operator asks for a graceful stop, for which the owner of the agent calls `stop`. */
  onDrain? (): void
}

export const create = (parts: Settings): Agent => {
  const { settings, timers, log: logger } = parts
  const services = kernel.create()
  let life: lives.Life
  let stopping = false
  let onStopped: () => void = () => {}

  const count = counts.create(() => life.status())
  let drainRequested = false
  const drain = (timeLimitMs: number): void => {
    if (drainRequested) return
    drainRequested = true
    logger.info('drain', { timeLimitMs })
    timers.after(timeLimitMs, () => logger.warn('drain-overdue', { running: life.status().running }))
    parts.onDrain?.()
  }
  const lifeParts: lives.Parts = {
    ...parts, calls: calls.create(settings.backend, timers), onExecuted: count.ended, onDrain: drain
  }

  /** An incarnation that was removed from its row ends, and the process goes on under a new one. */
  const renew = async (): Promise<void> => {
    await life.end(false)
    if (stopping) return onStopped()
    logger.info('new-incarnation')
    begin()
  }
  const begin = (): void => {
    life = lives.create(lifeParts, () => {
      if (stopping) onStopped()
      else renew()
    })
    life.start()
  }
  const leave = async (): Promise<void> => {
    stopping = true
    const left = new Promise<void>((resolve) => { onStopped = resolve })
    life.leave()
    await left
    await life.end(true)
  }

  const port = health.create({
    ...settings.http,
    isReady: () => !life.status().leaving && life.status().links.links > 0,
    metrics: count.export
  })
  services.register('health', port)
  services.register('life', { start: begin, stop: leave })
  return {
    start: async () => {
      await services.start()
      logger.info('agent-started', { address: port.address(), worker: settings.worker, slots: settings.slots })
      return port.address()
    },
    stop: async () => {
      await services.stop()
      logger.info('agent-stopped')
    },
    status: () => life.status()
  }
}

export type { Status } from './life.ts'
