import * as http from './http.mjs'

const HOLD_MAX_MS = 1000
const STOP_MS = 30
const HEARTBEAT_MS = 1500
const CHECK_MS = 5
const MAX_WAIT_MS = 2000
const PAGE_ENDS = 500

/**
 * A worker with `admission_control` false, as "Running tasks" and "Service discovery" in PROTOCOL.md describe one. It
 * runs on a `side` machine and takes calls at its `app` address.
 */
export const start = async ({ id, host, app, control, service, zone, capacity, labels, runMsOf, record }) => {
  const running = new Map()
  const highestRuns = new Map()
  let born = Date.now()
  let startedAt = performance.now()
  let ended = []
  let lastNumber = 0
  let fence = 0
  let leaseUntil = 0
  let sequence = 0

  const clockMs = () => Math.floor(performance.now() - startedAt)
  const finish = (run, how) => {
    if (running.get(run.task) !== run) return
    clearTimeout(run.timer)
    running.delete(run.task)
    highestRuns.set(run.task, Math.max(run.run, highestRuns.get(run.task) ?? 0))
    ended.push([++lastNumber, run.task, run.run, how, ''])
    record.end(id, run, how)
  }
  const expiry = setInterval(() => {
    if (clockMs() >= leaseUntil) for (const run of [...running.values()]) finish(run, 'lapsed')
  }, CHECK_MS)
  const extend = (until) => {
    if (until !== undefined) leaseUntil = Math.max(leaseUntil, Math.min(until, clockMs() + HOLD_MAX_MS))
  }
  /** True if the call's token is lower than one seen before. */
  const isFenced = ({ fencing_token: token = 0 }) => {
    if (token < fence) return true
    fence = token
    return false
  }
  const refuse = (reason) => [409, { clock_ms: clockMs(), born, reason }]
  const accept = () => [200, { clock_ms: clockMs(), born }]

  const startRun = (body) => {
    const { task, run, spec, deadline_ms: deadline } = body
    if (isFenced(body)) return refuse('fence')
    if (deadline <= clockMs()) return refuse('late')
    extend(deadline)
    if (running.get(task)?.run === run) return accept()
    if (running.has(task) || run <= (highestRuns.get(task) ?? 0)) return refuse('old')
    const started = { task, run, timer: undefined }
    running.set(task, started)
    record.start(id, started, spec)
    started.timer = setTimeout(() => finish(started, 'done'), runMsOf(task))
    return accept()
  }
  const stopRun = (body) => {
    if (isFenced(body)) return refuse('fence')
    const { task, run } = body
    highestRuns.set(task, Math.max(run, highestRuns.get(task) ?? 0))
    const current = running.get(task)
    if (current && current.run <= run) setTimeout(() => finish(current, 'stopped'), STOP_MS)
    return accept()
  }
  const hold = async (body) => {
    if (isFenced(body)) return refuse('fence')
    extend(body.deadline_ms)
    ended = ended.filter(([number]) => number > body.last_seen)
    const endsAt = performance.now() + Math.min(MAX_WAIT_MS, body.wait_ms ?? 0)
    while (ended.length === 0 && performance.now() < endsAt) {
      await new Promise((resolve) => setTimeout(resolve, CHECK_MS))
    }
    const rows = [...running.values()].map(({ task, run }) => [task, run, '', 100, 0])
    return [200, { clock_ms: clockMs(), born, running: rows, ended: ended.slice(0, PAGE_ENDS) }]
  }
  const respond = ({ method, url, headers, body }) => {
    const target = headers['mustarddeck-target-instance']
    if (target !== undefined && target !== id) return [421, {}]
    if (method === 'GET' && url.pathname === '/health') return [200, {}]
    if (url.pathname === '/run-start') return startRun(body)
    if (url.pathname === '/run-stop') return stopRun(body)
    return url.pathname === '/hold' ? hold(body) : [404, {}]
  }
  let server = await http.serve(host, app, respond)
  const heartbeat = () => ({
    service,
    address: `${host}:${app}`,
    zone,
    version: 'v1',
    slots: 8,
    state: 'ready',
    cold_remaining_ms: 0,
    capacity,
    labels,
    clock_ms: clockMs(),
    born,
    sequence: ++sequence
  })
  const announce = () => http.call({
    host, port: control, method: 'PUT', path: `/instances/${id}`, body: heartbeat(), timeoutMs: 1000
  })
  announce()
  let beats = setInterval(announce, HEARTBEAT_MS)
  return {
    id,
    heartbeat,
    running: () => [...running.keys()],
    /** Crashes and starts again under the same id: it knows nothing of before, and its counts start anew. */
    restart: async (downMs, silentMs = 0) => {
      clearInterval(beats)
      server.stop()
      record.line(`${id} crashes`)
      for (const run of [...running.values()]) finish(run, 'crashed')
      await new Promise((resolve) => setTimeout(resolve, downMs))
      highestRuns.clear()
      ended = []
      lastNumber = 0
      fence = 0
      leaseUntil = 0
      sequence = 0
      born = Date.now()
      startedAt = performance.now()
      server = await http.serve(host, app, respond)
      record.line(`${id} is back`)
      setTimeout(announce, silentMs)
      beats = setInterval(announce, HEARTBEAT_MS)
    },
    stop: () => {
      clearInterval(expiry)
      clearInterval(beats)
      for (const { timer } of running.values()) clearTimeout(timer)
      server.stop()
    }
  }
}
