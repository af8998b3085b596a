import * as http from 'node:http'
import { expect } from 'chai'
import * as client from '@mustarddeck/client'
import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import type * as errors from '@mustarddeck/errors'
import type * as types from '@mustarddeck/types'
import * as processes from './testing/processes.ts'
import * as samples from './samples.ts'

const SEED = 20_241_204
const JOBS = 80
const MAX_TASKS = 4
const MAX_RUN_MS = 400
const DEADLINE_MS = 60_000

type Result = errors.Result<types.Outcome, client.Failure>
type Entry = Awaited<ReturnType<processes.Deployment['startEntry']>>

interface Payload {
  token: string
  runMs: number
}

interface Submitted {
  tasks: { name: string, payload: Payload }[]
  result: Result
}

describe(`entries that fail in the middle of jobs (seed ${SEED})`, function () {
  this.timeout(120_000)
  const generator = random.create(SEED)
  let deployment: processes.Deployment
  let entries: Entry[]
  let backend: string
  let platform: string
  const clients: client.Client[] = []
  let tokens = 0

  beforeEach(async () => {
    deployment = processes.deploy()
    platform = await deployment.startPlatform()
    backend = await deployment.startBackend()
    const first = await deployment.startEntry('entry-1', [])
    const second = await deployment.startEntry('entry-2', [first.address])
    entries = [first, second]
    const addresses = entries.map(({ address }) => address)
    await Promise.all(['worker-1', 'worker-2', 'worker-3'].map((worker) =>
      deployment.startAgent(worker, addresses, backend)))
    await samples.publish(samples.load('corkbook'), platform)
    await Promise.all(entries.map((entry) => deployment.ready(entry, 3)))
  })
  afterEach(async () => {
    for (const created of clients.splice(0)) created.close()
    await deployment.stop()
  })

  const connect = (urls: string[]): client.Client => {
    const timers = clock.createSystem()
    const created = client.create({ entries: urls, timers, random: generator.fork(), waitMs: 1000 })
    clients.push(created)
    return created
  }
  const makeTasks = (): Submitted['tasks'] => Array.from({ length: generator.integer(1, MAX_TASKS) }, (_, at) => ({
    name: `task-${at}`, payload: { token: `token-${tokens++}`, runMs: generator.integer(20, MAX_RUN_MS) }
  }))
  const submit = async (through: client.Client): Promise<Submitted> => {
    const tasks = makeTasks()
    const result = await through.submit({ team: 'depots', type: 'delivery-booking', tasks },
      { deadlineMs: DEADLINE_MS, retryRefused: true })
    return { tasks, result }
  }
  const post = async (entry: Entry, path: string, body: object, headers = {}): Promise<unknown> => {
    const response = await fetch(entry.url + path, {
      method: 'POST', headers: { 'content-type': 'application/json', ...headers }, body: JSON.stringify(body)
    })
    return response.json()
  }
  /** Submits the job and cuts the connection as soon as the request is sent. */
  const disconnect = (entry: Entry, job: object): Promise<void> => new Promise((resolve) => {
    const request = http.request(`${entry.url}/v1/jobs`, {
      method: 'POST', headers: { 'content-type': 'application/json' }
    })
    request.on('error', () => {}).on('close', () => resolve())
    request.end(JSON.stringify(job), () => request.destroy())
  })
  /** Submits all jobs at once; `disturb` runs when the first of them has its outcome, while others are in progress. */
  const submitAll = async (through: client.Client[], disturb: () => void): Promise<Submitted[]> => {
    const submissions = Array.from({ length: JOBS }, (_, at) => submit(through[at % through.length]!))
    await Promise.race(submissions)
    disturb()
    return Promise.all(submissions)
  }
  const count = (submitted: Submitted[]): Record<string, number> => {
    const counts: Record<string, number> = {}
    for (const { result } of submitted) {
      const kind = result.kind === 'ok' ? result.value.kind : result.error.kind
      counts[kind] = (counts[kind] ?? 0) + 1
    }
    return counts
  }
  /** Every job has one final outcome, whole and its own, and no task was started twice under any id. */
  const check = async (submitted: Submitted[]): Promise<void> => {
    const counts = count(submitted)
    expect(Object.keys(counts).filter((kind) => kind !== 'complete' && kind !== 'failed'),
      JSON.stringify(counts)).to.deep.equal([])
    for (const { tasks, result } of submitted) {
      if (result.kind !== 'ok') continue
      if (result.value.kind === 'complete') {
        const payloads = result.value.results.map((one) => ({
          name: one.name, payload: (one.result as { payload: Payload }).payload
        }))
        expect(payloads).to.deep.equal(tasks)
      } else if (result.value.kind === 'failed') {
        expect(result.value.reason).to.equal('owner-lost')
        expect(result.value.tasks.map(({ name }) => name)).to.deep.equal(tasks.map(({ name }) => name))
      }
    }
    const report = await (await fetch(`${backend}/report`)).json() as { repeated: unknown[], repeatedTokens: unknown[] }
    expect(report).to.deep.include({ repeated: [], repeatedTokens: [] })
  }

  // A resubmission to another entry must neither run a task twice nor wait for the dead owner.
  it('start each task at most once when an entry is killed', async () => {
    const [first, second] = entries as [Entry, Entry]
    const through = [connect([first.url, second.url]), connect([second.url, first.url])]
    const submitted = await submitAll(through, () => first.process.kill('SIGKILL'))
    await check(submitted)
    expect(count(submitted)['complete']).to.be.greaterThan(JOBS / 2)
  })

  // A paused owner wakes up with work in hand that others have meanwhile decided about.
  it('start each task at most once when an entry is paused and continues', async () => {
    const [first, second] = entries as [Entry, Entry]
    const through = [connect([first.url, second.url]), connect([second.url, first.url])]
    const submitted = await submitAll(through, () => first.process.kill('SIGSTOP'))
    first.process.kill('SIGCONT')
    await first.process.logged('fenced')
    await deployment.ready(first, 3)
    const afterwards = await Promise.all(Array.from({ length: 10 }, () => submit(connect([first.url]))))
    await check([...submitted, ...afterwards])
    expect(count(afterwards)).to.deep.equal({ complete: 10 })
  })

  // A caller whose connection breaks resubmits, and the job that went on must not run again.
  it('go on with a job whose caller disconnects, and answer its resubmission elsewhere', async () => {
    const [first, second] = entries as [Entry, Entry]
    const reserved = await post(first, '/v1/id-blocks', { count: 10 }) as { prefix: string, first: number }
    const submitted = await Promise.all(Array.from({ length: 10 }, async (_, at): Promise<Submitted> => {
      const id = `${reserved.prefix}.${reserved.first + at}`
      const job = { id, team: 'depots', type: 'delivery-booking', tasks: makeTasks() }
      await disconnect(first, job)
      const again = await post(second, '/v1/jobs?waitMs=20000', job) as types.Outcome
      expect(again.job).to.equal(id)
      return { tasks: job.tasks, result: { kind: 'ok', value: again } }
    }))
    await check(submitted)
    expect(count(submitted)).to.deep.equal({ complete: 10 })
  })

  it('work on while the store is down, and refuse keys without a final word', async () => {
    const [first, second] = entries as [Entry, Entry]
    const faults = (change: object) => fetch(`${platform}/faults`, {
      method: 'PATCH', headers: { 'content-type': 'application/json' }, body: JSON.stringify(change)
    })
    const job = { team: 'depots', type: 'delivery-booking', tasks: makeTasks() }
    const key = { 'idempotency-key': 'delivery-7' }
    expect((await faults({ down: true })).status).to.equal(200)
    const submitted = await Promise.all(Array.from({ length: 10 }, () => submit(connect([first.url]))))
    await check(submitted)
    expect(count(submitted)).to.deep.equal({ complete: 10 })
    expect(await post(first, '/v1/jobs', job, key)).to.include({ kind: 'not-run', final: false })
    expect((await faults({ down: false, lostAnswers: 0.5 })).status).to.equal(200)
    const keyed = await Promise.all([first, second, first, second].map((entry) => post(entry, '/v1/jobs', job, key)))
    expect(keyed.map((outcome) => (outcome as types.Outcome).kind)).to.deep.equal(keyed.map(() => 'complete'))
    expect(new Set(keyed.map((outcome) => (outcome as types.Outcome).job)).size).to.equal(1)
    await check([])
  })

  it('answers every request in progress on SIGTERM and hands the outcomes over', async () => {
    const [first, second] = entries as [Entry, Entry]
    const body = (): string => JSON.stringify({ team: 'depots', type: 'delivery-booking', tasks: makeTasks() })
    const headers = { 'content-type': 'application/json' }
    const requests = Array.from({ length: 30 }, async () => {
      const response = await fetch(`${first.url}/v1/jobs?waitMs=30000`, { method: 'POST', headers, body: body() })
      return await response.json() as types.Outcome
    })
    await Promise.race(requests)
    first.process.kill('SIGTERM')
    const outcomes = await Promise.all(requests)
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(outcomes.map(() => 'complete'))
    expect(await first.process.exited, first.process.output()).to.equal(0)
    for (const outcome of outcomes) {
      const again = await fetch(`${second.url}/v1/jobs/${outcome.job}?waitMs=5000`)
      expect(await again.json()).to.deep.equal(outcome)
    }
  })
})
