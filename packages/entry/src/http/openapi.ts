import type * as typebox from '@sinclair/typebox'
import * as answers from './answers.ts'
import * as schema from './schema.ts'

type Json = Record<string, unknown>

const schemas: Record<string, typebox.TSchema> = {
  JobSubmission: schema.JobSubmission,
  BlockReservation: schema.BlockReservation,
  DrainRequest: schema.DrainRequest,
  ...answers
}

const nameOf = (part: typebox.TSchema): string => Object.keys(schemas).find((name) => schemas[name] === part)!

const reference = (part: typebox.TSchema): Json => ({ $ref: `#/components/schemas/${nameOf(part)}` })

const json = (...parts: typebox.TSchema[]): Json => ({
  'application/json': { schema: parts.length === 1 ? reference(parts[0]!) : { oneOf: parts.map(reference) } }
})

const responses = (byStatus: Record<number, [string, ...typebox.TSchema[]]>): Json =>
  Object.fromEntries(Object.entries(byStatus).map(([status, [description, ...parts]]) =>
    [status, { description, content: json(...parts) }]))

const invalid: [string, typebox.TSchema] = ['Wrong request; nothing was run.', answers.Invalid]

const outcomes = {
  200: ['All results.', answers.Complete],
  202: ['No outcome yet.', answers.Pending],
  400: invalid,
  410: ['The outcome is no longer kept.', answers.Expired],
  429: ['Refused for a quota; not run.', answers.NotRun],
  500: ['At least one task did not finish.', answers.Failed],
  503: ['Refused; not run.', answers.NotRun],
  504: ['Unknown for now.', answers.Unknown]
} as const satisfies Record<number, [string, ...typebox.TSchema[]]>

const invalidBody = { 413: invalid, 415: invalid, 422: invalid }

const waitMs = {
  name: 'waitMs',
  in: 'query',
  description: 'Longest time in ms to wait for a final outcome.',
  schema: { type: 'integer', minimum: 0 }
}
const jobId = { name: 'id', in: 'path', required: true, schema: schema.JobId }
const idempotencyKey = {
  name: 'Idempotency-Key',
  in: 'header',
  description: 'Makes resubmissions without an id safe; scoped by team. Not together with an id.',
  schema: { type: 'string', minLength: 1, maxLength: 255 }
}
const token = [{ token: [] }]

const paths = {
  '/v1/id-blocks': {
    post: {
      operationId: 'reserveIds',
      summary: 'Reserve a block of job ids',
      requestBody: { required: true, content: json(schema.BlockReservation) },
      responses: responses({
        200: ['The block.', answers.Reserved], 400: invalid, ...invalidBody, 503: ['None reserved.', answers.NotRun]
      })
    }
  },
  '/v1/jobs': {
    post: {
      operationId: 'submitJob',
      summary: 'Submit or resubmit a job and wait for its outcome',
      parameters: [waitMs, idempotencyKey],
      requestBody: { required: true, content: json(schema.JobSubmission) },
      responses: responses({ ...outcomes, ...invalidBody, 409: ['Other content.', answers.Conflict] })
    }
  },
  '/v1/jobs/{id}': {
    get: {
      operationId: 'inquireJob',
      summary: 'Ask for the outcome of a job',
      parameters: [jobId, waitMs],
      responses: responses(outcomes)
    },
    delete: {
      operationId: 'cancelJob',
      summary: 'Cancel a job',
      parameters: [jobId, waitMs],
      responses: responses({
        ...outcomes,
        200: ['Cancelled, or complete before that.', answers.Complete, answers.NotRun, answers.Failed]
      })
    }
  },
  '/v1/operator/status': {
    get: {
      operationId: 'status',
      summary: 'State of the entry and of the processes linked to it',
      security: token,
      responses: responses({ 200: ['State.', answers.Status], 401: invalid })
    }
  },
  '/v1/operator/drain': {
    post: {
      operationId: 'drain',
      summary: 'Start a graceful stop of a process',
      security: token,
      requestBody: { required: true, content: json(schema.DrainRequest) },
      responses: responses({
        202: ['Started.', answers.Draining],
        400: invalid,
        401: invalid,
        404: invalid,
        409: invalid,
        503: invalid,
        ...invalidBody
      })
    }
  },
  '/live': {
    get: { operationId: 'live', summary: 'The process runs', responses: responses({ 200: ['Yes.', answers.Live] }) }
  },
  '/ready': {
    get: {
      operationId: 'ready',
      summary: 'The entry takes new work',
      responses: responses({ 200: ['Yes.', answers.Ready], 503: ['No: it drains, or no configuration is in force.', answers.Ready] })
    }
  },
  '/metrics': {
    get: {
      operationId: 'metrics',
      summary: 'Metrics in the Prometheus text format',
      responses: { 200: { description: 'Metrics.', content: { 'text/plain': { schema: { type: 'string' } } } } }
    }
  }
}

/** OpenAPI description of the entry's HTTP interface; `docs/openapi.json` holds the same. */
export const document = (): Json => JSON.parse(JSON.stringify({
  openapi: '3.1.0',
  info: { title: 'mustarddeck entry', version: '1', license: { name: 'see the repository' } },
  paths,
  components: {
    schemas,
    securitySchemes: { token: { type: 'http', scheme: 'bearer' } }
  }
})) as Json
