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
/** Slots of one worker. */
const SLOTS_PER_WORKER = 8
const DEADLINE_MS = 60_000

type Result = errors.Result<types.Outcome, client.Failure>
type Entry = processes.EntryProcess

interface Payload {
  token: string
  runMs: number
}

interface Submitted {
  tasks: { name: string, payload: Payload }[]
  result: Result
}

describe(`process failures while jobs run (seed ${SEED})`, function () {
  this.timeout(120_000)
  const generator = random.create(SEED)
  let deployment: processes.Deployment
  let entries: Entry[]
  let backend: string
  let platform: string
  const clients: client.Client[] = []
  let tokens = 0

  /** Starts two entries and three workers that share a backend server, and publishes the sample declarations. */
  const startDeployment = async (limits = {}): Promise<processes.Process[]> => {
    deployment = processes.deploy()
    platform = await deployment.startPlatform()
    backend = await deployment.startBackend()
    const first = await deployment.startEntry('entry-1', [], limits)
    const second = await deployment.startEntry('entry-2', [first.address], limits)
    entries = [first, second]
    const addresses = entries.map(({ address }) => address)
    const agents = await Promise.all(['worker-1', 'worker-2', 'worker-3'].map((worker) =>
      deployment.startAgent(worker, addresses, backend)))
    await samples.publish(samples.load('corkbook'), platform)
    await Promise.all(entries.map((entry) => deployment.ready(entry, 3)))
    return agents
  }
  afterEach(async () => {
    for (const created of clients.splice(0)) created.close()
    await deployment.stop()
  })

  const createClient = (urls: string[]): client.Client => {
    const timers = clock.createSystem()
    const created = client.create({ entries: urls, timers, random: generator.fork(), waitMs: 1000 })
    clients.push(created)
    return created
  }
  const makeTasks = (): Submitted['tasks'] => Array.from({ length: generator.integer(1, MAX_TASKS) }, (_, at) => ({
    name: `task-${at}`, payload: { token: `token-${tokens++}`, runMs: generator.integer(20, MAX_RUN_MS) }
  }))
  const submit = async (submitter: client.Client): Promise<Submitted> => {
    const tasks = makeTasks()
    const result = await submitter.submit({ team: 'depots', type: 'delivery-booking', tasks },
      { deadlineMs: DEADLINE_MS, retryRefused: true })
    return { tasks, result }
  }
  const post = async (entry: Entry, path: string, body: object, headers = {}): Promise<unknown> => {
    const response = await fetch(entry.url + path, {
      method: 'POST', headers: { 'content-type': 'application/json', ...headers }, body: JSON.stringify(body)
    })
    return response.json()
  }
  /** Submits the job and closes the connection as soon as the request is sent. */
  const submitAndDisconnect = (entry: Entry, job: object): Promise<void> => new Promise((resolve) => {
    const request = http.request(`${entry.url}/v1/jobs`, {
      method: 'POST', headers: { 'content-type': 'application/json' }
    })
    request.on('error', () => {}).on('close', () => resolve())
    request.end(JSON.stringify(job), () => request.destroy())
  })
  /** Submits all jobs at once. Calls `injectFault` after the first outcome, while other jobs are in progress. */
  const submitAll = async (submitters: client.Client[], injectFault: () => void): Promise<Submitted[]> => {
    const submissions = Array.from({ length: JOBS }, (_, at) => submit(submitters[at % submitters.length]!))
    await Promise.race(submissions)
    injectFault()
    return Promise.all(submissions)
  }
  const countOutcomes = (submitted: Submitted[]): Record<string, number> => {
    const counts: Record<string, number> = {}
    for (const { result } of submitted) {
      const kind = result.kind === 'ok' ? result.value.kind : result.error.kind
      counts[kind] = (counts[kind] ?? 0) + 1
    }
    return counts
  }
  /** Expects each job to have one final outcome with its own results, and no task to be started twice under any id. */
  const expectOneOutcomeEach = async (
    submitted: Submitted[], failure: types.JobFailure = 'owner-lost'
  ): Promise<void> => {
    const counts = countOutcomes(submitted)
    expect(Object.keys(counts).filter((kind) => kind !== 'complete' && kind !== 'failed'),
      JSON.stringify(counts)).to.deep.equal([])
    for (const { tasks, result } of submitted) {
      if (result.kind !== 'ok') continue
      if (result.value.kind === 'complete') {
        const payloads = result.value.results.map((task) => ({
          name: task.name, payload: (task.result as { payload: Payload }).payload
        }))
        expect(payloads).to.deep.equal(tasks)
      } else if (result.value.kind === 'failed') {
        expect(result.value.reason).to.equal(failure)
        expect(result.value.tasks.map(({ name }) => name)).to.deep.equal(tasks.map(({ name }) => name))
      }
    }
    const report = await (await fetch(`${backend}/report`)).json() as { repeated: unknown[], repeatedTokens: unknown[] }
    expect(report).to.deep.include({ repeated: [], repeatedTokens: [] })
  }

  // After the owner is killed, a resubmission to another entry must neither run a task twice nor wait for the owner.
  it('start each task at most once when an entry is killed', async () => {
    await startDeployment()
    const [first, second] = entries as [Entry, Entry]
    const submitters = [createClient([first.url, second.url]), createClient([second.url, first.url])]
    const submitted = await submitAll(submitters, () => first.process.kill('SIGKILL'))
    await expectOneOutcomeEach(submitted)
    expect(countOutcomes(submitted)['complete']).to.be.greaterThan(JOBS / 2)
  })

  // Tasks of a killed worker may have run, so their jobs must not run elsewhere but must still get an outcome.
  it('report an outcome for the jobs of a killed worker', async () => {
    const [agent] = await startDeployment({ removeAgentAfterMs: 1000 })
    const submitters = entries.map(({ url }) => createClient([url]))
    const submitted = await submitAll(submitters, () => agent!.kill('SIGKILL'))
    await expectOneOutcomeEach(submitted, 'worker-lost')
    expect(countOutcomes(submitted)['failed']).to.be.within(1, SLOTS_PER_WORKER)
  })

  // A paused owner resumes with jobs whose outcomes other entries have decided in the meantime.
  it('start each task at most once when an entry is paused and continues', async () => {
    await startDeployment()
    const [first, second] = entries as [Entry, Entry]
    const submitters = [createClient([first.url, second.url]), createClient([second.url, first.url])]
    const submitted = await submitAll(submitters, () => first.process.kill('SIGSTOP'))
    first.process.kill('SIGCONT')
    await first.process.logged('fenced')
    await deployment.ready(first, 3)
    const afterwards = await Promise.all(Array.from({ length: 10 }, () => submit(createClient([first.url]))))
    await expectOneOutcomeEach([...submitted, ...afterwards])
    expect(countOutcomes(afterwards)).to.deep.equal({ complete: 10 })
  })

  // A caller that loses its connection resubmits the job, which is still running and must not run again.
  it('continue a job whose caller disconnects, and answer its resubmission at another entry', async () => {
    await startDeployment()
    const [first, second] = entries as [Entry, Entry]
    const reserved = await post(first, '/v1/id-blocks', { count: 10 }) as { prefix: string, first: number }
    const submitted = await Promise.all(Array.from({ length: 10 }, async (_, at): Promise<Submitted> => {
      const id = `${reserved.prefix}.${reserved.first + at}`
      const job = { id, team: 'depots', type: 'delivery-booking', tasks: makeTasks() }
      await submitAndDisconnect(first, job)
      const again = await post(second, '/v1/jobs?waitMs=20000', job) as types.Outcome
      expect(again.job).to.equal(id)
      return { tasks: job.tasks, result: { kind: 'ok', value: again } }
    }))
    await expectOneOutcomeEach(submitted)
    expect(countOutcomes(submitted)).to.deep.equal({ complete: 10 })
  })

  it('run jobs while the store is down, and refuse idempotency keys with a non-final outcome', async () => {
    await startDeployment()
    const [first, second] = entries as [Entry, Entry]
    const faults = (change: object) => fetch(`${platform}/faults`, {
      method: 'PATCH', headers: { 'content-type': 'application/json' }, body: JSON.stringify(change)
    })
    const job = { team: 'depots', type: 'delivery-booking', tasks: makeTasks() }
    const key = { 'idempotency-key': 'delivery-7' }
    expect((await faults({ down: true })).status).to.equal(200)
    const submitted = await Promise.all(Array.from({ length: 10 }, () => submit(createClient([first.url]))))
    await expectOneOutcomeEach(submitted)
    expect(countOutcomes(submitted)).to.deep.equal({ complete: 10 })
    expect(await post(first, '/v1/jobs', job, key)).to.include({ kind: 'not-run', final: false })
    expect((await faults({ down: false, lostAnswers: 0.5 })).status).to.equal(200)
    const keyed = await Promise.all([first, second, first, second].map((entry) => post(entry, '/v1/jobs', job, key)))
    expect(keyed.map((outcome) => (outcome as types.Outcome).kind)).to.deep.equal(keyed.map(() => 'complete'))
    expect(new Set(keyed.map((outcome) => (outcome as types.Outcome).job)).size).to.equal(1)
    await expectOneOutcomeEach([])
  })

  it('answer every request in progress on SIGTERM and hand over the outcomes', async () => {
    await startDeployment()
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
