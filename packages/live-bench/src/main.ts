import * as fs from 'node:fs'
import type * as logs from '@mustarddeck/log'
import type * as callers from './callers.ts'
import * as children from './children.ts'

interface Figure {
  name: string
  value: number
  unit: string
  /** The design's target; the value must be on this side of it. */
  target?: { kind: 'at-least' | 'at-most', value: number }
}

const THROUGHPUT = {
  processes: 2, agents: 20, slots: 32, runMs: 20, tasksPerJob: 20, warmUpMs: 3000, durationMs: 10_000
}
const IDLE_MS = 10_000
const AGENT_RATE = 23
const RUN_MS = 100
const AGENT_LOAD_MS = 20_000

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

const readMetric = async (address: string, name: string): Promise<number> => {
  const text = await (await fetch(`http://${address}/metrics`)).text()
  const lines = text.split('\n').filter((line) => line.startsWith(name))
  return lines.reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}

const measureThroughput = async (logLevel: logs.Level): Promise<Figure[]> => {
  const { processes, agents, slots, runMs, tasksPerJob, warmUpMs, durationMs } = THROUGHPUT
  const platform = await children.start({ role: 'platform' })
  const entry = await children.start({ role: 'entry', platform: platform.answer['url']!, logLevel })
  const fleets = await Promise.all(Array.from({ length: processes }, (_, index) => children.start({
    role: 'fleet', entry: entry.answer['address']!, agents, slots, runMs, first: index * agents
  })))
  await sleep(2000)
  const load: callers.Load = {
    role: 'callers', url: entry.answer['url']!, concurrency: 60, tasksPerJob, runMs, warmUpMs, durationMs
  }
  const calls = Promise.all(Array.from({ length: processes }, () => children.call(load)))
  await sleep(warmUpMs + 1000)
  const before = { processor: entry.processorMs(), at: performance.now() }
  await sleep(durationMs - 2000)
  const processorShare = (entry.processorMs() - before.processor) / (performance.now() - before.at)
  const memory = entry.memory()
  const results = await calls
  const jobs = results.reduce((sum, result) => sum + result.jobs, 0)
  const failures = results.reduce((sum, result) => sum + result.failures, 0)
  const starts = jobs * tasksPerJob / (durationMs / 1000)
  for (const child of [...fleets, entry, platform]) child.stop()
  const prefix = `one entry, log level ${logLevel}`
  return [
    { name: `${prefix}: task starts`, value: starts, unit: '/s', target: { kind: 'at-least', value: 10_000 } },
    { name: `${prefix}: processor`, value: processorShare * 100, unit: '% of a core' },
    { name: `${prefix}: processor time per task`, value: processorShare * 1e6 / starts, unit: 'us' },
    { name: `${prefix}: anonymous memory`, value: memory.anonymousMb, unit: 'MB' },
    { name: `${prefix}: jobs not complete`, value: failures, unit: '', target: { kind: 'at-most', value: 0 } }
  ]
}

const measureAgent = async (): Promise<Figure[]> => {
  const platform = await children.start({ role: 'platform' })
  const url = platform.answer['url']!
  const entry = await children.start({ role: 'entry', platform: url, logLevel: 'info' })
  const backend = await children.start({ role: 'backend', runMs: RUN_MS })
  const agent = await children.start({
    role: 'agent', platform: url, entries: [entry.answer['address']!], slots: 8, backend: backend.answer['url']!
  })
  await sleep(5000)
  const address = agent.answer['address']!
  const linkBytes = (): Promise<number> => readMetric(address, 'mustarddeck_link_bytes')
  const idle = { bytes: await linkBytes(), processor: agent.processorMs() }
  await sleep(IDLE_MS)
  const busy = { bytes: await linkBytes(), processor: agent.processorMs() }
  const result = await children.call({
    role: 'callers',
    url: entry.answer['url']!,
    concurrency: 0,
    ratePerSecond: AGENT_RATE,
    tasksPerJob: 1,
    runMs: RUN_MS,
    warmUpMs: 3000,
    durationMs: AGENT_LOAD_MS
  })
  const seconds = (3000 + AGENT_LOAD_MS) / 1000
  const processorMs = agent.processorMs() - busy.processor
  const bytes = await linkBytes() - busy.bytes
  const memory = agent.memory()
  for (const child of [agent, backend, entry, platform]) child.stop()
  const idleBytes = (busy.bytes - idle.bytes) / (IDLE_MS / 1000)
  const prefix = `one agent at ${AGENT_RATE} starts/s`
  return [
    { name: `${prefix}: overhead p50`, value: result.overheadP50, unit: 'ms', target: { kind: 'at-most', value: 2 } },
    { name: `${prefix}: overhead p99`, value: result.overheadP99, unit: 'ms' },
    { name: `${prefix}: processor`, value: processorMs / seconds / 10, unit: '% of a core', target: { kind: 'at-most', value: 2.2 } },
    { name: `${prefix}: processor time per task`, value: processorMs * 1000 / (AGENT_RATE * seconds), unit: 'us' },
    { name: `${prefix}: link traffic`, value: bytes / seconds / 1000, unit: 'KB/s', target: { kind: 'at-most', value: 25 } },
    { name: `${prefix}: link traffic per task`, value: (bytes - idleBytes * seconds) / (AGENT_RATE * seconds), unit: 'B' },
    { name: `${prefix}: anonymous memory`, value: memory.anonymousMb, unit: 'MB', target: { kind: 'at-most', value: 32 } },
    { name: `${prefix}: resident memory`, value: memory.residentMb, unit: 'MB' },
    { name: 'one agent, idle: link traffic per link', value: idleBytes, unit: 'B/s' },
    { name: 'one agent, idle: processor', value: (busy.processor - idle.processor) / IDLE_MS * 100, unit: '% of a core' }
  ]
}

const verdict = ({ value, target }: Figure): string => {
  if (!target) return ''
  const met = target.kind === 'at-least' ? value >= target.value : value <= target.value
  return `${target.kind.replace('-', ' ')} ${target.value}: ${met ? 'met' : 'MISSED'}`
}

const figures = [...await measureAgent(), ...await measureThroughput('warn'), ...await measureThroughput('info')]
for (const figure of figures) {
  process.stdout.write(`${figure.name.padEnd(62)} ${figure.value.toFixed(2).padStart(10)} ${figure.unit.padEnd(12)} ${verdict(figure)}\n`)
}
fs.mkdirSync('out', { recursive: true })
fs.writeFileSync('out/bench-live.json', `${JSON.stringify(figures, undefined, 2)}\n`)
