import * as childProcess from 'node:child_process'
import * as children from '../../live-bench/src/children.ts'
import type * as callers from '../../live-bench/src/callers.ts'
import type * as series from './series.ts'

const AGENTS_PER_PROCESS = 200
const SLOTS = 16
const RUN_MS = 50
const SETTLE_MS = 1500
const WINDOW_MS = 4000

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Sum of the samples whose line begins with `prefix`. */
const readMetric = async (url: string, prefix: string): Promise<number> => {
  const text = await (await fetch(`${url}/metrics`)).text()
  const lines = text.split('\n').filter((line) => line.startsWith(prefix))
  return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}

interface Usage {
  /** Processor time in us and link traffic in bytes, both per second. */
  processorUs: number
  bytes: number
  startsPerSecond: number
}

type Child = Awaited<ReturnType<typeof children.start>>

/** What a process uses in a window of time; `url` is where it answers `/metrics`. */
const observe = async (child: Child, url: string, windowMs = WINDOW_MS): Promise<Usage> => {
  const sample = async () => ({
    at: performance.now(),
    processorMs: child.processorMs(),
    bytes: await readMetric(url, 'mustarddeck_link_bytes'),
    starts: await readMetric(url, 'mustarddeck_messages_sent_total{kind="start"}')
  })
  const before = await sample()
  await sleep(windowMs)
  const after = await sample()
  const seconds = (after.at - before.at) / 1000
  return {
    processorUs: (after.processorMs - before.processorMs) * 1000 / seconds,
    bytes: (after.bytes - before.bytes) / seconds,
    startsPerSecond: (after.starts - before.starts) / seconds
  }
}

const startPlatform = async () => {
  const platform = await children.start({ role: 'platform' })
  return { platform, url: platform.answer['url']! }
}

const startFleet = (entry: string, agents: number): Promise<Child[]> => {
  const processes = Math.ceil(agents / AGENTS_PER_PROCESS)
  return Promise.all(Array.from({ length: processes }, (_, index) => {
    const first = index * AGENTS_PER_PROCESS
    const count = Math.min(AGENTS_PER_PROCESS, agents - first)
    return children.start({ role: 'fleet', entry, agents: count, slots: SLOTS, runMs: RUN_MS, first })
  }))
}

const waitForLinks = async (url: string, agents: number): Promise<void> => {
  while (await readMetric(url, 'mustarddeck_linked_agents') < agents) await sleep(20)
}

/** A fresh entry process to which all agents link at once and that is idle then. */
const idleEntry = async (platform: string, agents: number) => {
  const entry = await children.start({ role: 'entry', platform, logLevel: 'info' })
  const url = entry.answer['url']!
  await sleep(SETTLE_MS)
  const before = entry.processorMs()
  const fleets = await startFleet(entry.answer['address']!, agents)
  await waitForLinks(url, agents)
  await sleep(SETTLE_MS)
  const linkMs = entry.processorMs() - before
  await sleep(SETTLE_MS)
  const usage = await observe(entry, url)
  const memory = entry.memory()
  for (const child of [...fleets, entry]) child.stop()
  return { agents, linkMs: Math.max(0, linkMs - usage.processorUs * SETTLE_MS / 1e6), usage, memory }
}

export const entryByAgents = async (sizes: number[]): Promise<series.Series[]> => {
  const { platform, url } = await startPlatform()
  const results: Awaited<ReturnType<typeof idleEntry>>[] = []
  for (const agents of sizes) results.push(await idleEntry(url, agents))
  platform.stop()
  const make = (
    id: string, title: string, y: string, value: (result: typeof results[0]) => number, mechanism = 'link, entry'
  ): series.Series => ({
    id, title, mechanism, x: 'agents', y, points: results.map((result) => ({ x: result.agents, y: value(result) }))
  })
  return [
    make('live-entry-idle', 'entry process, idle links', 'us/s', ({ usage }) => usage.processorUs),
    make('live-entry-bytes', 'entry process, idle links, both directions', 'B/s', ({ usage }) => usage.bytes),
    make('live-entry-anonymous', 'entry process, anonymous memory', 'MB', ({ memory }) => memory.anonymousMb),
    make('live-entry-resident', 'entry process, resident memory', 'MB', ({ memory }) => memory.residentMb),
    make('live-entry-link-up', 'entry process, all agents link up at once', 'ms', ({ linkMs }) => linkMs,
      'link (handshake), entry-core')
  ]
}

const LOAD_AGENTS = 100
const STARTS_PER_SECOND = 1600

/** Processor time and link traffic of an entry process per job, by the number of tasks in it. */
export const entryByTasks = async (sizes: number[]): Promise<series.Series[]> => {
  const { platform, url: platformUrl } = await startPlatform()
  const entry = await children.start({ role: 'entry', platform: platformUrl, logLevel: 'info' })
  const url = entry.answer['url']!
  const fleets = await startFleet(entry.answer['address']!, LOAD_AGENTS)
  await waitForLinks(url, LOAD_AGENTS)
  await sleep(SETTLE_MS)
  const idle = await observe(entry, url)
  const results: { tasks: number, processorUs: number, bytes: number }[] = []
  for (const tasks of sizes) {
    const call = children.call({
      role: 'callers',
      url,
      concurrency: 0,
      ratePerSecond: STARTS_PER_SECOND / tasks,
      tasksPerJob: tasks,
      runMs: RUN_MS,
      warmUpMs: SETTLE_MS,
      durationMs: WINDOW_MS + 1000
    })
    await sleep(SETTLE_MS + 500)
    const usage = await observe(entry, url)
    const { failures } = await call
    if (failures > 0) process.stderr.write(`${failures} jobs of ${tasks} tasks were not complete\n`)
    const jobs = usage.startsPerSecond / tasks
    results.push({
      tasks, processorUs: (usage.processorUs - idle.processorUs) / jobs, bytes: (usage.bytes - idle.bytes) / jobs
    })
  }
  for (const child of [...fleets, entry, platform]) child.stop()
  const common = { mechanism: 'entry (HTTP), entry-core, link', x: 'tasks' }
  return [
    {
      ...common,
      id: 'live-entry-job',
      title: 'entry process, processor time per job by its tasks',
      y: 'us',
      points: results.map(({ tasks, processorUs }) => ({ x: tasks, y: processorUs }))
    },
    {
      ...common,
      id: 'live-entry-job-bytes',
      title: 'entry process, link traffic per job by its tasks',
      y: 'bytes',
      points: results.map(({ tasks, bytes }) => ({ x: tasks, y: bytes }))
    }
  ]
}

const agentRole = (platform: string, entries: string[], backend: string) =>
  ({ role: 'agent', platform, entries, slots: SLOTS, backend, worker: `worker-${entries.length}` }) as const

/** One agent process at rising rates of starts. */
export const agentByRate = async (rates: number[]): Promise<series.Series[]> => {
  const { platform, url: platformUrl } = await startPlatform()
  const entry = await children.start({ role: 'entry', platform: platformUrl, logLevel: 'warn' })
  const backend = await children.start({ role: 'backend', runMs: RUN_MS })
  const agent = await children.start(agentRole(platformUrl, [entry.answer['address']!], backend.answer['url']!))
  const url = `http://${agent.answer['address']!}`
  await waitForLinks(entry.answer['url']!, 1)
  await sleep(SETTLE_MS * 2)
  const results: { rate: number, usage: Usage, memory: ReturnType<Child['memory']> }[] = []
  for (const rate of rates) {
    const load: callers.Load = {
      role: 'callers',
      url: entry.answer['url']!,
      concurrency: 0,
      ratePerSecond: rate,
      tasksPerJob: 1,
      runMs: RUN_MS,
      warmUpMs: SETTLE_MS,
      durationMs: WINDOW_MS + 1000
    }
    const call = children.call(load)
    await sleep(SETTLE_MS)
    results.push({ rate, usage: await observe(agent, url), memory: agent.memory() })
    await call
  }
  for (const child of [agent, backend, entry, platform]) child.stop()
  const make = (id: string, title: string, y: string, value: (result: typeof results[0]) => number): series.Series => ({
    id,
    title,
    mechanism: 'agent, agent-core, link',
    x: 'starts/s',
    y,
    points: results.map((result) => ({ x: result.rate, y: value(result) }))
  })
  return [
    make('live-agent-processor', 'agent process with one entry', 'us/s', ({ usage }) => usage.processorUs),
    make('live-agent-bytes', 'agent process with one entry, both directions', 'B/s', ({ usage }) => usage.bytes),
    make('live-agent-anonymous', 'agent process, anonymous memory', 'MB', ({ memory }) => memory.anonymousMb),
    make('live-agent-resident', 'agent process, resident memory', 'MB', ({ memory }) => memory.residentMb)
  ]
}

/** Idle agent processes that link to more and more entries. */
export const agentByEntries = async (sizes: number[]): Promise<series.Series[]> => {
  const { platform, url: platformUrl } = await startPlatform()
  const entries = await Promise.all(Array.from({ length: Math.max(...sizes) }, () =>
    children.start({ role: 'entry', platform: platformUrl, logLevel: 'warn' })))
  const addresses = entries.map(({ answer }) => answer['address']!)
  const backend = await children.start({ role: 'backend', runMs: RUN_MS })
  const agents = await Promise.all(sizes.map((size) =>
    children.start(agentRole(platformUrl, addresses.slice(0, size), backend.answer['url']!))))
  await sleep(SETTLE_MS * 2)
  const results = await Promise.all(agents.map(async (agent, index) => ({
    entries: sizes[index]!,
    usage: await observe(agent, `http://${agent.answer['address']!}`, 2 * WINDOW_MS),
    memory: agent.memory()
  })))
  for (const child of [...agents, backend, ...entries, platform]) child.stop()
  const make = (id: string, title: string, y: string, value: (result: typeof results[0]) => number): series.Series => ({
    id,
    title,
    mechanism: 'link (heartbeats), agent',
    x: 'entries',
    y,
    points: results.map((result) => ({ x: result.entries, y: value(result) }))
  })
  return [
    make('live-agent-link-processor', 'idle agent process by its links', 'us/s', ({ usage }) => usage.processorUs),
    make('live-agent-link-bytes', 'idle agent process by its links, both directions', 'B/s', ({ usage }) => usage.bytes),
    make('live-agent-link-anonymous', 'agent process by its links, anonymous memory', 'MB',
      ({ memory }) => memory.anonymousMb)
  ]
}

/** Memory in MB of the runtime without any of our code. */
export const bareRuntime = async (): Promise<{ anonymousMb: number, residentMb: number }> => {
  const child = childProcess.spawn(process.execPath, ['-e', 'setInterval(() => {}, 1e6)'], { stdio: 'ignore' })
  await sleep(SETTLE_MS)
  const memory = children.memoryOf(child.pid!)
  child.kill('SIGKILL')
  return memory
}
