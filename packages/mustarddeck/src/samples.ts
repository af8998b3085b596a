import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as sea from 'node:sea'
import * as clock from '@mustarddeck/clock'
import * as configuration from '@mustarddeck/configuration'
import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

export type SampleName = 'corkbook' | 'benchdesk'

/** Sample declarations, a job that they accept, and the size of the workers. */
export interface Sample {
  name: SampleName
  /** Path and content of each declarations file. */
  files: { file: string, text: string }[]
  failureDomains: string[]
  /** Slots of each worker. */
  slots: number
  /** Connections from each agent to its backend server. */
  connections: number
  resources: types.Resources
  /** A job that the sample's declarations accept. */
  job: { team: string, type: string, tasks: { name: string, payload: unknown }[] }
}

const FILES = ['fleet.toml', 'tasks.toml', 'teams.toml']

/** Reads an embedded asset of the single executable, or the file in the source tree when run from source. */
const readAsset = (file: string): string => sea.isSea()
  ? sea.getAsset(file, 'utf8')
  : fs.readFileSync(new URL(`../../../${file}`, import.meta.url), 'utf8')

const readDeclarations = (name: SampleName): Sample['files'] =>
  FILES.map((file) => `examples/${name}/${file}`).map((file) => ({ file, text: readAsset(file) }))

const SLOTS = 8
const CONNECTIONS = 64

const sampleLayouts: Record<SampleName, Omit<Sample, 'name' | 'files'>> = {
  corkbook: {
    failureDomains: ['khangai-a', 'khangai-b', 'khangai-c'],
    slots: SLOTS,
    connections: CONNECTIONS,
    resources: { cores: 16, memoryMb: 32_000, accelerators: 0 },
    job: {
      team: 'depots',
      type: 'weigh-in',
      tasks: [{ name: 'left-scale', payload: { kg: 412 } }, { name: 'right-scale', payload: { kg: 398 } }]
    }
  },
  benchdesk: {
    failureDomains: ['waco-floor', 'temple-bay', 'bryan-dock'],
    slots: SLOTS,
    connections: CONNECTIONS,
    resources: { cores: 32, memoryMb: 64_000, accelerators: 0 },
    job: {
      team: 'waco',
      type: 'wiring-check',
      tasks: [{ name: 'wire-1', payload: { from: 'J1-4' } }, { name: 'wire-2', payload: { from: 'J1-5' } }]
    }
  }
}

export const load = (name: SampleName): Sample => ({ name, files: readDeclarations(name), ...sampleLayouts[name] })

/** Publishes the sample's declarations to the platform; rejects if publishing fails. */
export const publish = async (sample: Sample, platformUrl: string): Promise<void> => {
  const set = declarations.parse(sample.files)
  errors.invariant(set.kind === 'ok', JSON.stringify(set))
  const store = platform.createClient({ url: platformUrl })
  const retry = { timers: clock.createSystem(), random: random.create(process.pid) }
  const publisher = configuration.createPublisher({ ...store, retry })
  const published = await publisher.publish({
    declarations: set.value, change: crypto.randomUUID(), operator: 'sample', base: 0
  })
  store.close()
  if (published.kind === 'error') throw new Error(`the sample was not published: ${JSON.stringify(published.error)}`)
}
