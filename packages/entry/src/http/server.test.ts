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

const createSubmission = () => ({ team: 'payouts', type: 'weigh', tasks: [{ name: 'a', payload: { kg: 7 } }] })

/** Answers every submission as complete and echoes the payloads as results, so that swapped answers are detected. */
const answerComplete = (input: core.Input): core.Effect[] => {
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

const sendRaw = (url: string, text: string): Promise<string> => new Promise((resolve, reject) => {
  const socket = net.connect(Number(new URL(url).port), '127.0.0.1', () => socket.write(text))
  let received = ''
  socket.setEncoding('utf8').on('data', (data) => { received += data }).on('end', () => resolve(received))
  socket.on('error', reject)
})

describe('entry HTTP requests', () => {
  let server: harness.Harness
  afterEach(() => server.stop())

  it('answers a submission with its complete outcome', async () => {
    server = await harness.start(answerComplete)
    const response = await post(server.url, createSubmission())
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
    ['a body above the limit', { ...createSubmission(), tasks: [{ name: 'a', payload: 'x'.repeat(MAX_BODY_BYTES) }] }, 413, 'body-too-large'],
    ['an array body', [], 422, 'wrong-type'],
    ['an unknown field', { ...createSubmission(), colour: 'red' }, 422, 'unknown-field'],
    ['an unknown field of a task', { ...createSubmission(), tasks: [{ name: 'a', payload: 1, retry: 1 }] }, 422, 'unknown-field'],
    ['a number as team', { ...createSubmission(), team: 7 }, 422, 'wrong-type'],
    ['a task without payload', { ...createSubmission(), tasks: [{ name: 'a' }] }, 422, 'wrong-type'],
    ['a task name with a line break', { ...createSubmission(), tasks: [{ name: 'a\r\nb', payload: 1 }] }, 422, 'wrong-type'],
    ['no tasks', { ...createSubmission(), tasks: [] }, 422, 'wrong-type'],
    ['261 tasks', { ...createSubmission(), tasks: Array.from({ length: 261 }, (_, index) => ({ name: `t${index}`, payload: 0 })) }, 422, 'too-many-tasks'],
    ['duplicate task names', { ...createSubmission(), tasks: [{ name: 'a', payload: 1 }, { name: 'a', payload: 2 }] }, 422, 'duplicate-task-name'],
    ['a bad id', { ...createSubmission(), id: 'nonsense' }, 400, 'bad-id'],
    ['a bad waiting time', { ...createSubmission(), maxWaitMs: -1 }, 422, 'wrong-type'],
    ['an infinite number', '{"team":"a","type":"b","tasks":[{"name":"a","payload":1e999}]}', 422, 'bad-payload'],
    ['a lone surrogate', '{"team":"a","type":"b","tasks":[{"name":"a","payload":"\\ud800"}]}', 422, 'bad-payload'],
    ['deep nesting', `{"team":"a","type":"b","tasks":[{"name":"a","payload":${nested(1500)}}]}`, 422, 'bad-payload'],
    ['a prototype key', '{"team":"a","type":"b","tasks":[{"name":"a","payload":{"__proto__":{"x":1}}}]}', 400, 'malformed-json'],
    ['an empty key', createSubmission(), 400, 'bad-idempotency-key', { 'idempotency-key': '' }],
    ['a key with an id', { ...createSubmission(), id: JOB }, 400, 'bad-id', { 'idempotency-key': 'k' }]
  ]
  for (const [name, body, status, reason, headers] of refusals) {
    // An invalid request must get an error with a reason, and none of its tasks may run.
    it(`refuses ${name} and runs nothing`, async () => {
      server = await harness.start(answerComplete, { maxBodyBytes: MAX_BODY_BYTES })
      const response = await post(server.url, body as never, headers)
      const answer = await response.json() as { kind: string, reason: string, message: string }
      expect(answer).to.include({ kind: 'invalid', reason })
      expect(answer.message).to.have.length.within(1, 300)
      expect(response.status).to.equal(status)
      expect(server.core.submitted()).to.equal(0)
    })
  }

  it('refuses bad queries, ids, paths and methods', async () => {
    server = await harness.start(answerComplete)
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

  it('refuses malformed HTTP, oversized headers and incomplete bodies', async () => {
    server = await harness.start(answerComplete, { headersTimeoutMs: 200, requestTimeoutMs: 200 })
    expect(await sendRaw(server.url, 'nonsense\r\n\r\n')).to.match(/^HTTP\/1.1 400 [^]*"reason":"malformed-request"/)
    expect(await sendRaw(server.url, `GET /live HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`))
      .to.match(/^HTTP\/1.1 431 [^]*"reason":"headers-too-large"/)
    expect(await sendRaw(server.url, 'POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n' +
      'content-length: 500\r\n\r\n{')).to.match(/^HTTP\/1.1 408 [^]*"reason":"request-timeout"/)
    expect(server.core.submitted()).to.equal(0)
  })

  it('survives callers that disconnect in the middle of a body', async () => {
    server = await harness.start(answerComplete)
    const port = Number(new URL(server.url).port)
    await Promise.all(Array.from({ length: 20 }, () => new Promise<void>((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => {
        socket.write('POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 500\r\n\r\n{',
          () => socket.resetAndDestroy())
      })
      socket.on('close', () => resolve())
    })))
    expect((await post(server.url, createSubmission())).status).to.equal(200)
    expect(server.core.submitted()).to.equal(1)
  })

  // Many large bodies at the same time would exhaust the memory of the process.
  it('refuses bodies above the limit of bytes being received', async () => {
    server = await harness.start(answerComplete, { maxReceivingBytes: 10 })
    const response = await post(server.url, createSubmission())
    expect(response.status).to.equal(503)
    expect(await response.json()).to.include({ kind: 'not-run', reason: 'overload', final: false })
    expect(server.core.submitted()).to.equal(0)
  })

  // Arbitrary bodies must not crash the process, and only a valid submission may reach the decision code.
  it('survives fuzzed bodies', async () => {
    server = await harness.start(answerComplete)
    const almostValid = fc.record({
      team: fc.oneof(fc.constant('t'), fc.jsonValue()),
      type: fc.oneof(fc.constant('x'), fc.jsonValue()),
      tasks: fc.oneof(fc.array(fc.record({ name: fc.string(), payload: fc.jsonValue() })), fc.jsonValue()),
      id: fc.oneof(fc.string(), fc.jsonValue())
    }, { requiredKeys: [] }).map((value) => JSON.stringify(value))
    const bytes = fc.uint8Array({ maxLength: 200 })
    const text = fc.json()
    await fc.assert(fc.asyncProperty(fc.oneof(almostValid, bytes, text), async (body) => {
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
      const response = await post(server.url, createSubmission())
      expect(response.status).to.equal(status)
      expect(response.headers.get('retry-after') ?? undefined).to.equal(retryAfter)
      expect(await response.json()).to.deep.equal(outcome)
    })
  }

  // Answers may arrive late, out of order and twice; each caller must still get its own.
  it('delivers each answer to the caller of its request', async () => {
    const pendingInputs: core.Input[] = []
    const callers = 40
    server = await harness.start((input) => {
      if (input.kind !== 'submit') return []
      pendingInputs.push(input)
      if (pendingInputs.length < callers) return []
      const answers = pendingInputs.reverse().flatMap((input) => answerComplete(input))
      return [...answers, ...answers]
    })
    const answers = await Promise.all(Array.from({ length: callers }, async (_, index) => {
      const response = await post(server.url, { ...createSubmission(), tasks: [{ name: 'a', payload: index }] })
      return (await response.json() as { results: { result: number }[] }).results[0]!.result
    }))
    expect(answers).to.deep.equal(Array.from({ length: callers }, (_, index) => index))
  })

  it('does not return the outcome of another job', async () => {
    server = await harness.start((input) => input.kind === 'inquire'
      ? [{ kind: 'answer', request: input.request, outcome: { kind: 'complete', job: JOB as types.JobId, results: [] } }]
      : [])
    const response = await fetch(`${server.url}/v1/jobs/abcdefgh.r0.1.8`)
    expect(await response.json()).to.include({ kind: 'unknown', job: 'abcdefgh.r0.1.8' })
  })

  it('notifies the decision code that a caller disconnected, and drops the late answer', async () => {
    let resolveSubmitted = (): void => {}
    let resolveAbandoned = (): void => {}
    const submitted = new Promise<void>((resolve) => { resolveSubmitted = resolve })
    const abandoned = new Promise<void>((resolve) => { resolveAbandoned = resolve })
    server = await harness.start((input) => {
      if (input.kind === 'submit') resolveSubmitted()
      if (input.kind !== 'abandoned') return []
      resolveAbandoned()
      return [{ kind: 'answer', request: input.request, outcome: { kind: 'pending', job: JOB as types.JobId } }]
    })
    const request = http.request(`${server.url}/v1/jobs`, {
      method: 'POST', headers: { 'content-type': 'application/json' }
    })
    request.on('error', () => {})
    request.end(JSON.stringify(createSubmission()))
    await submitted
    request.destroy()
    await abandoned
    expect((await fetch(`${server.url}/live`)).status).to.equal(200)
  })

  it('refuses requests above the limit of open requests as not run', async () => {
    server = await harness.start(() => [], { maxOpenRequests: 0 })
    const response = await post(server.url, createSubmission())
    expect(response.status).to.equal(503)
    expect(await response.json()).to.include({ kind: 'not-run', reason: 'overload', final: false })
    expect(server.core.submitted()).to.equal(0)
    expect(server.refusals).to.deep.equal(['overload'])
  })

  // Without a configuration the decision code would finally refuse every task type.
  it('gives non-final refusals until a configuration is in force', async () => {
    server = await harness.start(answerComplete, { configured: false })
    const response = await post(server.url, createSubmission())
    expect(await response.json()).to.include({ kind: 'not-run', reason: 'store-unavailable', final: false })
    expect((await fetch(`${server.url}/ready`)).status).to.equal(503)
    expect(server.core.submitted()).to.equal(0)
  })

  // Another request with the key may have started the job, so the refusal must not be final.
  it('binds requests with one key to one id, and gives non-final refusals while the store is down', async () => {
    const table = new memoryTable.MemoryTable()
    server = await harness.start(answerComplete, { table })
    const send = async (key: string, body: object = createSubmission()) => {
      const response = await post(server.url, body, { 'idempotency-key': key })
      return await response.json() as types.Outcome
    }
    const first = await send('one')
    expect(await send('one')).to.deep.equal(first)
    expect((await send('two')).job).not.to.equal(first.job)
    expect((await send('one', { ...createSubmission(), team: 'others' })).job).not.to.equal(first.job)
    const submitted = server.core.submitted()
    table.faults.push('unavailable')
    expect(await send('three')).to.include({ kind: 'not-run', reason: 'store-unavailable', final: false })
    expect(server.core.submitted()).to.equal(submitted)
  })

  it('requires the bearer token for the operator API', async () => {
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
