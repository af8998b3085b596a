import * as clock from '@mustarddeck/clock'
import * as configuration from '@mustarddeck/configuration'
import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import * as platformStandIn from '@mustarddeck/platform-stand-in'
import * as randoms from '@mustarddeck/random'
import * as settings from '../settings.ts'

const SEED = 1

/** The stand-in for the platform, with the benchmark's declarations published. */
export const start = async (): Promise<Record<string, string>> => {
  const timers = clock.createSystem()
  const { http, seed, faults } = settings.complete('platform stand-in', {})
  const { url } = await platformStandIn.start({ timers, ...http, seed, faults })
  const set = declarations.parse([{ file: 'bench.toml', text: settings.DECLARATIONS }])
  errors.invariant(set.kind === 'ok', JSON.stringify(set))
  const store = platform.createClient({ url })
  const retry = { timers, random: randoms.create(SEED) }
  const publisher = configuration.createPublisher({ ...store, retry })
  const published = await publisher.publish({
    declarations: set.value, change: 'bench', operator: 'bench', base: 0
  })
  errors.invariant(published.kind === 'ok', JSON.stringify(published))
  return { url }
}
