import * as typebox from '@sinclair/typebox'

const { Type } = typebox

const MIN_SECRET_LENGTH = 16
const MAX_PORT = 65535
const MINUTE_MS = 60_000
const MEGABYTE = 2 ** 20

/** Schema of a table without unknown keys. It defaults to an empty table, so that the defaults of its keys apply. */
const table = <Properties extends typebox.TProperties>(properties: Properties) =>
  Type.Object(properties, { additionalProperties: false, default: {} })

/** `description` is the expected type in error messages. */
const Name = Type.String({ minLength: 1, maxLength: 128, description: 'text of 1 to 128 characters' })
const Address = Type.String({
  pattern: '^(\\[[0-9a-fA-F:.]+\\]|[^\\s:/\\[\\]]+):[0-9]{1,5}$', description: 'address as "host:port"'
})
const Url = Type.String({ pattern: '^https?://[^\\s/]+', description: 'URL that begins with http:// or https://' })
const BackendUrl = Type.String({ pattern: '^http://[^\\s/]+', description: 'URL that begins with http://' })
/** Given inline, or in a file whose path is given as `<name>File`. */
const Secret = Type.String({
  minLength: MIN_SECRET_LENGTH, description: `text of at least ${MIN_SECRET_LENGTH} characters`
})
const Positive = (standard?: number) => Type.Integer({ minimum: 1, ...(standard && { default: standard }) })
const Duration = (standard?: number) =>
  Type.Number({ minimum: 0, description: 'number of ms, 0 or more', ...(standard !== undefined && { default: standard }) })
const Share = Type.Number({ minimum: 0, maximum: 1, default: 0 })
const Host = Type.String({ minLength: 1, default: '127.0.0.1', description: 'IP number to listen on' })
const Port = Type.Integer({ minimum: 0, maximum: MAX_PORT, default: 0 })

const Log = table({
  level: Type.Union([
    Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn'), Type.Literal('error')
  ], { default: 'info' })
})
const Http = table({ host: Host, port: Port })
const Platform = table({ url: Url, timeoutMs: Duration(1000) })
const limits = { maxFrameBytes: Positive(16 * MEGABYTE) }

export const Entry = table({
  name: Name,
  failureDomain: Name,
  http: table({ host: Host, port: Port, maxBodyBytes: Positive(8 * MEGABYTE) }),
  links: table({
    host: Host,
    port: Port,
    /** Address that peers connect to, if it differs from the listening address. */
    address: Type.Optional(Address),
    /** Addresses of all entries of the deployment; may include the entry's own address. */
    entries: Type.Array(Address, { default: [] }),
    key: Secret,
    ...limits
  }),
  platform: Platform,
  /** If this table is missing, the operator API is disabled. */
  operators: Type.Optional(Type.Object({ token: Secret }, { additionalProperties: false })),
  limits: table({
    maxBytes: Positive(256 * MEGABYTE),
    blockLifetimeMs: Duration(10 * MINUTE_MS),
    blockRetentionMs: Duration(15 * MINUTE_MS),
    suspectAfterMs: Duration(1000),
    removeAgentAfterMs: Duration(MINUTE_MS),
    retryAfterMs: Duration(500)
  }),
  log: Log
})

export const Agent = table({
  worker: Name,
  failureDomain: Name,
  slots: Positive(),
  resources: table({
    cores: Type.Number({ minimum: 0 }),
    memoryMb: Type.Number({ minimum: 0 }),
    accelerators: Type.Integer({ minimum: 0, default: 0 })
  }),
  backend: table({
    url: BackendUrl,
    /** Maximum number of concurrent connections to the backend server; at least the number of slots. */
    connections: Positive(64),
    /** Maximum size of a response body of the backend server in bytes. */
    maxResultBytes: Positive(MEGABYTE)
  }),
  links: table({ entries: Type.Array(Address, { minItems: 1 }), key: Secret, ...limits }),
  platform: Platform,
  http: Http,
  limits: table({
    maxBytes: Positive(8 * MEGABYTE),
    orphanAfterMs: Duration(15 * MINUTE_MS),
    orphanRetentionMs: Duration(15 * MINUTE_MS),
    leaveGraceMs: Duration(10_000)
  }),
  log: Log
})

export const PlatformStandIn = table({
  http: Http,
  /** Seed of the random faults. */
  seed: Type.Integer({ default: 1 }),
  /** Requests beyond these rates are refused. */
  limits: table({ writesPerSecond: Positive(300), readsPerSecond: Positive(2000) }),
  faults: table({
    down: Type.Boolean({ default: false }),
    delayMs: Duration(5),
    /** Probabilities (0 to 1) of a write without answer: `lostAnswers` after its effect, `lostRequests` without it. */
    lostAnswers: Share,
    lostRequests: Share,
    /** Number of transactions by which reads may be stale. */
    staleness: Type.Integer({ minimum: 0, default: 0 })
  }),
  log: Log
})

export const BackendStandIn = table({
  http: Http,
  /** Seed of the random run times and faults. */
  seed: Type.Integer({ default: 1 }),
  run: table({
    /** Mean run time of a task. */
    runMs: Duration(50),
    distribution: Type.Union([Type.Literal('fixed'), Type.Literal('exponential')], { default: 'fixed' })
  }),
  faults: table({
    /** Fractions (0 to 1) of tasks with each fault. */
    fail: Share,
    hang: Share,
    slow: Share,
    refuse: Share,
    close: Share,
    /** Factor by which the run time of slow tasks is multiplied. */
    slowFactor: Type.Number({ minimum: 1, default: 10 })
  }),
  log: Log
})

/** Settings schema of each role. */
export const roles = {
  entry: Entry,
  agent: Agent,
  'platform stand-in': PlatformStandIn,
  'backend stand-in': BackendStandIn
} as const

export type Entry = typebox.Static<typeof Entry>
export type Agent = typebox.Static<typeof Agent>
export type PlatformStandIn = typebox.Static<typeof PlatformStandIn>
export type BackendStandIn = typebox.Static<typeof BackendStandIn>

/** Secrets of each role, which may be given in a file of their own. */
export const secrets: Record<keyof typeof roles, [table: string, key: string][]> = {
  entry: [['links', 'key'], ['operators', 'token']],
  agent: [['links', 'key']],
  'platform stand-in': [],
  'backend stand-in': []
}
