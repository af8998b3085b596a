import type * as clock from '@mustarddeck/clock'
import * as kernel from '@mustarddeck/kernel'
import type * as log from '@mustarddeck/log'
import type * as membership from '@mustarddeck/membership'
import type * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import * as backendClient from './backend-client.ts'
import * as agentMetrics from './agent-metrics.ts'
import * as health from './health.ts'
import * as incarnations from './incarnation.ts'

/** Agent process that runs beside a backend server and executes tasks on it. */
export interface Agent {
  /** Resolves to the host and port of `/live`, `/ready` and `/metrics`. */
  start (): Promise<string>
  /** Stops gracefully: waits until running tasks have ended and the entries have received all outcomes. */
  stop (): Promise<void>
  status (): incarnations.Status
}

export interface Settings {
  settings: settings.Agent
  registry: membership.Registry
  log: log.Log
  timers: clock.Timers
  random: random.Random
  /** Called once when an operator requests a drain; the caller is expected to call `stop`. */
  onDrain? (): void
}

export const create = (dependencies: Settings): Agent => {
  const { settings, timers, log: logger } = dependencies
  const services = kernel.create()
  let incarnation: incarnations.AgentIncarnation
  let stopping = false
  let onStopped: () => void = () => {}

  const metrics = agentMetrics.create(() => incarnation.status())
  let drainRequested = false
  const drain = (timeLimitMs: number): void => {
    if (drainRequested) return
    drainRequested = true
    logger.info('drain', { timeLimitMs })
    timers.after(timeLimitMs, () => logger.warn('drain-overdue', { running: incarnation.status().running }))
    dependencies.onDrain?.()
  }
  const incarnationDependencies: incarnations.Dependencies = {
    ...dependencies,
    calls: backendClient.create(settings.backend, timers),
    onExecuted: metrics.recordExecution,
    onDrain: drain
  }

  /** Replaces an incarnation that was removed from the agent's row by a new one in the same process. */
  const beginNewIncarnation = async (): Promise<void> => {
    await incarnation.end(false)
    if (stopping) return onStopped()
    logger.info('new-incarnation')
    begin()
  }
  const begin = (): void => {
    incarnation = incarnations.create(incarnationDependencies, () => {
      if (stopping) onStopped()
      else beginNewIncarnation()
    })
    incarnation.start()
  }
  const leave = async (): Promise<void> => {
    stopping = true
    const left = new Promise<void>((resolve) => { onStopped = resolve })
    incarnation.leave()
    await left
    await incarnation.end(true)
  }

  const healthServer = health.create({
    ...settings.http,
    isReady: () => !incarnation.status().leaving && incarnation.status().links.links > 0,
    metrics: metrics.export
  })
  services.register('health', healthServer)
  services.register('incarnation', { start: begin, stop: leave })
  return {
    start: async () => {
      await services.start()
      logger.info('agent-started', { address: healthServer.address(), worker: settings.worker, slots: settings.slots })
      return healthServer.address()
    },
    stop: async () => {
      await services.stop()
      logger.info('agent-stopped')
    },
    status: () => incarnation.status()
  }
}

export type { Status } from './incarnation.ts'
