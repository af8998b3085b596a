import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as os from 'node:os'
import * as path from 'node:path'
import * as clock from '@mustarddeck/clock'
import * as standIn from '@mustarddeck/worker-stand-in'
import yargs from 'yargs'
import * as deployment from '../platform/src/stand-in/deployment.ts'
import * as storeStandIn from '../platform/src/stand-in/store.ts'
import * as workerStandIn from '../platform/src/stand-in/worker.ts'

// Measures the processor time of the built entry and agent programs at a steady load, against stand-ins of the
// platform in this process. Processor times are those of the operating system, per process.

const options = await yargs(process.argv.slice(2)).options({
  entries: { number: true, default: 4, describe: 'entry processes' },
  agents: { number: true, default: 8, describe: 'agent processes' },
  starts: { number: true, default: 20, describe: 'task starts a second for each agent' },
  tasks: { number: true, default: 3, describe: 'tasks of a job' },
  'warm-up': { number: true, default: 10, describe: 'seconds before the measurement' },
  seconds: { number: true, default: 15, describe: 'seconds of the measurement' },
  flags: { string: true, default: '', describe: 'flags of the runtime' },
  profile: { string: true, describe: 'folder for processor profiles' }
}).strict().parse()

const TICKS_PER_S = 100
const HEARTBEAT_MS = 1500
const RUN_MS = 200
const MILLICORES = 1600

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'measure-'))
const timers = clock.createSystem({ keepAlive: false })
const store = await storeStandIn.start()
store.publish(deployment.configuration(1))

interface Process {
  role: 'entry' | 'agent'
  child: childProcess.ChildProcess
}

const start = (role: 'entry' | 'agent', name: string, settings: Record<string, string>): Process => {
  const file = path.join(folder, `${name}.conf`)
  const common = {
    node_name: name, zone: 'khangai-a', internal_ports: '17720,17735', 'platform.address': `${store.address.host}:${store.address.port}`, 'bounds.grace_s': '6'
  }
  fs.writeFileSync(file, Object.entries({ ...common, ...settings }).map(([key, value]) => `${key}=${value}\n`).join(''))
  const profile = options.profile ? ['--cpu-prof', '--cpu-prof-interval=500', `--cpu-prof-dir=${options.profile}`, `--cpu-prof-name=${name}.cpuprofile`] : []
  const child = childProcess.spawn(process.execPath, [...options.flags.split(' ').filter(Boolean), ...profile, 'target/mustarddeck.cjs', role], {
    env: { ...process.env, MUSTARDDECK_CONFIG: file }, stdio: ['ignore', fs.openSync(path.join(folder, `${name}.out`), 'w'), 'inherit']
  })
  return { role, child }
}

const processes: Process[] = []
for (let index = 0; index < options.entries; index++) {
  const ip = `127.0.1.${index + 1}`
  processes.push(start('entry', `entry-${index}`, { ip, 'listen.front': `${ip}:18161`, 'listen.ready': `${ip}:18167` }))
}
const site = standIn.createSite()
const heartbeat = (ip: string, worker: standIn.StandIn, sequence: number): void => {
  const { id, bornMs, capacity, labels } = worker.worker()
  const body = JSON.stringify({
    service: deployment.SERVICE,
    address: 'x:1',
    zone: 'khangai-a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    cold_remaining_ms: 0,
    capacity: { cpu: capacity.millicores, mem_mb: capacity.memoryMb, gpu: 0 },
    labels,
    born: bornMs,
    clock_ms: Math.round(performance.now()),
    sequence
  })
  const request = http.request({ host: ip, port: 18166, method: 'PUT', path: `/instances/${id}`, headers: { 'Content-Type': 'application/json', 'Content-Length': body.length } })
  request.on('error', () => {}).on('response', (response) => response.resume()).end(body)
}
for (let index = 0; index < options.agents; index++) {
  const ip = `127.0.2.${index + 1}`
  const worker = standIn.create({
    id: `i-${index}`,
    capacity: { millicores: 16000, memoryMb: 32768, accelerators: 0 },
    resourcesOf: () => ({ millicores: MILLICORES, memoryMb: 64, accelerators: 0 }),
    runMsOf: () => RUN_MS,
    site,
    timers
  })
  const server = await workerStandIn.serve(worker)
  processes.push(start('agent', `agent-${index}`, { ip, app: `${server.address.host}:${server.address.port}`, 'listen.control': `${ip}:18166` }))
  let sequence = 0
  setInterval(() => heartbeat(ip, worker, sequence++), HEARTBEAT_MS)
}

const processorSeconds = ({ child }: Process): number => {
  const fields = fs.readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S
}
const sum = (role: Process['role']): number =>
  processes.filter((process) => process.role === role).reduce((total, process) => total + processorSeconds(process), 0)

const statuses = new Map<number, number>()
const tookMs: number[] = []
const agent = new http.Agent({ keepAlive: true })
let nextKey = 1
const submit = (entry: number): void => {
  const key = (nextKey++).toString(16).padStart(16, '0')
  const body = JSON.stringify({
    spec: 'weigh', best_effort: true, steps: [{ count: options.tasks, cpu: MILLICORES, mem_mb: 64, estimate_ms: RUN_MS }]
  })
  const sentAt = performance.now()
  const request = http.request({
    agent,
    host: `127.0.1.${entry + 1}`,
    port: 18161,
    method: 'POST',
    path: `${deployment.PREFIX}${key}`,
    headers: { Host: deployment.QUEUE_HOST, 'Content-Type': 'application/json', 'Content-Length': body.length }
  })
  request.on('error', () => {}).on('response', (response) => {
    response.resume()
    statuses.set(response.statusCode!, (statuses.get(response.statusCode!) ?? 0) + 1)
    tookMs.push(performance.now() - sentAt)
  }).end(body)
}
const jobsPerS = options.agents * options.starts / options.tasks
const pause = (seconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, seconds * 1000))

await pause(3)
let submitted = 0
const startedAt = performance.now()
const load = setInterval(() => {
  const due = Math.floor((performance.now() - startedAt) / 1000 * jobsPerS)
  while (submitted < due) submit(submitted++ % options.entries)
}, 5)
await pause(options['warm-up'])
const before = { entry: sum('entry'), agent: sum('agent') }
const idleFrom = performance.now()
tookMs.length = 0
await pause(options.seconds)
const measuredS = (performance.now() - idleFrom) / 1000
const cores = { entry: (sum('entry') - before.entry) / measuredS, agent: (sum('agent') - before.agent) / measuredS }
clearInterval(load)
tookMs.sort((left, right) => left - right)
const quantile = (share: number): string => (tookMs[Math.floor(tookMs.length * share)] ?? 0).toFixed(0)
const perProcess = (seconds: Record<Process['role'], number>): string =>
  `entry ${(seconds.entry / options.entries).toFixed(4)}, agent ${(seconds.agent / options.agents).toFixed(4)}`
const lines = [
  `cores: ${perProcess(cores)}`,
  `processor seconds since the start: ${perProcess({ entry: sum('entry'), agent: sum('agent') })}`,
  `load: ${(jobsPerS / options.entries).toFixed(1)} jobs/s an entry, ${options.starts} starts/s an agent`,
  `answers: ${JSON.stringify(Object.fromEntries(statuses))}, ms p50 ${quantile(0.5)} p95 ${quantile(0.95)} p99 ${quantile(0.99)}`,
  `violations: ${site.violations.length}`
]
process.stdout.write(`${lines.join('\n')}\n`)
for (const { child } of processes) child.kill('SIGTERM')
await pause(4)
process.exit(0)
