import * as backendStandIn from '@mustarddeck/backend-stand-in'
import * as clock from '@mustarddeck/clock'
import * as randoms from '@mustarddeck/random'
import * as settings from '../settings.ts'
import type * as roles from './roles.ts'

const SEED = 1

export const start = async ({ runMs }: roles.BackendRole): Promise<Record<string, string>> => {
  const server = backendStandIn.create({
    settings: settings.complete('backend stand-in', { run: { runMs, distribution: 'fixed' } }),
    timers: clock.createSystem(),
    random: randoms.create(SEED)
  })
  return { url: `http://${await server.listen()}` }
}
