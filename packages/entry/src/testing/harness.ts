import * as clock from '@mustarddeck/clock'
import type * as core from '@mustarddeck/entry-core'
import type * as errors from '@mustarddeck/errors'
import type * as platform from '@mustarddeck/platform'
import type * as types from '@mustarddeck/types'
import type * as drain from '../drain.ts'
import * as driver from '../driver.ts'
import * as idSource from '../id-source.ts'
import * as idempotency from '../idempotency.ts'
import * as requests from '../requests.ts'
import type * as status from '../status.ts'
import * as fakeCore from './fake-core.ts'
import * as silentLog from './silent-log.ts'
import * as limits from '../http/limits.ts'
import * as server from '../http/server.ts'

const DRAIN_REFUSALS: Record<string, drain.Failure> = {
  'worker-1': 'too-many-draining', 'worker-2': 'store-unavailable'
}
export const TOKEN = 'token-of-the-test-operator'

export interface Harness {
  url: string
  core: fakeCore.FakeCore
  refusals: string[]
  /** Method and path of every route, as `get /live`. */
  routes: string[]
  /** Makes the server report that it is draining. */
  drain: () => void
  stop: () => Promise<void>
}

const unavailable = async (): Promise<errors.Result<never, platform.StoreError>> =>
  ({ kind: 'error', error: { kind: 'unavailable', message: 'down' } })

const unavailableTable: platform.Table = { read: unavailable, list: unavailable, transact: unavailable }

const emptyStatus = (): status.Status => ({
  kind: 'status',
  name: 'entry-1' as status.Status['name'],
  incarnation: 'abcdefgh' as status.Status['incarnation'],
  failureDomain: 'khangai-a' as status.Status['failureDomain'],
  draining: false,
  jobs: 0,
  waitingTasks: 0,
  runningTasks: 0,
  bytes: 0,
  queues: [{
    type: 'payout' as types.TaskTypeName,
    priorityClass: 'counter' as types.PriorityClassName,
    waiting: 1,
    running: 2,
    flooding: false
  }],
  configuration: 0,
  openRequests: 0,
  entries: [],
  agents: [],
  refusals: {}
})

/** Starts the HTTP layer with a fake core on a free port of the loopback interface. */
export const start = async (
  answer: (input: core.Input) => core.Effect[],
  { table = unavailableTable, configured = true, ...limitOverrides }: Partial<limits.Limits> & {
    table?: platform.Table, configured?: boolean
  } = {}
): Promise<Harness> => {
  const timers = clock.createSystem()
  const core = fakeCore.create(answer)
  const refusals: string[] = []
  const coreDriver = driver.create({
    core,
    timers,
    log: silentLog.create(),
    links: () => ({ send: () => {}, close: () => {} }),
    requests: () => openRequests,
    registry: { fence: unavailable, depart: unavailable }
  })
  const openRequests = requests.create(coreDriver.input)
  const keys = idempotency.create({ table, ids: idSource.create(openRequests.reserve, timers), timers, limitMs: 2000 })
  let draining = false
  const dependencies: server.Dependencies = {
    requests: openRequests,
    keys,
    limits: { ...limits.defaults, ...limitOverrides },
    countRefusal: (reason) => { refusals.push(reason) },
    operator: {
      token: TOKEN,
      status: emptyStatus,
      drain: async (target) => target === 'entry-1'
        ? { kind: 'ok', value: undefined }
        : { kind: 'error', error: DRAIN_REFUSALS[target] ?? 'unknown-target' }
    },
    log: silentLog.create(),
    name: 'entry-1',
    draining: () => draining,
    configured: () => configured,
    metrics: async () => '# HELP up 1\n',
    recordResponse: () => {}
  }
  const http = server.create(dependencies)
  const address = await http.listen('127.0.0.1', 0)
  return {
    url: `http://${address}`,
    core,
    refusals,
    routes: server.routes(dependencies).stack.map(({ methods, path }) => `${methods.at(-1)!.toLowerCase()} ${String(path)}`),
    drain: () => { draining = true },
    stop: () => http.stop()
  }
}
