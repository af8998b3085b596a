import * as backendStandIn from '@mustarddeck/backend-stand-in'
import * as clock from '@mustarddeck/clock'
import * as logs from '@mustarddeck/log'
import * as platformStandIn from '@mustarddeck/platform-stand-in'
import * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import type * as role from './role.ts'

export interface StandIn extends role.Running {
  url: string
}

const announce = (name: string, { level }: settings.PlatformStandIn['log'], url: string): logs.Log => {
  const log = logs.create({ level, fields: { role: name } })
  log.info('started', { http: url })
  return log
}

export const startPlatform = async (
  given: settings.PlatformStandIn
): Promise<StandIn & { memory: platformStandIn.StandIn['memory'] }> => {
  const { http, seed, faults } = given
  const running = await platformStandIn.start({ timers: clock.createSystem(), ...http, seed, faults })
  const log = announce('platform stand-in', given.log, running.url)
  const stop = async (): Promise<void> => {
    await running.stop()
    log.info('stopped')
  }
  return { url: running.url, memory: running.memory, stop }
}

export const startBackend = async (
  given: settings.BackendStandIn
): Promise<StandIn & { server: backendStandIn.BackendStandIn }> => {
  const timers = clock.createSystem()
  const server = backendStandIn.create({ settings: given, timers, random: random.create(given.seed) })
  const url = `http://${await server.listen()}`
  const log = announce('backend stand-in', given.log, url)
  const stop = async (): Promise<void> => {
    await server.stop()
    log.info('stopped')
  }
  return { url, server, stop }
}
