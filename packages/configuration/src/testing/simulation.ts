import * as clock from '@mustarddeck/clock'
import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import type * as log from '@mustarddeck/log'
import type * as messages from '@mustarddeck/messages'
import * as platform from '@mustarddeck/platform'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as configuration from '../index.ts'

const LINK_MS = 1
const HEARTBEAT_MS = 1000

export const FAULTY: Partial<platform.Faults> =
  { readMs: 5, writeMs: 10, lostAnswers: 0.15, lostRequests: 0.1, staleReads: 0.4 }

/** Creates a small valid set. The weights of its teams identify the version. */
export const setOf = (weights: Record<string, number>): declarations.Declarations => {
  const teams = Object.entries(weights).map(([name, weight]) => `[team.${name}]\nweight = ${weight}`).join('\n')
  const text = `[priority-class.counter]\nrank = 0\ntargetWaitMs = 200\n${teams}`
  const result = declarations.parse([{ file: 'test', text }])
  errors.invariant(result.kind === 'ok', 'the set is valid')
  return result.value
}

export const silentLog: log.Log = { debug () {}, info () {}, warn () {}, error () {}, with: () => silentLog }

/** One incarnation of a process that follows the configuration. */
export interface Process {
  follower: configuration.Follower
  /** Versions that took effect, in order, with their rules. */
  adopted: { version: number, rules: types.Rules }[]
  requests: number
  /** While false, the store is unavailable to this process. */
  storeReachable: boolean
  stopped: boolean
  stop (): void
}

/** Simulates a store, operators and linked processes on one virtual clock. */
export const create = ({ seed = 1, faults = {}, attempts = 100 }: {
  seed?: number, faults?: Partial<platform.Faults>, attempts?: number
} = {}) => {
  const timers = clock.createVirtual()
  const store = platform.createMemory({ timers, seed, faults })
  const generator = random.create(seed)
  const processes: Process[] = []
  const cut = new Set<string>()
  const linkName = (a: Process, b: Process): string => [processes.indexOf(a), processes.indexOf(b)].sort().join('-')
  const connected = (a: Process, b: Process): boolean => a !== b && !a.stopped && !b.stopped && !cut.has(linkName(a, b))

  /** Delivers a message if the link is up both when it is sent and when it arrives. */
  const deliver = (from: Process, to: Process, message: messages.Message): void => {
    if (!connected(from, to)) return
    timers.after(LINK_MS, () => {
      if (!connected(from, to)) return
      if (message.kind === 'configuration-request') to.requests += 1
      to.follower.message(processes.indexOf(from) as types.LinkId, message)
    })
  }
  const reachable = (process: () => Process): platform.Table => {
    class Reachable extends platform.Table {
      read = (key: string) => guard(() => store.table.read(key))
      list = (prefix: string) => guard(() => store.table.list(prefix))
      transact = (transaction: platform.Transaction) => guard(() => store.table.transact(transaction))
    }
    const guard = async <Value>(
      action: () => Promise<errors.Result<Value, platform.StoreError>>
    ): Promise<errors.Result<Value, platform.StoreError>> =>
      process().storeReachable ? action() : errors.error({ kind: 'unavailable', message: 'store unreachable' })
    return new Reachable()
  }
  const startProcess = ({ withStore = true } = {}): Process => {
    const process: Process = {
      adopted: [],
      requests: 0,
      storeReachable: true,
      stopped: false,
      stop: () => {
        process.stopped = true
        process.follower.stop()
      },
      follower: configuration.createFollower({
        timers,
        random: generator.fork(),
        log: silentLog,
        ...withStore && { store: { table: reachable(() => process), objects: store.objects } },
        send: (link, message) => deliver(process, processes[link]!, message),
        adopted: ({ version }, rules) => process.adopted.push({ version, rules })
      })
    }
    processes.push(process)
    const heartbeat = (): void => {
      for (const peer of processes) {
        const { version } = process.follower
        const announced = version()
        if (connected(process, peer)) {
          timers.after(LINK_MS, () => {
            if (connected(process, peer)) peer.follower.announced(processes.indexOf(process) as types.LinkId, announced)
          })
        }
      }
      timers.after(HEARTBEAT_MS, heartbeat)
    }
    heartbeat()
    process.follower.start()
    return process
  }
  /** Cuts or restores the link between two processes. */
  const setLink = (a: Process, b: Process, up: boolean): void => {
    if (up) cut.delete(linkName(a, b))
    else if (connected(a, b)) {
      cut.add(linkName(a, b))
      a.follower.down(processes.indexOf(b) as types.LinkId)
      b.follower.down(processes.indexOf(a) as types.LinkId)
    }
  }
  const publisher = () => configuration.createPublisher({
    ...store, retry: { timers, random: generator.fork(), attempts }
  })
  let changes = 0
  const publish = (
    weights: Record<string, number>, base?: number
  ): Promise<configuration.PublishResult> => publisher().publish({
    declarations: setOf(weights), change: `change-${++changes}`, operator: 'test', base
  })
  const run = <Value>(promise: Promise<Value>): Promise<Value> => platform.drive(timers, promise)
  const wait = (durationMs: number): Promise<void> =>
    run(new Promise((resolve) => timers.after(durationMs, resolve)))
  return { timers, ...store, generator, processes, startProcess, setLink, publisher, publish, run, wait }
}
