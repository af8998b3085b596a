import * as clock from '@mustarddeck/clock'
import * as logs from '@mustarddeck/log'
import * as platformStandIn from '@mustarddeck/platform-stand-in'
import type * as settings from '@mustarddeck/settings'
import type * as role from './role.ts'

/** Starts the platform stand-in with these settings. */
export const startPlatform = async (loaded: settings.PlatformStandIn): Promise<role.RunningRole & { url: string }> => {
  const { http, seed, faults, log: { level } } = loaded
  const log = logs.create({ level, fields: { role: 'platform-stand-in' } })
  const running = await platformStandIn.start({ timers: clock.createSystem(), ...http, seed, faults })
  log.info('platform-stand-in-started', { address: new URL(running.url).host })
  return {
    url: running.url,
    stop: async () => {
      await running.stop()
      log.info('platform-stand-in-stopped')
    }
  }
}
