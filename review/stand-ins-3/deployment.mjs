import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as stores from './store.mjs'
import * as workers from './worker.mjs'

// A small deployment on loopback: the programs of deploy/system.toml as processes, with stand-ins for the store, the
// workers and the clients.

const ROOT = url.fileURLToPath(new URL('../..', import.meta.url))
const PROGRAM = ['target/mustarddeck.cjs']
const STORE_HOST = '127.0.0.1'
const ZONE = 'khangai-a'
const SERVICE = 'corkbook'
export const QUEUE_HOST = 'nony24.example'
export const PREFIX = '/lohu930/'
/** Ports below those that systems give to outgoing connections. */
const PORTS = { lowest: 12_000, count: 18_000 }
const READY_WITHIN_MS = 20_000
const POLL_MS = 20

/** Processes that were started; they end with this one, however it ends. */
const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

const isFree = (host, port) => new Promise((resolve) => {
  const server = net.createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})
/** Finds a port that is free on all hosts. */
const freePort = async (hosts) => {
  for (;;) {
    const port = PORTS.lowest + Math.floor(Math.random() * PORTS.count)
    const free = await Promise.all(hosts.map((host) => isFree(host, port)))
    if (free.every(Boolean)) return port
  }
}

export const configuration = (version, routes) => ({
  version,
  routes: routes.map((route, index) => ({
    name: `r${index}-${route.path_prefix.replaceAll('/', '')}`,
    host: QUEUE_HOST,
    service: SERVICE,
    timeout_ms: 3000,
    objective_ms: 500,
    priority: 0,
    max_attempts: 3,
    stretch: 2,
    ...route
  })),
  services: [{ name: SERVICE, admission_control: false }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
})

/** Writes what is sent, answered and run to `record.txt`, with the time in ms since the start. */
export const createRecord = (directory) => {
  const file = path.join(directory, 'record.txt')
  const startedAt = performance.now()
  const events = []
  fs.writeFileSync(file, '')
  return {
    events,
    now: () => Math.round(performance.now() - startedAt),
    note: (event, fields = {}) => {
      const at = Math.round(performance.now() - startedAt)
      events.push({ at, event, ...fields })
      const text = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(' ')
      fs.appendFileSync(file, `${String(at).padStart(6)} ${event} ${text}\n`)
    }
  }
}

/**
 * Starts `entryCount` entries and `workerCount` machines with a worker, and waits until every entry is ready.
 * `worker` has settings of single workers by index.
 */
export const start = async ({
  record, entryCount = 3, workerCount = 3, routes = [{ path_prefix: PREFIX }], worker = () => ({})
}) => {
  const { note } = record
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'mustarddeck-review-'))
  const store = await stores.start(STORE_HOST)
  store.put('config', configuration(1, routes))
  const entryHosts = Array.from({ length: entryCount }, (_, index) => `127.0.0.${index + 2}`)
  const workerHosts = Array.from({ length: workerCount }, (_, index) => `127.0.0.${index + 21}`)
  const hosts = [...entryHosts, ...workerHosts]
  const ports = { front: await freePort(hosts), ready: 0, control: 0, link: 0, metrics: 0 }
  for (const name of ['ready', 'control', 'link', 'metrics']) {
    do ports[name] = await freePort(hosts)
    while (Object.entries(ports).some(([other, port]) => other !== name && port === ports[name]))
  }
  const seeds = entryHosts.map((host) => `${host}:${ports.control}`).join(',')
  const processes = []
  const standIns = []

  const spawn = (role, name, values) => {
    const file = path.join(directory, `${name}.conf`)
    fs.writeFileSync(file, Object.entries(values).map(([key, value]) => `${key}=${value}\n`).join(''))
    const log = fs.openSync(path.join(directory, `${name}.log`), 'a')
    const { PATH, HOME, LANG } = process.env
    const child = childProcess.spawn(process.execPath, [...PROGRAM, role], {
      cwd: ROOT,
      env: { PATH, HOME, LANG, MUSTARDDECK_CONFIG: file, MUSTARDDECK_METRICS_PORT: String(ports.metrics) },
      stdio: ['ignore', log, log]
    })
    fs.closeSync(log)
    children.add(child)
    const exited = new Promise((resolve) => child.once('exit', (code, signal) => {
      children.delete(child)
      note('process-ended', { name, code, signal })
      resolve()
    }))
    const started = { child, exited }
    processes.push(started)
    return started
  }
  const common = (name, host, machineClass, serves) => ({
    node_name: name,
    role: machineClass === 'edge' ? 'entry' : 'agent',
    machine_class: machineClass,
    serves,
    ip: host,
    zone: ZONE,
    region: 'khangai',
    'zones.khangai-a': 'khangai',
    internal_ports: `${ports.link},${ports.link + 15}`,
    seeds,
    bootstrap: true,
    'limits.cpu_share': machineClass === 'edge' ? 0.675 : 0.405,
    'limits.cores': 1,
    'limits.memory_mb': machineClass === 'edge' ? 350 : 218,
    'limits.max_fds': 4100,
    discovery: 'local',
    heartbeat_ms: 1500,
    'bounds.contact_ms': 3000,
    'bounds.drain_ms': 2000,
    'bounds.grace_s': 6,
    'bounds.config_apply_ms': 2000,
    'bounds.hold_max_ms': 1000,
    'bounds.stop_ms': 50,
    'bounds.cancel_ms': 3000,
    'bounds.far_x': 1.5,
    'bounds.retransmit_ms': 1300,
    control_mode: 'call',
    'platform.address': store.address,
    'platform.form': 'table'
  })
  const startEntry = (host, index) => {
    const name = `edge-${index + 1}`
    const run = () => spawn('entry', name, {
      ...common(name, host, 'edge', 'edge,control_plane'),
      'listen.front': `${host}:${ports.front}`,
      'listen.ready': `${host}:${ports.ready}`,
      'listen.control': `${host}:${ports.control}`
    })
    let current = run()
    return {
      name,
      host,
      front: { host, port: ports.front },
      signal: (signal) => {
        note('signal', { name, signal })
        current.child.kill(signal)
      },
      exited: () => current.exited,
      restart: () => {
        note('process-started', { name })
        current = run()
      }
    }
  }
  const startMachine = async (host, index) => {
    const name = `side-${index + 1}`
    const control = `${host}:${ports.control}`
    const standIn = await workers.start({
      id: `i-${process.pid.toString(16)}${index}`,
      host,
      control,
      service: SERVICE,
      zone: ZONE,
      capacity: { cpu: 16_000, mem_mb: 32_768, gpu: 0 },
      labels: ['a', `r1-${index + 1}`],
      note,
      ...worker(index)
    })
    standIns.push(standIn)
    const { child } = spawn('agent', name, {
      ...common(name, host, 'side', 'side'), 'listen.control': control, app: standIn.app
    })
    return {
      name,
      worker: standIn,
      signal: (signal) => {
        note('signal', { name, signal })
        child.kill(signal)
      }
    }
  }
  const stop = async () => {
    for (const { child } of processes) child.kill('SIGKILL')
    await Promise.all(processes.map(({ exited }) => exited))
    for (const standIn of standIns) standIn.stop()
    store.stop()
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(directory, { recursive: true })
    else note('logs', { directory })
  }
  const entries = entryHosts.map(startEntry)
  const machines = await Promise.all(workerHosts.map(startMachine))
  const isReady = ({ host }) => send({ host, port: ports.ready }, 'GET', '/ready', undefined, 500)
    .then(({ status }) => status === 200)
  const endsAt = performance.now() + READY_WITHIN_MS
  for (const entry of entries) {
    while (!await isReady(entry)) {
      if (performance.now() > endsAt) {
        await stop()
        return undefined
      }
      await wait(POLL_MS)
    }
  }
  return { store, entries, machines, isReady, stop }
}

/**
 * Sends one request on a connection of its own. The status is undefined if there is no response within the time.
 * `onConnect` is called with the connection's own port.
 */
export const send = ({ host, port }, method, target, body, waitMs, onConnect = () => {}) => new Promise((resolve) => {
  const text = body === undefined ? '' : JSON.stringify(body)
  const call = http.request({
    host,
    port,
    method,
    path: target,
    agent: false,
    headers: {
      Host: QUEUE_HOST,
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Mustarddeck-Deadline-Ms': waitMs
    }
  })
  const timer = setTimeout(() => {
    call.destroy()
    resolve({ status: undefined, reason: 'no response in time' })
  }, waitMs)
  const finish = (answer) => {
    clearTimeout(timer)
    resolve(answer)
  }
  call.on('socket', (socket) => socket.once('connect', () => onConnect(socket.localPort)))
  call.on('error', (cause) => finish({ status: undefined, reason: cause.message }))
  call.on('response', (response) => {
    let received = ''
    response.on('data', (chunk) => { received += chunk })
    response.on('error', (cause) => finish({ status: undefined, reason: cause.message }))
    response.on('end', () => {
      finish({ status: response.statusCode, body: received, retryAfterS: Number(response.headers['retry-after'] ?? 0) })
    })
  })
  call.end(text)
})

/** Body of a best-effort job with steps of tasks that run for the given times. */
export const jobOf = (ms, step = {}) => ({
  spec: JSON.stringify({ ms }),
  best_effort: true,
  steps: [{ count: 1, cpu: 1600, mem_mb: 64, estimate_ms: ms, ...step }]
})

/** Runs the case within its time limit and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export const runCase = async (directory, limitMs, run) => {
  const record = createRecord(directory)
  const timer = setTimeout(() => {
    record.note('time-limit', {})
    process.exit(2)
  }, limitMs)
  const trouble = process.env.TROUBLE !== '0'
  record.note('case', { trouble, machine: os.arch() })
  const broken = await run(record, trouble)
  clearTimeout(timer)
  record.note('verdict', { broken })
  process.exit(broken === undefined ? 2 : broken ? 1 : 0)
}
