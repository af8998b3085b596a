import * as http from 'node:http'

// Stand-in for a worker, as PROTOCOL.md describes it ("Running tasks", "Service discovery"). A task's `spec` is a JSON
// text with its run time in ms.

const HOLD_MAX_MS = 1000
const STOP_MS = 20
const TICK_MS = 5
const BEAT_MS = 1500
const RETRY_MS = 200
const ACK_WITHIN_MS = 1000
const SAVE_MS = 500
const LISTED_ENDS = 500

/**
 * Starts a worker that is called at `host` and reports to `control`. `note` records what starts and ends on it.
 * `sequenceOf` returns the sequence of the next heartbeat, from the number of those before.
 */
export const start = async ({
  id, host, control, service, zone, capacity, labels, note, sequenceOf = (count) => count + 1
}) => {
  const born = Date.now()
  const startedAt = performance.now()
  const clockMs = () => Math.floor(performance.now() - startedAt)
  const running = new Map()
  const highest = new Map()
  const waiters = new Set()
  let ended = []
  let endCount = 0
  let fence = 0
  let leaseUntil = 0
  let beatCount = 0
  let state = 'ready'
  let stopped = false
  let ackAt

  const finish = (run, how) => {
    if (running.get(run.task) !== run) return
    clearTimeout(run.timer)
    running.delete(run.task)
    highest.set(run.task, Math.max(run.run, highest.get(run.task) ?? 0))
    ended.push([++endCount, run.task, run.run, how, ''])
    note('end', { worker: id, task: run.task, run: run.run, how, ranMs: Math.round(performance.now() - run.since) })
    for (const wake of [...waiters]) wake()
  }
  const grant = (deadlineMs) => {
    if (deadlineMs !== undefined) leaseUntil = Math.max(leaseUntil, Math.min(deadlineMs, clockMs() + HOLD_MAX_MS))
  }
  const isFenced = ({ fencing_token: token = 0 }) => {
    if (token < fence) return true
    fence = token
    return false
  }
  const refuse = (reason) => [409, { clock_ms: clockMs(), born, reason }]
  const startRun = (body) => {
    const { task, run, spec, deadline_ms: deadlineMs } = body
    if (typeof task !== 'string' || !Number.isInteger(run) || typeof spec !== 'string') return [400, { clock_ms: clockMs() }]
    if (isFenced(body)) return refuse('fence')
    const present = running.get(task)
    if (present?.run === run) {
      grant(deadlineMs)
      return [200, { clock_ms: clockMs(), born }]
    }
    if (deadlineMs <= clockMs()) return refuse('late')
    grant(deadlineMs)
    if (run <= (highest.get(task) ?? 0) || present) return refuse('old')
    const started = { task, run, since: performance.now() }
    started.timer = setTimeout(() => finish(started, 'done'), JSON.parse(spec).ms)
    running.set(task, started)
    note('start', { worker: id, task, run, state })
    return [200, { clock_ms: clockMs(), born }]
  }
  const stopRun = (body) => {
    if (isFenced(body)) return refuse('fence')
    highest.set(body.task, Math.max(body.run, highest.get(body.task) ?? 0))
    const present = running.get(body.task)
    if (present && present.run <= body.run) setTimeout(() => finish(present, 'stopped'), STOP_MS)
    return [200, { clock_ms: clockMs(), born }]
  }
  const hold = async (body) => {
    if (isFenced(body)) return refuse('fence')
    grant(body.deadline_ms)
    ended = ended.filter(([number]) => number > (body.last_seen ?? 0))
    if (ended.length === 0 && body.wait_ms > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(2000, body.wait_ms))
        waiters.add(wake)
      })
    }
    const rows = [...running.values()].map(({ task, run, since }) => {
      const saved = Math.floor((performance.now() - since) / SAVE_MS)
      return [task, run, saved > 0 ? String(saved) : '', 50, 1600]
    })
    return [200, { clock_ms: clockMs(), born, running: rows, ended: ended.slice(0, LISTED_ENDS) }]
  }
  const calls = { '/run-start': startRun, '/run-stop': stopRun, '/hold': hold }
  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', async () => {
      const target = request.headers['mustarddeck-target-instance']
      const call = calls[request.url]
      const [status, content] = target !== undefined && target !== id
        ? [421, {}]
        : call ? await call(JSON.parse(Buffer.concat(chunks).toString())) : [404, {}]
      if (response.destroyed || stopped) return
      response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(content))
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve) => server.listen(0, host, resolve))
  const ticking = setInterval(() => {
    if (clockMs() > leaseUntil) for (const run of [...running.values()]) finish(run, 'lapsed')
  }, TICK_MS)

  const send = (method, body) => new Promise((resolve) => {
    const [controlHost, port] = control.split(':')
    const text = body === undefined ? '' : JSON.stringify(body)
    const call = http.request({
      host: controlHost,
      port,
      method,
      path: `/instances/${id}`,
      headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) },
      timeout: ACK_WITHIN_MS
    })
    call.on('response', (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
    })
    call.on('timeout', () => call.destroy())
    call.on('error', () => resolve(undefined))
    call.end(text)
  })
  const sendBeat = () => {
    const sequence = sequenceOf(beatCount++)
    return send('PUT', {
      service,
      address: `${host}:${server.address().port}`,
      zone,
      version: 'v1',
      slots: 8,
      state,
      cold_remaining_ms: 0,
      capacity,
      labels,
      clock_ms: clockMs(),
      sequence,
      born
    })
  }
  const beat = async () => {
    if (stopped) return
    const reported = state
    const status = await sendBeat()
    if (status === 200 && reported === 'draining' && ackAt === undefined) {
      ackAt = performance.now()
      note('draining-acknowledged', { worker: id })
    }
    beating = setTimeout(beat, status === 200 && reported === state ? BEAT_MS : RETRY_MS)
  }
  let beating = setTimeout(beat, 0)
  return {
    id,
    app: `${host}:${server.address().port}`,
    running: () => [...running.keys()],
    /** Reports `draining` until a call is acknowledged, and goes on serving. */
    drain: () => {
      state = 'draining'
      clearTimeout(beating)
      beat()
    },
    /** Withdraws the worker and ends all that runs on it. */
    leave: async () => {
      clearTimeout(beating)
      await send('DELETE')
      stopped = true
      for (const run of [...running.values()]) {
        clearTimeout(run.timer)
        running.delete(run.task)
        note('end', { worker: id, task: run.task, run: run.run, how: 'worker left' })
      }
      server.closeAllConnections()
      server.close()
    },
    stop: () => {
      stopped = true
      clearTimeout(beating)
      clearInterval(ticking)
      for (const run of running.values()) clearTimeout(run.timer)
      server.closeAllConnections()
      server.close()
    }
  }
}
