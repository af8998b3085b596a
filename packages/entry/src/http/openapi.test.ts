import * as fs from 'node:fs'
import { expect } from 'chai'
import * as ajv from 'ajv/dist/2020.js'
import type * as core from '@mustarddeck/entry-core'
import type * as types from '@mustarddeck/types'
import * as harness from '../testing/harness.ts'
import * as openapi from './openapi.ts'

interface Operation {
  responses: Record<string, { content: Record<string, { schema: object }> }>
}

interface Document {
  paths: Record<string, Record<string, Operation>>
  components: { schemas: Record<string, object> }
}

const publishedDocument = JSON.parse(
  fs.readFileSync(new URL('../../../../docs/openapi.json', import.meta.url), 'utf8')
) as Document

const JOB = 'abcdefgh.r0.1.7' as types.JobId

const outcomes: types.Outcome[] = [
  { kind: 'complete', job: JOB, results: [{ name: 'a' as types.TaskName, result: { x: [1] } }] },
  { kind: 'pending', job: JOB },
  {
    kind: 'failed',
    job: JOB,
    reason: 'task-failed',
    tasks: ([
      { kind: 'finished', result: 1, runMs: 1 }, { kind: 'cancelled', runMs: 2 }, { kind: 'may-have-run' },
      { kind: 'failed', reason: 'time-limit', message: 'm', runMs: 3 }, { kind: 'never-started' }
    ] as types.TaskOutcome[]).map((outcome, index) => ({ name: `t${index}` as types.TaskName, outcome }))
  },
  { kind: 'not-run', job: JOB, reason: 'overload', final: true, retryAfterMs: 5 },
  { kind: 'not-run', job: JOB, reason: 'quota', final: true },
  { kind: 'not-run', job: JOB, reason: 'cancelled', final: true },
  { kind: 'unknown', job: JOB, reason: 'agent-unreachable', retryAfterMs: 5 },
  { kind: 'expired', job: JOB },
  { kind: 'conflict', job: JOB }
]

describe('openapi', () => {
  let server: harness.Harness
  let next: types.Outcome
  let reservable = true

  before(async () => {
    server = await harness.start((input): core.Effect[] => {
      if (input.kind === 'reserve' && !reservable) {
        return [{ kind: 'reserve-refused', request: input.request, reason: 'memory-limit', retryAfterMs: 5 }]
      }
      return 'request' in input && input.kind !== 'abandoned'
        ? [{ kind: 'answer', request: input.request, outcome: next }]
        : []
    }, { maxBodyBytes: 2000 })
  })
  after(() => server.stop())

  const validator = new ajv.Ajv2020({ strict: false })
  const checkedResponses = new Set<string>()

  /** Sends a request and validates the response against the schema of its operation. */
  const checkResponse = async (
    method: string, path: string, body?: unknown, headers = {}, url = path
  ): Promise<void> => {
    const operation = publishedDocument.paths[path]?.[method]
    expect(operation, `${method} ${path}`).to.be.an('object')
    const response = await fetch(server.url + url, {
      method: method.toUpperCase(),
      headers: { ...body !== undefined && { 'content-type': 'application/json' }, ...headers },
      body: body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
    })
    const label = `${method} ${path} ${response.status}`
    const described = operation!.responses[response.status]
    expect(described, label).to.be.an('object')
    const type = response.headers.get('content-type')!.split(';')[0]!
    const { schema } = described!.content[type]!
    const value = type === 'text/plain' ? await response.text() : await response.json()
    const valid = validator.compile({ ...schema, components: publishedDocument.components })
    expect(valid(value), `${label} ${JSON.stringify(value)} ${JSON.stringify(valid.errors)}`).to.equal(true)
    checkedResponses.add(label)
  }

  it('matches the generated document', () => {
    expect(publishedDocument, 'run npm run openapi').to.deep.equal(openapi.document())
  })

  // Callers generate clients from the document, so it must not differ from the server.
  it('describes every response of the running server, and no status that it never returns', async () => {
    const job = { team: 't', type: 'x', tasks: [{ name: 'a', payload: 1 }] }
    const wrong = ['{', { colour: 1 }, 'x'.repeat(3000)]
    for (next of outcomes) {
      await checkResponse('post', '/v1/jobs', job)
      if (next.kind === 'conflict') continue
      for (const method of ['get', 'delete']) {
        await checkResponse(method, '/v1/jobs/{id}', undefined, {}, `/v1/jobs/${JOB}?waitMs=5`)
      }
    }
    for (const method of ['get', 'delete']) await checkResponse(method, '/v1/jobs/{id}', undefined, {}, '/v1/jobs/x')
    await checkResponse('post', '/v1/id-blocks', { count: 5 })
    reservable = false
    await checkResponse('post', '/v1/id-blocks', { count: 5 })
    const authorization = `Bearer ${harness.TOKEN}`
    for (const path of ['/v1/jobs', '/v1/id-blocks', '/v1/operator/drain']) {
      for (const body of wrong) await checkResponse('post', path, body, { authorization })
      await checkResponse('post', path, 'x', { 'content-type': 'text/plain' })
    }
    await checkResponse('post', '/v1/operator/drain', { target: 'entry-1' })
    for (const target of ['entry-1', 'worker-1', 'worker-2']) {
      await checkResponse('post', '/v1/operator/drain', { target }, { authorization })
    }
    await checkResponse('post', '/v1/operator/drain', { target: 'entry-2' }, { authorization })
    await checkResponse('get', '/v1/operator/status')
    await checkResponse('get', '/v1/operator/status', undefined, { authorization })
    for (const path of ['/live', '/ready', '/metrics']) await checkResponse('get', path)
    server.drain()
    await checkResponse('get', '/ready')
    const described = Object.entries(publishedDocument.paths).flatMap(([path, methods]) =>
      Object.entries(methods).flatMap(([method, { responses }]) =>
        Object.keys(responses).map((status) => `${method} ${path} ${status}`)))
    expect([...checkedResponses].sort()).to.deep.equal(described.sort())
  })

  it('describes every route', () => {
    const described = Object.entries(publishedDocument.paths).flatMap(([path, methods]) =>
      Object.keys(methods).map((method) => `${method} ${path.replace('{id}', ':id')}`))
    expect(server.routes.sort()).to.deep.equal(described.sort())
  })
})
