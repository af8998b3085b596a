import * as typebox from '@sinclair/typebox'
import * as schema from './schema.ts'

const { Type } = typebox

const Name = Type.String()
const Duration = Type.Number({ minimum: 0, description: 'ms' })
const Count = Type.Integer({ minimum: 0 })
const Kind = <Value extends string>(value: Value) => ({ kind: Type.Literal(value) })
const StringEnum = (...values: string[]) => Type.Unsafe<string>({ type: 'string', enum: values })
const noAdditionalProperties = { additionalProperties: false }

const TaskOutcome = Type.Union([
  Type.Object({ ...Kind('finished'), result: Type.Unknown(), runMs: Duration }, noAdditionalProperties),
  Type.Object({
    ...Kind('failed'),
    reason: StringEnum('backend-error', 'time-limit', 'connection-lost'),
    message: Type.String(),
    runMs: Duration
  }, noAdditionalProperties),
  Type.Object({ ...Kind('cancelled'), runMs: Duration }, noAdditionalProperties),
  Type.Object(Kind('may-have-run'), noAdditionalProperties),
  Type.Object(Kind('never-started'), noAdditionalProperties)
])

const RefusalReason = StringEnum('unknown-task-type', 'unknown-team', 'never-runnable', 'quota', 'overload', 'queue-time',
  'memory-limit', 'cancelled', 'draining', 'block-closed', 'owner-fenced', 'owner-lost', 'store-unavailable')

export const Complete = Type.Object({
  ...Kind('complete'),
  job: schema.JobId,
  results: Type.Array(Type.Object({ name: Name, result: Type.Unknown() }, noAdditionalProperties))
}, { ...noAdditionalProperties, description: 'Every task finished; all results.' })

export const Failed = Type.Object({
  ...Kind('failed'),
  job: schema.JobId,
  reason: StringEnum('task-failed', 'cancelled', 'owner-lost', 'worker-lost'),
  tasks: Type.Array(Type.Object({ name: Name, outcome: TaskOutcome }, noAdditionalProperties))
}, { ...noAdditionalProperties, description: 'At least one task did not finish; what is known of each task.' })

export const NotRun = Type.Object({
  ...Kind('not-run'),
  job: Type.Optional(schema.JobId),
  reason: RefusalReason,
  final: Type.Boolean({ description: 'False: this request started nothing, but another one with the same key may have.' }),
  retryAfterMs: Type.Optional(Duration)
}, { ...noAdditionalProperties, description: 'No task was started; with `final`, none ever will be under this id.' })

export const Unknown = Type.Object({
  ...Kind('unknown'),
  job: schema.JobId,
  reason: StringEnum('owner-unreachable', 'agent-unreachable', 'store-unavailable', 'unregistered-view', 'worker-lost'),
  retryAfterMs: Duration
}, { ...noAdditionalProperties, description: 'The state of the job cannot be found out now; ask or resubmit under the same id.' })

export const Expired = Type.Object({ ...Kind('expired'), job: schema.JobId },
  { ...noAdditionalProperties, description: 'The outcome is no longer kept. Makes no claim on what ran.' })

export const Conflict = Type.Object({ ...Kind('conflict'), job: schema.JobId },
  { ...noAdditionalProperties, description: 'The id belongs to a job with other content; nothing was run.' })

export const Pending = Type.Object({ ...Kind('pending'), job: schema.JobId },
  { ...noAdditionalProperties, description: 'No outcome yet.' })

export const Reserved = Type.Object({
  ...Kind('reserved'), prefix: Type.String(), first: Count, count: Count, lifetimeMs: Duration
}, { ...noAdditionalProperties, description: 'Ids `<prefix>.<first>` to `<prefix>.<first + count - 1>` belong to the caller.' })

export const Invalid = Type.Object({
  ...Kind('invalid'),
  reason: Type.String(),
  message: Type.String(),
  problems: Type.Optional(Type.Array(
    Type.Object({ path: Type.String(), message: Type.String() }, noAdditionalProperties)
  ))
}, { ...noAdditionalProperties, description: 'The request is wrong in itself; nothing was run.' })

const Peer = Type.Object({
  role: StringEnum('entry', 'agent'),
  name: Name,
  incarnation: Type.String(),
  failureDomain: Name,
  address: Type.Optional(Type.String()),
  registered: Type.Boolean(),
  slots: Count,
  configuration: Count
}, noAdditionalProperties)

export const Status = Type.Object({
  ...Kind('status'),
  name: Name,
  incarnation: Type.String(),
  failureDomain: Name,
  draining: Type.Boolean(),
  configuration: Type.Integer({ minimum: 0, description: 'Version of the configuration in force, 0 for none.' }),
  openRequests: Count,
  jobs: Count,
  waitingTasks: Count,
  runningTasks: Count,
  queues: Type.Array(Type.Object({
    type: Name, priorityClass: Name, waiting: Count, running: Count, flooding: Type.Boolean()
  }, noAdditionalProperties), { description: 'Task types with waiting or running tasks.' }),
  bytes: Type.Number({ minimum: 0 }),
  entries: Type.Array(Peer),
  agents: Type.Array(Peer),
  refusals: Type.Record(Type.String(), Count, { description: '`not-run` answers by reason since the start.' })
}, noAdditionalProperties)

export const Draining = Type.Object({ ...Kind('draining'), target: Name }, noAdditionalProperties)
export const Live = Type.Object(Kind('live'), noAdditionalProperties)
export const Ready = Type.Object({ kind: StringEnum('ready', 'draining', 'unconfigured') }, noAdditionalProperties)
