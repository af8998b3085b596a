import * as clock from '@mustarddeck/clock'
import * as log from '@mustarddeck/log'
import * as random from '@mustarddeck/random'
import type * as settings from '@mustarddeck/settings'
import * as standIns from './stand-in.ts'

export interface Running {
  /** Host and port. */
  address: string
  stop (): Promise<void>
}

/** Starts a stand-in with the system clock. */
export const start = async (loaded: settings.BackendStandIn): Promise<Running> => {
  const logger = log.create({ level: loaded.log.level, fields: { role: 'backend-stand-in' } })
  const standIn = standIns.create({
    settings: loaded, timers: clock.createSystem(), random: random.create(loaded.seed)
  })
  const address = await standIn.listen()
  logger.info('backend-stand-in-started', { address })
  return { address, stop: standIn.stop }
}
