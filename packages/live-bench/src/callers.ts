import * as http from 'node:http'
import * as hdr from 'hdr-histogram-js'
import * as settings from './settings.ts'

/** A closed loop of callers, or an open one with `ratePerSecond`. */
export interface Load {
  role: 'callers'
  url: string
  /** Jobs in progress at once in the closed loop. */
  concurrency: number
  ratePerSecond?: number
  tasksPerJob: number
  runMs: number
  warmUpMs: number
  durationMs: number
}

export interface Result {
  jobs: number
  failures: number
  /** Time in ms over the task's run time. */
  overheadP50: number
  overheadP99: number
}

const MICROSECONDS = 1000

export const run = async (load: Load): Promise<Result> => {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1000 })
  const body = JSON.stringify({
    team: settings.TEAM,
    type: settings.TYPE,
    tasks: Array.from({ length: load.tasksPerJob }, (_, index) => ({ name: `wire-${index}`, payload: { index } }))
  })
  const histogram = hdr.build({ highestTrackableValue: 60_000_000 })
  const start = performance.now()
  const measureFrom = start + load.warmUpMs
  const end = measureFrom + load.durationMs
  let jobs = 0
  let failures = 0

  const submit = (): Promise<boolean> => new Promise((resolve) => {
    const request = http.request(`${load.url}/v1/jobs?waitMs=20000`, {
      agent, method: 'POST', headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    }, (response) => {
      let text = ''
      response.setEncoding('utf8')
      response.on('data', (part: string) => { text += part })
      response.on('end', () => resolve(text.startsWith('{"kind":"complete"')))
    })
    request.on('error', () => resolve(false))
    request.end(body)
  })
  const measure = async (): Promise<void> => {
    const began = performance.now()
    const complete = await submit()
    const now = performance.now()
    if (began < measureFrom || now > end) return
    jobs++
    if (!complete) failures++
    histogram.recordValue(Math.max(0, Math.round((now - began - load.runMs) * MICROSECONDS)))
  }
  const loop = async (): Promise<void> => { while (performance.now() < end) await measure() }
  const paced = async (ratePerSecond: number): Promise<void> => {
    const open: Promise<void>[] = []
    for (let next = start; next < end; next += 1000 / ratePerSecond) {
      await new Promise((resolve) => setTimeout(resolve, Math.max(0, next - performance.now())))
      open.push(measure())
    }
    await Promise.all(open)
  }
  if (load.ratePerSecond === undefined) await Promise.all(Array.from({ length: load.concurrency }, loop))
  else await paced(load.ratePerSecond)
  agent.destroy()
  return {
    jobs,
    failures,
    overheadP50: histogram.getValueAtPercentile(50) / MICROSECONDS,
    overheadP99: histogram.getValueAtPercentile(99) / MICROSECONDS
  }
}
