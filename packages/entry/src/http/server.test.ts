import * as http from 'node:http'
import * as net from 'node:net'
import { expect } from 'chai'
import * as fc from 'fast-check'
import type * as core from '@mustarddeck/entry-core'
import type * as types from '@mustarddeck/types'
import * as memoryTable from '../testing/memory-table.ts'
import * as harness from '../testing/harness.ts'

const JOB = 'abcdefgh.r0.1.7'
const SEED = 20_240_501
const MAX_BODY_BYTES = 20_000

const valid = () => ({ team: 'payouts', type: 'weigh', tasks: [{ name: 'a', payload: { kg: 7 } }] })

/** Answers every submission as complete, with the team in the result so that crossed answers show. */
const complete = (input: core.Input): core.Effect[] => {
  if (input.kind !== 'submit') return []
  const { id, tasks } = input.submission
  const results = tasks.map(({ name, payload }) => ({ name, result: payload }))
  return [{
    kind: 'answer', request: input.request, outcome: { kind: 'complete', job: id ?? JOB as types.JobId, results }
  }]
}

const post = (url: string, body: unknown, headers: Record<string, string> = {}) => fetch(`${url}/v1/jobs`, {
  method: 'POST',
  headers: { 'content-type': 'application/json', ...headers },
  body: typeof body === 'string' || body instanceof Uint8Array ? body : JSON.stringify(body)
})

const raw = (url: string, text: string): Promise<string> => new Promise((resolve, reject) => {
  const socket = net.connect(Number(new URL(url).port), '127.0.0.1', () => socket.write(text))
  let received = ''
  socket.setEncoding('utf8').on('data', (data) => { received += data }).on('end', () => resolve(received))
  socket.on('error', reject)
})

describe('entry HTTP requests', () => {
  let server: harness.Harness
  afterEach(() => server.stop())

  it('answers a submission with its whole outcome', async () => {
    server = await harness.start(complete)
    const response = await post(server.url, valid())
    expect(response.status).to.equal(200)
    expect(response.headers.get('mustarddeck-entry')).to.equal('entry-1')
    expect(await response.json()).to.deep.equal({ kind: 'complete', job: JOB, results: [{ name: 'a', result: { kg: 7 } }] })
  })

  const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth)
  const refusals: [string, unknown, number, string, Record<string, string>?][] = [
    ['malformed JSON', '{"team":', 400, 'malformed-json'],
    ['an empty body', '', 422, 'wrong-type'],
    ['a scalar body', '7', 400, 'malformed-json'],
    ['another media type', 'team=payouts', 415, 'unsupported-media-type', { 'content-type': 'text/plain' }],
    ['an unknown encoding', '{}', 415, 'unsupported-media-type', { 'content-encoding': 'zstd' }],
    ['a body above the limit', { ...valid(), tasks: [{ name: 'a', payload: 'x'.repeat(MAX_BODY_BYTES) }] }, 413, 'body-too-large'],
    ['an array body', [], 422, 'wrong-type'],
    ['an unknown field', { ...valid(), colour: 'red' }, 422, 'unknown-field'],
    ['an unknown field of a task', { ...valid(), tasks: [{ name: 'a', payload: 1, retry: 1 }] }, 422, 'unknown-field'],
    ['a number as team', { ...valid(), team: 7 }, 422, 'wrong-type'],
    ['a task without payload', { ...valid(), tasks: [{ name: 'a' }] }, 422, 'wrong-type'],
    ['a task name with a line break', { ...valid(), tasks: [{ name: 'a\r\nb', payload: 1 }] }, 422, 'wrong-type'],
    ['no tasks', { ...valid(), tasks: [] }, 422, 'wrong-type'],
    ['261 tasks', { ...valid(), tasks: Array.from({ length: 261 }, (_, at) => ({ name: `t${at}`, payload: 0 })) }, 422, 'too-many-tasks'],
    ['duplicate task names', { ...valid(), tasks: [{ name: 'a', payload: 1 }, { name: 'a', payload: 2 }] }, 422, 'duplicate-task-name'],
    ['a bad id', { ...valid(), id: 'nonsense' }, 400, 'bad-id'],
    ['a bad waiting time', { ...valid(), maxWaitMs: -1 }, 422, 'wrong-type'],
    ['an infinite number', '{"team":"a","type":"b","tasks":[{"name":"a","payload":1e999}]}', 422, 'bad-payload'],
    ['a lone surrogate', '{"team":"a","type":"b","tasks":[{"name":"a","payload":"\\ud800"}]}', 422, 'bad-payload'],
    ['deep nesting', `{"team":"a","type":"b","tasks":[{"name":"a","payload":${nested(1500)}}]}`, 422, 'bad-payload'],
    ['a prototype key', '{"team":"a","type":"b","tasks":[{"name":"a","payload":{"__proto__":{"x":1}}}]}', 400, 'malformed-json'],
    ['an empty key', valid(), 400, 'bad-idempotency-key', { 'idempotency-key': '' }],
    ['a key with an id', { ...valid(), id: JOB }, 400, 'bad-id', { 'idempotency-key': 'k' }]
  ]
  for (const [name, body, status, reason, headers] of refusals) {
    // A wrong request must get a tagged error, and none of its tasks may run.
    it(`refuses ${name} and runs nothing`, async () => {
      server = await harness.start(complete, { maxBodyBytes: MAX_BODY_BYTES })
      const response = await post(server.url, body as never, headers)
      const answer = await response.json() as { kind: string, reason: string, message: string }
      expect(answer).to.include({ kind: 'invalid', reason })
      expect(answer.message).to.have.length.within(1, 300)
      expect(response.status).to.equal(status)
      expect(server.core.submitted()).to.equal(0)
    })
  }

  it('refuses bad queries, ids, paths and methods', async () => {
    server = await harness.start(complete)
    const cases: [string, string, number][] = [
      ['GET', `/v1/jobs/${JOB}?waitMs=soon`, 400], ['GET', `/v1/jobs/${JOB}?waitMs=1&waitMs=2`, 400],
      ['GET', `/v1/jobs/${JOB}?waitms=1`, 400], ['GET', `/v1/jobs/${JOB}?waitMs=60001`, 400],
      ['GET', '/v1/jobs/nonsense', 400], ['DELETE', '/v1/jobs/a.b', 400], ['GET', '/v1/nothing', 404],
      ['PUT', `/v1/jobs/${JOB}`, 405], ['GET', '/v1/jobs/%E0%A4%A', 400]
    ]
    for (const [method, path, status] of cases) {
      const response = await fetch(server.url + path, { method })
      expect(response.status, path).to.equal(status)
      expect(await response.json(), path).to.have.property('kind', 'invalid')
    }
    expect(server.core.inputs).to.deep.equal([])
  })

  it('refuses what is not HTTP, headers that are too large and bodies that stop short', async () => {
    server = await harness.start(complete, { headersTimeoutMs: 200, requestTimeoutMs: 200 })
    expect(await raw(server.url, 'nonsense\r\n\r\n')).to.match(/^HTTP\/1.1 400 [^]*"reason":"malformed-request"/)
    expect(await raw(server.url, `GET /live HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`))
      .to.match(/^HTTP\/1.1 431 [^]*"reason":"headers-too-large"/)
    expect(await raw(server.url, 'POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n' +
      'content-length: 500\r\n\r\n{')).to.match(/^HTTP\/1.1 408 [^]*"reason":"request-timeout"/)
    expect(server.core.submitted()).to.equal(0)
  })

  it('survives callers that disconnect in the middle of a body', async () => {
    server = await harness.start(complete)
    const port = Number(new URL(server.url).port)
    await Promise.all(Array.from({ length: 20 }, () => new Promise<void>((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => {
        socket.write('POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 500\r\n\r\n{',
          () => socket.resetAndDestroy())
      })
      socket.on('close', () => resolve())
    })))
    expect((await post(server.url, valid())).status).to.equal(200)
    expect(server.core.submitted()).to.equal(1)
  })

  // Many large bodies at a time would exhaust the memory of the process.
  it('refuses bodies above the bytes that may be received at a time', async () => {
    server = await harness.start(complete, { maxReceivingBytes: 10 })
    const response = await post(server.url, valid())
    expect(response.status).to.equal(503)
    expect(await response.json()).to.include({ kind: 'not-run', reason: 'overload', final: false })
    expect(server.core.submitted()).to.equal(0)
  })

  // Arbitrary bodies must never run or stop the process; only a valid submission reaches the decision code.
  it('survives fuzzed bodies', async () => {
    server = await harness.start(complete)
    const near = fc.record({
      team: fc.oneof(fc.constant('t'), fc.jsonValue()),
      type: fc.oneof(fc.constant('x'), fc.jsonValue()),
      tasks: fc.oneof(fc.array(fc.record({ name: fc.string(), payload: fc.jsonValue() })), fc.jsonValue()),
      id: fc.oneof(fc.string(), fc.jsonValue())
    }, { requiredKeys: [] }).map((value) => JSON.stringify(value))
    const bytes = fc.uint8Array({ maxLength: 200 })
    const text = fc.json()
    await fc.assert(fc.asyncProperty(fc.oneof(near, bytes, text), async (body) => {
      const before = server.core.submitted()
      const response = await post(server.url, body)
      const answer = await response.json() as { kind: string }
      const refused = response.status >= 400 && response.status < 500 && answer.kind === 'invalid'
      expect(refused ? before : before + 1).to.equal(server.core.submitted())
      expect(refused || answer.kind === 'complete', JSON.stringify(answer)).to.equal(true)
    }), { numRuns: 300, seed: SEED })
  })
})

describe('entry HTTP answers', () => {
  let server: harness.Harness
  afterEach(() => server.stop())

  const outcomes: [number, types.Outcome, string?][] = [
    [202, { kind: 'pending', job: JOB as types.JobId }],
    [500, { kind: 'failed', job: JOB as types.JobId, reason: 'task-failed', tasks: [] }],
    [503, { kind: 'not-run', reason: 'overload', final: true, retryAfterMs: 1500 }, '2'],
    [429, { kind: 'not-run', reason: 'quota', final: true, retryAfterMs: 10 }, '1'],
    [504, { kind: 'unknown', job: JOB as types.JobId, reason: 'agent-unreachable', retryAfterMs: 1000 }, '1'],
    [410, { kind: 'expired', job: JOB as types.JobId }],
    [409, { kind: 'conflict', job: JOB as types.JobId }]
  ]
  for (const [status, outcome, retryAfter] of outcomes) {
    it(`answers ${outcome.kind} with ${status}`, async () => {
      server = await harness.start((input) =>
        input.kind === 'submit' ? [{ kind: 'answer', request: input.request, outcome }] : [])
      const response = await post(server.url, valid())
      expect(response.status).to.equal(status)
      expect(response.headers.get('retry-after') ?? undefined).to.equal(retryAfter)
      expect(await response.json()).to.deep.equal(outcome)
    })
  }

  // Answers come late, in another order and twice; each caller must still get its own.
  it('gives each answer to the caller whose request it names', async () => {
    const held: core.Input[] = []
    const callers = 40
    server = await harness.start((input) => {
      if (input.kind !== 'submit') return []
      held.push(input)
      if (held.length < callers) return []
      const answers = held.reverse().flatMap((one) => complete(one))
      return [...answers, ...answers]
    })
    const answers = await Promise.all(Array.from({ length: callers }, async (_, at) => {
      const response = await post(server.url, { ...valid(), tasks: [{ name: 'a', payload: at }] })
      return (await response.json() as { results: { result: number }[] }).results[0]!.result
    }))
    expect(answers).to.deep.equal(Array.from({ length: callers }, (_, at) => at))
  })

  it('does not pass on an outcome of another job', async () => {
    server = await harness.start((input) => input.kind === 'inquire'
      ? [{ kind: 'answer', request: input.request, outcome: { kind: 'complete', job: JOB as types.JobId, results: [] } }]
      : [])
    const response = await fetch(`${server.url}/v1/jobs/abcdefgh.r0.1.8`)
    expect(await response.json()).to.include({ kind: 'unknown', job: 'abcdefgh.r0.1.8' })
  })

  it('tells the decision code that a caller disconnected, and drops the late answer', async () => {
    let arrived = (): void => {}
    let abandoned = (): void => {}
    const submitted = new Promise<void>((resolve) => { arrived = resolve })
    const closed = new Promise<void>((resolve) => { abandoned = resolve })
    server = await harness.start((input) => {
      if (input.kind === 'submit') arrived()
      if (input.kind !== 'abandoned') return []
      abandoned()
      return [{ kind: 'answer', request: input.request, outcome: { kind: 'pending', job: JOB as types.JobId } }]
    })
    const request = http.request(`${server.url}/v1/jobs`, {
      method: 'POST', headers: { 'content-type': 'application/json' }
    })
    request.on('error', () => {})
    request.end(JSON.stringify(valid()))
    await submitted
    request.destroy()
    await closed
    expect((await fetch(`${server.url}/live`)).status).to.equal(200)
  })

  it('refuses requests above the number of open ones as not run', async () => {
    server = await harness.start(() => [], { maxOpenRequests: 0 })
    const response = await post(server.url, valid())
    expect(response.status).to.equal(503)
    expect(await response.json()).to.include({ kind: 'not-run', reason: 'overload', final: false })
    expect(server.core.submitted()).to.equal(0)
    expect(server.refusals).to.deep.equal(['overload'])
  })

  // Without rules the decision code would refuse every task type for good.
  it('refuses work without a final word until a configuration is in force', async () => {
    server = await harness.start(complete, { configured: false })
    const response = await post(server.url, valid())
    expect(await response.json()).to.include({ kind: 'not-run', reason: 'store-unavailable', final: false })
    expect((await fetch(`${server.url}/ready`)).status).to.equal(503)
    expect(server.core.submitted()).to.equal(0)
  })

  // Another request with the key may have started the job, so the refusal claims nothing about the key.
  it('binds requests with one key to one id, and refuses them without a final word while the store is down', async () => {
    const table = new memoryTable.MemoryTable()
    server = await harness.start(complete, { table })
    const send = async (key: string, body: object = valid()) => {
      const response = await post(server.url, body, { 'idempotency-key': key })
      return await response.json() as types.Outcome
    }
    const first = await send('one')
    expect(await send('one')).to.deep.equal(first)
    expect((await send('two')).job).not.to.equal(first.job)
    expect((await send('one', { ...valid(), team: 'others' })).job).not.to.equal(first.job)
    const submitted = server.core.submitted()
    table.faults.push('unavailable')
    expect(await send('three')).to.include({ kind: 'not-run', reason: 'store-unavailable', final: false })
    expect(server.core.submitted()).to.equal(submitted)
  })

  it('needs the bearer token for the operator API', async () => {
    server = await harness.start(() => [])
    for (const authorization of ['', 'Bearer', 'Bearer wrong', `Basic ${harness.TOKEN}`]) {
      const refused = await fetch(`${server.url}/v1/operator/status`, { headers: { authorization } })
      expect(refused.status).to.equal(401)
    }
    const headers = { authorization: `Bearer ${harness.TOKEN}`, 'content-type': 'application/json' }
    const status = await fetch(`${server.url}/v1/operator/status`, { headers })
    expect(await status.json()).to.include({ kind: 'status', name: 'entry-1' })
    const drain = (target: string) => fetch(`${server.url}/v1/operator/drain`, {
      method: 'POST', headers, body: JSON.stringify({ target })
    })
    expect((await drain('entry-1')).status).to.equal(202)
    expect((await drain('entry-9')).status).to.equal(404)
  })
})
