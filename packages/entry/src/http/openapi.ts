import type * as typebox from '@sinclair/typebox'
import * as responseSchemas from './response-schemas.ts'
import * as schema from './schema.ts'

type Json = Record<string, unknown>

const schemas: Record<string, typebox.TSchema> = {
  JobSubmission: schema.JobSubmission,
  BlockReservation: schema.BlockReservation,
  DrainRequest: schema.DrainRequest,
  ...responseSchemas
}

const findName = (part: typebox.TSchema): string => Object.keys(schemas).find((name) => schemas[name] === part)!

const reference = (part: typebox.TSchema): Json => ({ $ref: `#/components/schemas/${findName(part)}` })

const jsonContent = (...parts: typebox.TSchema[]): Json => ({
  'application/json': { schema: parts.length === 1 ? reference(parts[0]!) : { oneOf: parts.map(reference) } }
})

const responses = (byStatus: Record<number, [string, ...typebox.TSchema[]]>): Json =>
  Object.fromEntries(Object.entries(byStatus).map(([status, [description, ...parts]]) =>
    [status, { description, content: jsonContent(...parts) }]))

const invalidRequest: [string, typebox.TSchema] = ['Wrong request; nothing was run.', responseSchemas.Invalid]

const outcomes = {
  200: ['All results.', responseSchemas.Complete],
  202: ['No outcome yet.', responseSchemas.Pending],
  400: invalidRequest,
  410: ['The outcome is no longer kept.', responseSchemas.Expired],
  429: ['Refused for a quota; not run.', responseSchemas.NotRun],
  500: ['At least one task did not finish.', responseSchemas.Failed],
  503: ['Refused; not run.', responseSchemas.NotRun],
  504: ['Unknown for now.', responseSchemas.Unknown]
} as const satisfies Record<number, [string, ...typebox.TSchema[]]>

const invalidBodyResponses = { 413: invalidRequest, 415: invalidRequest, 422: invalidRequest }

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
      requestBody: { required: true, content: jsonContent(schema.BlockReservation) },
      responses: responses({
        200: ['The block.', responseSchemas.Reserved], 400: invalidRequest, ...invalidBodyResponses, 503: ['None reserved.', responseSchemas.NotRun]
      })
    }
  },
  '/v1/jobs': {
    post: {
      operationId: 'submitJob',
      summary: 'Submit or resubmit a job and wait for its outcome',
      parameters: [waitMs, idempotencyKey],
      requestBody: { required: true, content: jsonContent(schema.JobSubmission) },
      responses: responses({ ...outcomes, ...invalidBodyResponses, 409: ['Other content.', responseSchemas.Conflict] })
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
        200: ['Cancelled, or complete before that.', responseSchemas.Complete, responseSchemas.NotRun, responseSchemas.Failed]
      })
    }
  },
  '/v1/operator/status': {
    get: {
      operationId: 'status',
      summary: 'State of the entry and of the processes linked to it',
      security: token,
      responses: responses({ 200: ['State.', responseSchemas.Status], 401: invalidRequest })
    }
  },
  '/v1/operator/drain': {
    post: {
      operationId: 'drain',
      summary: 'Start a graceful stop of a process',
      security: token,
      requestBody: { required: true, content: jsonContent(schema.DrainRequest) },
      responses: responses({
        202: ['Started.', responseSchemas.Draining],
        400: invalidRequest,
        401: invalidRequest,
        404: invalidRequest,
        409: invalidRequest,
        503: invalidRequest,
        ...invalidBodyResponses
      })
    }
  },
  '/live': {
    get: { operationId: 'live', summary: 'The process runs', responses: responses({ 200: ['Yes.', responseSchemas.Live] }) }
  },
  '/ready': {
    get: {
      operationId: 'ready',
      summary: 'The entry takes new work',
      responses: responses({ 200: ['Yes.', responseSchemas.Ready], 503: ['No: it drains, or no configuration is in force.', responseSchemas.Ready] })
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

/** Returns the OpenAPI description of the HTTP interface, which `docs/openapi.json` must match. */
export const document = (): Json => JSON.parse(JSON.stringify({
  openapi: '3.1.0',
  info: { title: 'mustarddeck entry', version: '1', license: { name: 'see the repository' } },
  paths,
  components: {
    schemas,
    securitySchemes: { token: { type: 'http', scheme: 'bearer' } }
  }
})) as Json
