// Stand-in for a worker on a `side` machine, as PROTOCOL.md describes it. A task's run time in ms is in its job's spec.
import * as http from 'node:http'

const HEARTBEAT_MS = 1500
/** Delay in ms before a heartbeat that was not acknowledged is sent again. */
const AGAIN_MS = 300
/** Time in ms from a stop to the end of the run; the pages allow 50. */
const STOP_MS = 30
const EXPIRY_CHECK_MS = 5
const MAX_ENDS = 500

export const createWorker = async (options) => {
  const { name, machine, host, port, control, service, zone, labels, cpu, holdMaxMs, record, runs } = options
  const memory = 32_768
  const id = `i-${name}-${Math.random().toString(16).slice(2, 10)}`
  let born = Date.now()
  let startedAt = performance.now()
  const running = new Map()
  const highest = new Map()
  const waiters = new Set()
  const state = { draining: false, down: false, stopped: false }
  /**
   * For the path of a call, `late` returns the time in ms after which it is carried out, with no answer, or 0. `lost`
   * is true if it is carried out at once, with no answer.
   */
  const faults = { late: () => 0, lost: () => false }
  let ended = []
  let lastEnd = 0
  let sequence = 0
  let token = 0
  let leaseUntil = 0

  const clock = () => Math.floor(performance.now() - startedAt) + 1000
  const noteHighest = (task, run) => highest.set(task, Math.max(run, highest.get(task) ?? 0))
  const end = (entry, how) => {
    if (running.get(entry.task) !== entry) return
    clearTimeout(entry.timer)
    running.delete(entry.task)
    noteHighest(entry.task, entry.run)
    ended.push([++lastEnd, entry.task, entry.run, how, ''])
    entry.ranUntil = record.now()
    entry.how = how
    record.write(name, `run ${entry.run} of ${entry.task} ends ${how}`)
    for (const wake of [...waiters]) wake()
  }
  const expiry = setInterval(() => {
    if (clock() > leaseUntil) for (const entry of [...running.values()]) end(entry, 'lapsed')
  }, EXPIRY_CHECK_MS)
  const extend = (until) => {
    if (Number.isInteger(until)) leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + holdMaxMs))
  }
  const refuse = (reason) => [409, { clock_ms: clock(), reason }]

  const start = ({ task, run, spec, deadline_ms: until }) => {
    if (until <= clock()) return refuse('late')
    extend(until)
    if (running.get(task)?.run === run) return [200, { clock_ms: clock() }]
    if (run <= (highest.get(task) ?? 0) || running.has(task)) return refuse('old')
    const runMs = Number(/run_ms=(\d+)/.exec(spec)?.[1] ?? 100)
    const entry = { task, run, spec, machine, worker: name, startedAt: record.now() }
    entry.timer = setTimeout(() => end(entry, 'done'), runMs)
    running.set(task, entry)
    runs.push(entry)
    record.write(name, `run ${run} of ${task} starts, ordered by ${machine}`)
    return [200, { clock_ms: clock() }]
  }
  const stop = ({ task, run }) => {
    noteHighest(task, run)
    const entry = running.get(task)
    if (entry && entry.run <= run) setTimeout(() => end(entry, 'stopped'), STOP_MS)
    return [200, { clock_ms: clock() }]
  }
  const hold = async ({ last_seen: lastSeen = 0, deadline_ms: until, wait_ms: waitMs = 0 }) => {
    ended = ended.filter(([number]) => number > lastSeen)
    extend(until)
    if (ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(2000, waitMs))
        waiters.add(wake)
      })
    }
    return [200, {
      clock_ms: clock(),
      born,
      running: [...running.values()].map(({ task, run }) => [task, run, '', 100, 1600]),
      ended: ended.slice(0, MAX_ENDS)
    }]
  }
  const respond = async (request, body) => {
    const target = request.headers['mustarddeck-target-instance']
    if (target !== undefined && target !== id) return [421, {}]
    const given = body.fencing_token ?? 0
    if (given < token) return refuse('fence')
    token = given
    if (request.url === '/run-start') return start(body)
    if (request.url === '/run-stop') return stop(body)
    if (request.url === '/hold') return hold(body)
    return [404, {}]
  }
  const server = http.createServer((request, response) => {
    if (state.down) return request.socket.destroy()
    let text = ''
    request.on('data', (chunk) => { text += chunk })
    request.on('end', async () => {
      const lateMs = request.method === 'POST' ? faults.late(request.url) : 0
      // Nothing further is delivered on a connection on which an answer is lost.
      if (lateMs > 0) {
        record.write(name, `${request.url} is carried out ${lateMs} ms later: ${text.slice(0, 60)}`)
        setTimeout(() => { if (!state.stopped && !state.down) respond(request, JSON.parse(text)) }, lateMs)
        return
      }
      const [status, body] = request.method === 'POST' ? await respond(request, JSON.parse(text)) : [200, {}]
      if (faults.lost(request.url)) {
        record.write(name, `the answer to ${request.url} is lost: ${text.slice(0, 60)}`)
        return
      }
      const headers = { 'Content-Type': 'application/json', 'Mustarddeck-Instance-Id': id }
      response.writeHead(status, headers).end(JSON.stringify(body))
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })

  let timer
  const beat = () => {
    if (state.stopped || state.down) return
    const body = JSON.stringify({
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: state.draining ? 'draining' : 'ready',
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: memory, gpu: 0 },
      labels,
      clock_ms: clock(),
      born,
      sequence: ++sequence
    })
    const again = (ms) => {
      clearTimeout(timer)
      if (!state.stopped && !state.down) timer = setTimeout(beat, ms)
    }
    const headers = { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }
    const call = http.request({ ...control, method: 'PUT', path: `/instances/${id}`, headers, agent: false, timeout: 1000 })
    call.on('timeout', () => call.destroy(new Error('no answer')))
    call.on('error', () => again(AGAIN_MS))
    call.on('response', (response) => {
      response.resume()
      again(response.statusCode === 200 ? HEARTBEAT_MS : AGAIN_MS)
    })
    call.end(body)
  }
  beat()
  return {
    name,
    machine,
    id,
    faults,
    running,
    /** Reports `draining` from now on. */
    drain: () => {
      state.draining = true
      clearTimeout(timer)
      beat()
    },
    /**
     * Crashes, and starts again under the same id after the given time: it knows nothing of before. Its first heartbeat
     * comes `beatAfterMs` after its start.
     */
    crash: async (downMs, beatAfterMs = 0) => {
      record.write(name, 'crashes')
      state.down = true
      clearTimeout(timer)
      for (const entry of [...running.values()]) end(entry, 'lost')
      server.closeAllConnections()
      await new Promise((resolve) => setTimeout(resolve, downMs))
      if (state.stopped) return
      Object.assign(state, { down: false, draining: false })
      highest.clear()
      ended = []
      lastEnd = sequence = token = leaseUntil = 0
      born = Date.now()
      startedAt = performance.now()
      record.write(name, 'starts again')
      timer = setTimeout(beat, beatAfterMs)
    },
    stop: () => {
      state.stopped = true
      clearTimeout(timer)
      clearInterval(expiry)
      server.close()
      server.closeAllConnections()
    }
  }
}
