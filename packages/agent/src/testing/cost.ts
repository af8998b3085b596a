import * as backend from '@mustarddeck/backend-stand-in'
import * as clock from '@mustarddeck/clock'
import * as standIn from '@mustarddeck/platform-stand-in'
import * as random from '@mustarddeck/random'
import * as esbuild from 'esbuild'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as bundling from '../../../../scripts/bundle.ts'
import * as harness from './harness.ts'

// Measures CPU time, memory and link bytes of a bundled agent process at a constant rate of task starts.
// Environment variables: RATE (starts per second), SECONDS (duration of the measurement), RUN_MS (run time of a task),
// LOG (log level), NODE_FLAGS, LIMIT_MEMORY=0 (runs the agent without `limitMemory`).

const rate = Number(process.env['RATE'] ?? 23)
const seconds = Number(process.env['SECONDS'] ?? 60)
const runMs = Number(process.env['RUN_MS'] ?? 200)
const WARM_UP_SECONDS = 5
const CLOCK_TICKS_PER_SECOND = 100

const cpuSeconds = (pid: number): number => {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND
}
const memoryMb = (pid: number, field: string): number => {
  const text = fs.readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')
  return Number(new RegExp(`^${field}:\\s+(\\d+)`, 'm').exec(text)![1]) / 1024
}
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'agent-cost-'))
const bundle = path.join(directory, 'child.cjs')
await esbuild.build({
  entryPoints: [url.fileURLToPath(new URL('cost-child.ts', import.meta.url))],
  outfile: bundle,
  ...bundling.options
})

const timers = clock.createSystem()
const entry = await harness.createEntry(timers)
const server = backend.create({
  settings: harness.load('backend stand-in', `run = { runMs = ${runMs} }`), timers, random: random.create(1)
})
const store = await standIn.start({ timers })
const file = path.join(directory, 'agent.toml')
fs.writeFileSync(file, `
worker = "waco-1"
failureDomain = "waco-floor"
slots = 8
resources = { cores = 32, memoryMb = 65536 }
platform = { url = "${store.url}" }
links = { entries = ["${entry.address}"], key = "${harness.KEY}" }
backend = { url = "http://${await server.listen()}/run" }
log = { level = "${process.env['LOG'] ?? 'info'}" }
`)
const flags = (process.env['NODE_FLAGS'] ?? '').split(' ').filter(Boolean)
const child = childProcess.spawn(process.execPath, [...flags, bundle, file], { stdio: ['ignore', 'ignore', 'inherit'] })
const pid = child.pid!
await entry.next('registered')

let sequence = 0
const load = async (duration: number): Promise<void> => {
  const startedAt = performance.now()
  const first = sequence
  while (performance.now() - startedAt < duration * 1000) {
    while (sequence - first < (performance.now() - startedAt) / 1000 * rate) entry.send(harness.start(++sequence))
    await pause(5)
  }
}
await load(WARM_UP_SECONDS)
const before = { cpu: cpuSeconds(pid), counts: entry.traffic(), tasks: sequence }
let peakMb = 0
const sampling = setInterval(() => { peakMb = Math.max(peakMb, memoryMb(pid, 'Anonymous')) }, 500)
await load(seconds)
clearInterval(sampling)
const after = { cpu: cpuSeconds(pid), counts: entry.traffic(), tasks: sequence }
const tasks = after.tasks - before.tasks
const report = {
  startsPerSecond: tasks / seconds,
  corePercent: (after.cpu - before.cpu) / seconds * 100,
  cpuMsPerTask: (after.cpu - before.cpu) * 1000 / tasks,
  linkBytesPerSecond: (after.counts.bytes - before.counts.bytes) / seconds,
  linkBytesPerTask: (after.counts.bytes - before.counts.bytes) / tasks,
  messagesPerTask: (after.counts.messages - before.counts.messages) / tasks,
  anonymousMb: memoryMb(pid, 'Anonymous'),
  peakAnonymousMb: peakMb,
  residentMb: memoryMb(pid, 'Rss'),
  backendStarts: server.report().starts
}
for (const [name, value] of Object.entries(report)) process.stdout.write(`${name} ${value.toFixed(2)}\n`)
child.kill('SIGTERM')
await new Promise((resolve) => child.once('exit', resolve))
await Promise.all([entry.stop(), server.stop(), store.stop()])
fs.rmSync(directory, { recursive: true })
process.exit(0)
