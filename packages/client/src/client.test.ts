import * as http from 'node:http'
import type * as net from 'node:net'
import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import * as client from './index.ts'

const SEED = 7
const JOB = { team: 't', type: 'x', tasks: [{ name: 'a', payload: 1 }] }

interface Received {
  entry: string
  path: string
  id?: string
}

type Answer = { status?: number, body: object, name?: string } | 'cut'

/** Starts a scripted entry on a free port. `answer` is called once per job request; 'cut' drops the connection. */
const serve = async (name: string, received: Received[], answer: (id: string | undefined) => Answer) => {
  let block = 0
  const server = http.createServer(async (request, response) => {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const text = Buffer.concat(chunks).toString()
    const { id } = (text === '' ? {} : JSON.parse(text)) as { id?: string }
    const path = request.url!.split('?')[0]!
    received.push({ entry: name, path, id })
    const chosenAnswer: Answer = path === '/v1/id-blocks'
      ? { body: { kind: 'reserved', prefix: `${name}.r0.${++block}`, first: 0, count: 10, lifetimeMs: 60_000 } }
      : answer(id)
    if (chosenAnswer === 'cut') return request.socket.destroy()
    response.writeHead(chosenAnswer.status ?? 200, { 'mustarddeck-entry': chosenAnswer.name ?? name })
    response.end(JSON.stringify(chosenAnswer.body))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const stop = (): void => {
    server.close()
    server.closeAllConnections()
  }
  return { url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`, stop }
}

describe('client', () => {
  const received: Received[] = []
  const stops: (() => void)[] = []
  const start = async (name: string, answer: (id: string | undefined) => Answer): Promise<string> => {
    const { url, stop } = await serve(name, received, answer)
    stops.push(stop)
    return url
  }
  const connect = (entries: string[]): client.Client => {
    const created = client.create({ entries, timers: clock.createSystem(), random: random.create(SEED), waitMs: 500 })
    stops.push(() => created.close())
    return created
  }
  const ids = (): (string | undefined)[] =>
    received.filter(({ path }) => path === '/v1/jobs').map(({ id }) => id)

  afterEach(() => {
    for (const stop of stops.splice(0)) stop()
    received.splice(0)
  })

  const complete = (job: string | undefined): Answer => ({ body: { kind: 'complete', job, results: [] } })
  const notRun = (job: string | undefined, reason: string, final: boolean): Answer =>
    ({ status: 503, body: { kind: 'not-run', job, reason, final, retryAfterMs: 1 } })

  // Resubmitting a job that may have run under a new id would run it twice.
  it('keeps its id through lost answers, unknown outcomes and other entries', async () => {
    let calls = 0
    const answer = (id: string | undefined): Answer => {
      calls++
      if (calls === 1) return 'cut'
      if (calls === 2) return { status: 504, body: { kind: 'unknown', job: id, reason: 'owner-unreachable', retryAfterMs: 1 } }
      if (calls === 3) return { status: 502, body: { error: 'proxy' } }
      if (calls === 4) return notRun(id, 'overload', false)
      if (calls === 5) return { status: 202, body: { kind: 'pending', job: id } }
      if (calls === 6) return complete('another.r0.1.1')
      return complete(id)
    }
    const created = connect([await start('one', answer), await start('two', answer)])
    const result = await created.submit(JOB)
    expect(result).to.have.nested.property('value.kind', 'complete')
    expect(ids()).to.have.length(7)
    expect(new Set(ids()).size).to.equal(1)
    expect(new Set(received.map(({ entry }) => entry)).size).to.equal(2)
  })

  it('uses a new id only after a final refusal, and returns a refusal caused by load', async () => {
    let calls = 0
    const created = connect([await start('one', (id) => {
      calls++
      if (calls === 1) return notRun(id, 'draining', true)
      if (calls === 2) return notRun(id, 'overload', true)
      return complete(id)
    })])
    const refused = await created.submit(JOB)
    expect(refused).to.deep.include({ kind: 'ok' }).and.have.nested.property('value.reason', 'overload')
    expect(ids()).to.deep.equal(['one.r0.1.0', 'one.r0.2.0'])
    calls = 1
    expect(await created.submit(JOB, { retryRefused: true })).to.have.nested.property('value.kind', 'complete')
    expect(new Set(ids()).size).to.equal(4)
  })

  // With ids of the previous entry, every job would need an extra message between entries.
  it('reserves a new block when its connection moves to another entry', async () => {
    let name = 'one'
    const created = connect([await start('one', (id) => ({ ...complete(id) as object, name }) as Answer)])
    await created.submit(JOB)
    name = 'two'
    await created.submit(JOB)
    await created.submit(JOB)
    expect(ids()).to.deep.equal(['one.r0.1.0', 'one.r0.1.1', 'one.r0.2.0'])
  })

  it('returns refusals of invalid requests, and reports undecided at its deadline', async () => {
    const wrong = connect([await start('one', () => ({ status: 422, body: { kind: 'invalid', reason: 'wrong-type', message: 'm' } }))])
    expect(await wrong.submit(JOB)).to.deep.equal({
      kind: 'error', error: { kind: 'invalid', reason: 'wrong-type', message: 'm' }
    })
    const slow = connect([await start('two', (id) => ({ status: 202, body: { kind: 'pending', job: id } }))])
    const result = await slow.submit(JOB, { deadlineMs: 50 })
    expect(result).to.have.nested.property('error.kind', 'undecided')
    expect(result).to.have.nested.property('error.job', 'two.r0.1.0')
  })
})
