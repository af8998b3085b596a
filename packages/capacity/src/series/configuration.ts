import * as clocks from '@mustarddeck/clock'
import * as configurations from '@mustarddeck/configuration'
import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import type * as log from '@mustarddeck/log'
import type * as messages from '@mustarddeck/messages'
import * as platforms from '@mustarddeck/platform'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import type * as series from '../series.ts'

const LINK_MS = 0.5
const HEARTBEAT_MS = 1000
const ENTRIES = 4
const silent: log.Log = { debug () {}, info () {}, warn () {}, error () {}, with: () => silent }

const setOf = (teams: number): declarations.Declarations => {
  const lines = Array.from({ length: teams }, (_, team) => `[team.team-${team}]\nweight = ${team + 1}`)
  const text = `[priority-class.counter]\nrank = 0\ntargetWaitMs = 200\n${lines.join('\n')}`
  const result = declarations.parse([{ file: 'capacity', text }])
  errors.invariant(result.kind === 'ok', 'the set is sound')
  return result.value
}

interface Spread {
  agents: number
  /** Time from the publication until the last process has it in force. */
  virtualMs: number
  /** Sets that the entries sent to agents, for each agent. */
  setsPerAgent: number
}

/** Entries follow the store, and agents learn of a version by the entries' heartbeats. */
const spread = async (agents: number): Promise<Spread> => {
  const timers = clocks.createVirtual()
  const store = platforms.createMemory({ timers, faults: { readMs: 5, writeMs: 10 } })
  const generator = randoms.create(1)
  const followers: configurations.Follower[] = []
  let sets = 0
  let inForceMs = 0
  const send = (from: number, to: number, message: messages.Message): void => {
    if (message.kind === 'configuration-set') sets++
    timers.after(LINK_MS, () => { followers[to]!.message(from as types.LinkId, message) })
  }
  const add = (index: number, withStore: boolean): void => {
    followers.push(configurations.createFollower({
      timers,
      random: generator.fork(),
      log: silent,
      ...withStore && { store },
      send: (link, message) => send(index, link, message),
      adopted: () => { inForceMs = timers.monotonic() }
    }))
  }
  for (let index = 0; index < ENTRIES + agents; index++) add(index, index < ENTRIES)
  const beat = (entry: number, agent: number): void => {
    const version = followers[entry]!.version()
    timers.after(LINK_MS, () => { followers[agent]!.announced(entry as types.LinkId, version) })
    timers.after(HEARTBEAT_MS, () => beat(entry, agent))
  }
  for (let entry = 0; entry < ENTRIES; entry++) {
    followers[entry]!.start()
    for (let agent = ENTRIES; agent < ENTRIES + agents; agent++) {
      timers.after(generator.float() * HEARTBEAT_MS, () => beat(entry, agent))
    }
  }
  const publisher = configurations.createPublisher({ ...store, retry: { timers, random: generator.fork() } })
  const publish = publisher.publish({ declarations: setOf(1), change: 'change', operator: 'capacity' })
  const published = await platforms.drive(timers, publish)
  errors.invariant(published.kind === 'ok', 'the set is published')
  const publishedMs = timers.monotonic()
  const wait = new Promise<void>((resolve) => timers.after(5 * HEARTBEAT_MS, resolve))
  await platforms.drive(timers, wait)
  errors.invariant(followers.every((follower) => follower.version() === 1), 'the version is in force everywhere')
  return { agents, virtualMs: inForceMs - publishedMs, setsPerAgent: sets / agents }
}

export const spreads = async (sizes: number[]): Promise<series.Series[]> => {
  const results: Spread[] = []
  for (const agents of sizes) results.push(await spread(agents))
  const common = { mechanism: 'configuration (follow)', x: 'agents' }
  return [
    {
      ...common,
      id: 'configuration-spread',
      title: `time until a version is in force everywhere, ${ENTRIES} entries, virtual clock`,
      y: 'ms',
      points: results.map(({ agents, virtualMs }) => ({ x: agents, y: virtualMs }))
    },
    {
      ...common,
      id: 'configuration-sets',
      title: 'whole sets sent per agent and version',
      y: 'sets',
      points: results.map(({ agents, setsPerAgent }) => ({ x: agents, y: setsPerAgent }))
    }
  ]
}

/** Bytes of a set by its objects. */
export const sizes = (teams: number[]): series.Series => ({
  id: 'configuration-bytes',
  title: 'bytes of a configuration by its objects (teams)',
  mechanism: 'declarations',
  x: 'objects',
  y: 'bytes',
  points: teams.map((count) => ({ x: count, y: Buffer.byteLength(declarations.serialize(setOf(count))) }))
})
