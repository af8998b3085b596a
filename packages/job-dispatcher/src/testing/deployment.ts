import type * as clock from '@mustarddeck/clock'
import type * as logging from '@mustarddeck/log'
import type * as random from '@mustarddeck/random'
import * as runAgent from '@mustarddeck/run-agent'
import * as runs from '@mustarddeck/runs'
import * as standIn from '@mustarddeck/worker-stand-in'
import * as jobDispatcher from '../index.ts'
import * as links from './links.ts'
import * as processes from './processes.ts'

/** Interval in ms of a worker's announcements to its agent. */
const ANNOUNCE_MS = 400
export const AMOUNT = { millicores: 1000, memoryMb: 64, accelerators: 0 }

export interface Options {
  timers: clock.VirtualClock
  generator: random.Random
  entryCount: number
  workerCount: number
  tasksPerWorker: number
  runMsOf (task: runs.TaskId): number
  /** Records what happens. */
  trace (...event: unknown[]): void
}

/** An entry or agent process; `links` holds its open ends by link id. */
interface Member {
  process: processes.Process
  incarnation: string
  links: Map<number, links.Link>
}
export interface Entry extends Member { dispatcher: jobDispatcher.Dispatcher }
export interface Agent extends Member { runAgent: runAgent.Agent }

class TracedRuns extends Map<runs.TaskId, string> {
  readonly #trace: Options['trace']

  constructor (trace: Options['trace']) {
    super()
    this.#trace = trace
  }

  override set (task: runs.TaskId, worker: string): this {
    this.#trace(worker, 'runs', task)
    return super.set(task, worker)
  }

  override delete (task: runs.TaskId): boolean {
    this.#trace(this.get(task), 'no longer runs', task)
    return super.delete(task)
  }
}

/** Calls of one agent process: without it there are no further calls, and no answers reach anyone. */
class ProcessCalls extends runs.WorkerCalls {
  readonly #calls: runs.WorkerCalls
  readonly #process: processes.Process

  constructor (calls: runs.WorkerCalls, process: processes.Process) {
    super()
    this.#calls = calls
    this.#process = process
  }

  override start (...call: Parameters<runs.WorkerCalls['start']>): Promise<runs.StartReply> {
    return this.#answer(() => this.#calls.start(...call))
  }

  override stop (...call: Parameters<runs.WorkerCalls['stop']>): Promise<runs.StopReply> {
    return this.#answer(() => this.#calls.stop(...call))
  }

  override list (...call: Parameters<runs.WorkerCalls['list']>): Promise<runs.ListReply> {
    return this.#answer(() => this.#calls.list(...call))
  }

  #answer<Reply> (call: () => Promise<Reply>): Promise<Reply> {
    return new Promise((resolve) => {
      if (!this.#process.hasEnded()) call().then((reply) => this.#process.run(() => resolve(reply)))
    })
  }
}

/** Real entries and agents on simulated workers and links, all on one virtual clock. */
export const create = ({
  timers, generator, entryCount, workerCount, tasksPerWorker, runMsOf, trace
}: Options) => {
  const site = standIn.createSite()
  site.running = new TracedRuns(trace)
  const workers = Array.from({ length: workerCount }, (_, index) => standIn.create({
    id: `worker-${index}`,
    capacity: { millicores: AMOUNT.millicores * tasksPerWorker, memoryMb: 10_000, accelerators: 0 },
    resourcesOf: () => AMOUNT,
    runMsOf,
    site,
    timers
  }))
  /** Paths between each worker's machine and each entry's, in both directions. */
  const paths = workers.map(() => Array.from({ length: entryCount }, () => {
    const createPath = (): links.Path => ({ latencyMs: () => generator.integer(1, 4), blockedUntil: 0 })
    return { toEntry: createPath(), toAgent: createPath() }
  }))
  const agents: Agent[] = []
  const entries: Entry[] = []
  let nextLink = 1
  let nextIncarnation = 1

  const logOf = (name: string): logging.Log => {
    const write = (event: string, fields: Record<string, unknown> = {}): void => trace(name, event, fields)
    const log: logging.Log = { debug: () => {}, info: write, warn: write, error: write, with: () => log }
    return log
  }
  const createMember = (role: 'agent' | 'entry', onPause: () => void): Member => {
    const member: Member = {
      process: processes.create(timers, () => {
        onPause()
        for (const link of [...member.links.values()]) link.close(role)
      }),
      incarnation: `${role}-${nextIncarnation++}`,
      links: new Map()
    }
    return member
  }
  const startEntry = (index: number): void => {
    const member = createMember('entry', () => {})
    const dispatcher = jobDispatcher.create({
      timers: member.process.timers,
      log: logOf(`entry-${index}`),
      zone: 'khangai-a',
      lapseAfterMs: runAgent.STOPPED_AFTER_MS,
      send: (link, message) => member.links.get(link)?.send('entry', message),
      onJobEnd: () => {},
      onRefusedOrder: () => {}
    })
    entries[index] = { ...member, dispatcher }
    trace(`entry-${index}`, 'started', member.incarnation)
  }
  const startAgent = (index: number): void => {
    const worker = workers[index]!
    const former = agents[index]?.runAgent.worker()
    const member = createMember('agent', () => agent.resumed())
    const agent = runAgent.create({
      calls: new ProcessCalls(worker.calls, member.process),
      timers: member.process.timers,
      maxLeaseMs: standIn.MAX_LEASE_MS,
      log: logOf(`agent-${index}`),
      send: (link, message) => member.links.get(link)?.send('agent', message),
      closeExpiredLinks: () => { for (const link of [...member.links.values()]) link.closeExpired('agent') },
      onWorkerChange: () => {},
      onRunEnd: () => {}
    })
    agents[index] = { ...member, runAgent: agent }
    trace(`agent-${index}`, 'started', member.incarnation)
    // From the store, where it may be out of date.
    if (former) member.process.timers.after(generator.integer(1, 200), () => agent.workerAnnounced(former, undefined))
    for (const entry of entries.keys()) dial(index, entry)
  }
  const announce = (index: number): void => {
    timers.after(ANNOUNCE_MS, () => announce(index))
    if (workers[index]!.faults.unresponsive) return
    const announced = workers[index]!.worker()
    timers.after(generator.integer(1, 50), () => {
      const { process, runAgent: agent } = agents[index]!
      process.run(() => agent.workerAnnounced(announced, undefined))
    })
  }
  /** Keeps a link from the current process of the agent to the entry. */
  const dial = (agentIndex: number, entryIndex: number): void => {
    const agent = agents[agentIndex]!
    const retry = (): void => {
      agent.process.timers.after(generator.integer(25, 250), () => dial(agentIndex, entryIndex))
    }
    const entry = entries[entryIndex]!
    const { toEntry, toAgent } = paths[agentIndex]![entryIndex]!
    const now = timers.monotonic()
    if (!entry.process.isRunning() || Math.max(toEntry.blockedUntil, toAgent.blockedUntil) > now) return retry()
    const id = nextLink++
    const link = links.create(timers, {
      process: agent.process,
      path: toEntry,
      receive: (message) => agent.runAgent.receive(id, message as runs.ToAgent),
      down: () => {
        trace(`agent-${agentIndex}`, 'link-down', { link: id })
        agent.links.delete(id)
        agent.runAgent.linkDown(id)
        retry()
      }
    }, {
      process: entry.process,
      path: toAgent,
      receive: (message) => entry.dispatcher.receive(id, message as runs.FromAgent),
      down: (trustedUntil) => {
        trace(`entry-${entryIndex}`, 'link-down', { link: id, trustedUntil: Math.round(trustedUntil) })
        entry.links.delete(id)
        entry.dispatcher.agentDown(id, trustedUntil)
      }
    })
    trace('link-up', { link: id, agent: agentIndex, entry: entryIndex })
    agent.links.set(id, link)
    entry.links.set(id, link)
    entry.dispatcher.agentUp(id, `agent-${agentIndex}`, agent.incarnation)
    agent.runAgent.linkUp(id, entry.incarnation)
  }
  /** Ends the process; with its sockets closed, the other ends learn of it at once. */
  const end = (member: Member, role: 'agent' | 'entry'): void => {
    member.process.end()
    for (const link of member.links.values()) link.close(role)
    member.links.clear()
  }
  const endAgent = (index: number): void => {
    trace(`agent-${index}`, 'ended')
    end(agents[index]!, 'agent')
    agents[index]!.runAgent.stop()
  }
  const endEntry = (index: number): void => {
    trace(`entry-${index}`, 'ended')
    end(entries[index]!, 'entry')
    entries[index]!.dispatcher.stop()
  }

  for (let index = 0; index < entryCount; index++) startEntry(index)
  for (let index = 0; index < workerCount; index++) {
    startAgent(index)
    announce(index)
  }
  return { agents, endAgent, endEntry, entries, paths, site, startAgent, startEntry, workers }
}

export type Deployment = ReturnType<typeof create>
