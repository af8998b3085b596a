import { spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import * as forwarders from './forwarder.mjs'
import * as http from './http.mjs'
import * as stores from './store.mjs'
import * as workers from './worker.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const PROGRAM = 'target/mustarddeck.cjs'
const START_TIMEOUT_MS = 15_000
/** The restart after an end, "after a short delay". */
const RESTART_MS = 300
export const SERVICE = 'huvo11a'
export const HOST_NAME = 'nony24.example'
export const PREFIX = '/lohu930/'
const DEADLINE_MS = 1500

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Writes `record.txt`: what was sent, answered and run, with the ms since the start. */
const createRecord = (file) => {
  const startedAt = performance.now()
  const runs = []
  fs.writeFileSync(file, '')
  const now = () => Math.round(performance.now() - startedAt)
  const line = (text) => fs.appendFileSync(file, `${String(now()).padStart(6)} ${text}\n`)
  return {
    now,
    line,
    /** Every run: task, worker, number, start, and end and its kind once it has ended. */
    runs,
    start: (worker, run, spec) => {
      runs.push({ worker, task: run.task, run: run.run, spec, startedAt: now(), endedAt: Infinity, how: undefined })
      line(`run-start ${run.task} run=${run.run} worker=${worker}`)
    },
    end: (worker, { task, run }, how) => {
      const found = runs.findLast((other) => other.worker === worker && other.task === task && other.run === run)
      Object.assign(found, { endedAt: now(), how })
      line(`run-end ${task} run=${run} worker=${worker} ${how}`)
    }
  }
}

const settingsOf = ({ name, machineClass, role, ip, zone, ports, seeds, store, app }) => [
  `node_name=${name}`,
  `role=${role}`,
  `machine_class=${machineClass}`,
  `serves=${machineClass === 'edge' ? 'edge,control_plane' : 'side'}`,
  `ip=${ip}`,
  `zone=${zone}`,
  'region=khangai',
  ...(machineClass === 'edge' ? [`listen.front=${ip}:${ports.front}`, `listen.ready=${ip}:${ports.ready}`] : []),
  `listen.control=${ip}:${ports.control}`,
  `internal_ports=${ports.internal},${ports.internal + 15}`,
  `seeds=${seeds.join(',')}`,
  'bootstrap=true',
  'heartbeat_ms=1500',
  'control_mode=call',
  'bounds.contact_ms=3000',
  'bounds.grace_s=6',
  'bounds.hold_max_ms=1000',
  'bounds.stop_ms=50',
  'bounds.cancel_ms=3000',
  'bounds.retransmit_ms=1300',
  ...(machineClass === 'side' ? [`app=${ip}:${app}`, `service=${SERVICE}`] : []),
  `platform.address=${store}`,
  'platform.form=table',
  ''
].join('\n')

/** Processes and folders that must not outlive the script, however it ends. */
const children = new Set()
const folders = new Set()
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
  for (const folder of folders) fs.rmSync(folder, { recursive: true, force: true })
})
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2))

/** One process of the project, started with the command and the environment of its role in the deploy file. */
const startProcess = ({ role, file, metricsPort, logFile }) => {
  let child
  let stopped = false
  let ended
  const spawnChild = () => {
    const log = fs.openSync(logFile, 'a')
    child = spawn(process.execPath, [PROGRAM, role], {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        MUSTARDDECK_CONFIG: file,
        MUSTARDDECK_METRICS_PORT: String(metricsPort)
      }
    })
    fs.closeSync(log)
    const spawned = child
    children.add(spawned)
    ended = new Promise((resolve) => spawned.once('exit', resolve)).then(() => children.delete(spawned))
  }
  spawnChild()
  return {
    signal: (signal) => child.kill(signal),
    /** Kills the process and starts it again. */
    restart: async (signal, downMs = RESTART_MS) => {
      child.kill(signal)
      await ended
      await wait(downMs)
      if (!stopped) spawnChild()
    },
    hasEnded: () => child.exitCode !== null || child.signalCode !== null,
    stop: async () => {
      stopped = true
      child.kill('SIGKILL')
      await ended
    }
  }
}

/** A small deployment on loopback addresses: entries, agents with a worker each, the store, and a client. */
export const start = async (options) => {
  const { folder, entryCount, agentCount, runMsOf, isForwarded = false, timeoutMs = DEADLINE_MS } = options
  const record = createRecord(path.join(folder, 'record.txt'))
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  folders.add(temporary)
  const subnet = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
  const edgeIps = Array.from({ length: entryCount }, (_, index) => `${subnet}.${11 + index}`)
  const sideIps = Array.from({ length: agentCount }, (_, index) => `${subnet}.${101 + index}`)
  const platformIp = `${subnet}.2`
  const names = ['front', 'ready', 'control', 'internal', 'metrics', 'app', 'store', 'entrance']
  const free = await http.freePorts([...edgeIps, ...sideIps, platformIp], names.length)
  const ports = Object.fromEntries(names.map((name, index) => [name, free[index]]))
  const store = await stores.start(platformIp, ports.store)
  const zoneOf = (index) => `khangai-${'abc'[index % 3]}`
  const stops = [() => store.stop()]

  const startRole = (role, machineClass, ip, index) => {
    const name = `${machineClass}-${index}`
    const file = path.join(temporary, `${name}.conf`)
    fs.writeFileSync(file, settingsOf({
      name,
      machineClass,
      role,
      ip,
      zone: zoneOf(index),
      ports,
      seeds: edgeIps.slice(0, 3).map((edge) => `${edge}:${ports.control}`),
      store: `${platformIp}:${ports.store}`,
      app: ports.app
    }))
    const logFile = path.join(process.env.LOG_FOLDER ?? temporary, `${name}.log`)
    const started = startProcess({ role, file, metricsPort: ports.metrics, logFile })
    stops.push(() => started.stop())
    return { ...started, name, ip }
  }
  const publish = (version) => {
    store.publish({
      version,
      routes: [{
        name: 'r-3hwrr6x',
        host: HOST_NAME,
        path_prefix: PREFIX,
        kind: 'unsafe',
        timeout_ms: timeoutMs,
        objective_ms: 60,
        priority: 0,
        service: SERVICE,
        max_attempts: 4,
        stretch: 1.6
      }],
      services: [{ name: SERVICE, health_path: '/health', max_conns: 64, admission_control: false, spare: false }],
      limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
    })
    record.line(`operator: configuration ${version}`)
  }
  publish(7)
  const entries = edgeIps.map((ip, index) => startRole('entry', 'edge', ip, index + 1))
  const agents = sideIps.map((ip, index) => startRole('agent', 'side', ip, index + 1))
  const workerList = await Promise.all(sideIps.map((ip, index) => workers.start({
    id: `i-7f3a91c${index + 1}`,
    host: ip,
    app: ports.app,
    control: ports.control,
    service: SERVICE,
    zone: zoneOf(index),
    capacity: { cpu: 16000, mem_mb: 32768, gpu: 0 },
    labels: ['a', `r1-${index + 1}`],
    runMsOf,
    record
  })))
  for (const worker of workerList) stops.push(() => worker.stop())
  /** The platform's forwarder to each entry, at an address of the platform; none if clients connect directly. */
  const forwarderIps = isForwarded ? edgeIps.map((ip) => ip.replace(`${subnet}.`, `${subnet}.2`)) : []
  const forwarderList = await Promise.all(forwarderIps.map((ip, index) =>
    forwarders.start(ip, ports.entrance, { host: edgeIps[index], port: ports.front })))
  for (const forwarder of forwarderList) stops.push(() => forwarder.stop())

  const isReady = async (entry) => {
    const answer = await http.call({ host: entry.ip, port: ports.ready, method: 'GET', path: '/ready', timeoutMs: 500 })
    return answer.status === 200
  }
  const request = async (entry, method, id, { body, deadlineMs = timeoutMs, prefix = PREFIX } = {}) => {
    record.line(`client: ${method} ${id} at ${entry.name}`)
    const answer = await http.call({
      host: forwarderIps[entries.indexOf(entry)] ?? entry.ip,
      port: isForwarded ? ports.entrance : ports.front,
      method,
      path: prefix + id,
      headers: { Host: HOST_NAME, 'Mustarddeck-Deadline-Ms': String(deadlineMs) },
      body,
      timeoutMs: deadlineMs
    })
    record.line(`answer: ${method} ${id} at ${entry.name}: ${answer.status} ` +
      (answer.status === 0 ? answer.reason : JSON.stringify(answer.body)))
    return answer
  }
  return {
    record,
    entries,
    agents,
    workers: workerList,
    forwarders: forwarderList,
    ports,
    publish,
    isReady,
    request,
    /** Waits until all entries are ready, and a second more for the links of all agents. */
    ready: async () => {
      const endsAt = performance.now() + START_TIMEOUT_MS
      for (const entry of entries) {
        while (!await isReady(entry)) {
          if (performance.now() > endsAt) throw new Error(`${entry.name} is not ready`)
          await wait(100)
        }
      }
      await wait(2000)
    },
    stop: async () => {
      for (const stop of stops.reverse()) await stop()
    }
  }
}

export const jobOf = (steps) => ({ spec: 'weigh', best_effort: true, steps })
export const newId = () => Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')

/** Pairs of runs of one task that were at work at the same time on two workers. */
export const overlaps = (runs) => runs.flatMap((first, index) => runs.slice(index + 1)
  .filter((second) => second.task === first.task &&
    second.startedAt < first.endedAt && first.startedAt < second.endedAt)
  .map((second) => [first, second]))

/** Runs a case: `play` returns the descriptions of broken rules. Exit code 1: broken, 0: held, 2: could not run. */
export const main = async (options, play) => {
  const trouble = process.env.TROUBLE !== '0'
  let deployment
  let code = 2
  const limit = setTimeout(async () => {
    await deployment?.stop()
    process.exit(2)
  }, 110_000)
  try {
    deployment = await start(options)
    await deployment.ready()
    const broken = await play(deployment, trouble)
    for (const text of broken) deployment.record.line(`BROKEN: ${text}`)
    process.stdout.write(broken.length > 0 ? `${broken.join('\n')}\n` : 'the rule held\n')
    code = broken.length > 0 ? 1 : 0
  } catch (cause) {
    process.stdout.write(`the case could not run: ${cause.stack}\n`)
  }
  clearTimeout(limit)
  await deployment?.stop()
  process.exit(code)
}
