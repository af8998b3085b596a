import type * as typebox from '@sinclair/typebox'
import type * as types from '@mustarddeck/types'
import * as schema from './schema.ts'

const { Type, Name, Count, Duration, Index, bounds } = schema

export const Resources = Type.Object({ cores: Duration, memoryMb: Duration, accelerators: Count })

export const TaskOutcome = Type.Union([
  Type.Object({ kind: Type.Literal('finished'), result: Type.Unknown(), runMs: Duration }),
  Type.Object({
    kind: Type.Literal('failed'),
    reason: Type.Union([
      Type.Literal('backend-error'), Type.Literal('time-limit'), Type.Literal('connection-lost')
    ]),
    message: Type.String({ maxLength: bounds.TEXT_LENGTH }),
    runMs: Duration
  }),
  Type.Object({ kind: Type.Literal('cancelled'), runMs: Duration })
])

const taskFields = { job: Name<types.JobId>(), index: Index, attempt: Count }

/** Entry to agent: start one task. The agent records it before it calls the backend server. */
export const Start = Type.Object({
  kind: Type.Literal('start'),
  ...taskFields,
  /** Number of tasks in the job, so that a record alone shows whether the job is whole. */
  total: Type.Integer({ minimum: 1, maximum: bounds.MAX_TASKS }),
  digest: Name<types.Digest>(),
  name: Name<types.TaskName>(),
  type: Name<types.TaskTypeName>(),
  payload: Type.Unknown(),
  limitMs: Duration,
  resources: Resources
})

export const RejectionReason = Type.Union([
  Type.Literal('duplicate'),
  Type.Literal('fenced'),
  Type.Literal('retired'),
  Type.Literal('unregistered'),
  Type.Literal('leaving'),
  Type.Literal('no-slot'),
  Type.Literal('no-resources'),
  Type.Literal('memory-limit'),
  Type.Literal('backend-unreachable')
])

/** Agent to entry: the task has certainly not started by this message. Its slot is free again at the agent. */
export const Rejected = Type.Object({ kind: Type.Literal('rejected'), ...taskFields, reason: RejectionReason })

/** Agent to entry: the task ended. `renewed`: its slot stays granted to this entry. */
export const Finished = Type.Object({
  kind: Type.Literal('finished'), ...taskFields, outcome: TaskOutcome, renewed: Type.Boolean()
})

/** Agent to entry: this many more slots are granted. */
export const Grant = Type.Object({ kind: Type.Literal('grant'), slots: Count })

/**
 * Agent to entry: give back up to this many unused slots. `flood`: they are for work above its fair share, which gives
 * way to the entry's own work whenever the entry asks for slots.
 */
export const Recall = Type.Object({
  kind: Type.Literal('recall'), slots: Count, flood: Type.Optional(Type.Boolean())
})

/** Entry to agent: this many granted slots are given back unused. */
export const Returned = Type.Object({ kind: Type.Literal('returned'), slots: Count })

/** Entry to agent: number of waiting tasks by rank of priority class. */
export const Demand = Type.Object({
  kind: Type.Literal('demand'), waiting: Type.Array(Count, { maxItems: bounds.MAX_CLASSES })
})

/** Entry to agent: abort these running tasks of a job. */
export const CancelTasks = Type.Object({
  kind: Type.Literal('cancel-tasks'),
  job: Name<types.JobId>(),
  indexes: Type.Array(Index, { maxItems: bounds.MAX_TASKS })
})

/** Entry to agent: blocks up to and including this number are retired; their records may be dropped. */
export const Retire = Type.Object({
  kind: Type.Literal('retire'), incarnation: Name<types.Incarnation>(), block: Count
})

/** Entry to agent: fence the incarnation and send the records of these jobs. */
export const Recover = Type.Object({
  kind: Type.Literal('recover'),
  incarnation: Name<types.Incarnation>(),
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST })
})

/** Entry to agent, after a link was replaced: state of tasks that were sent over the old link. */
export const Resume = Type.Object({
  kind: Type.Literal('resume'),
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST })
})

export const TaskRecord = Type.Object({
  index: Index,
  name: Name<types.TaskName>(),
  /** Absent while the task runs. */
  outcome: Type.Optional(TaskOutcome)
})

export const JobRecord = Type.Object({
  job: Name<types.JobId>(),
  total: Type.Integer({ minimum: 1, maximum: bounds.MAX_TASKS }),
  digest: Name<types.Digest>(),
  tasks: Type.Array(TaskRecord, { maxItems: bounds.MAX_TASKS })
})

/** Agent to entry: answer to `recover`. Jobs without a record here have none at this agent. */
export const Records = Type.Object({
  kind: Type.Literal('records'),
  incarnation: Name<types.Incarnation>(),
  /** Highest retired block of the incarnation known here, 0 for none. */
  retired: Count,
  /** True when the agent dropped records of the incarnation by itself. */
  dropped: Type.Boolean(),
  /** The jobs that were asked for. */
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST }),
  records: Type.Array(JobRecord, { maxItems: bounds.MAX_LIST })
})

/**
 * Agent to entry: answer to `resume`. Tasks of these jobs without a record have not started and never will, unless the
 * agent dropped the records of their owner incarnation by itself.
 */
export const Resumed = Type.Object({
  kind: Type.Literal('resumed'),
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST }),
  /** Incarnations among the owners of the jobs whose records were dropped. */
  dropped: Type.Array(Name<types.Incarnation>(), { maxItems: bounds.MAX_LIST }),
  records: Type.Array(JobRecord, { maxItems: bounds.MAX_LIST })
})

/**
 * Agent to entry: a task ended whose record was sent as running in `records`. Without an outcome, the backend server
 * has certainly not started the task, and the record is gone.
 */
export const RecordUpdate = Type.Object({
  kind: Type.Literal('record-update'), job: Name<types.JobId>(), index: Index, outcome: Type.Optional(TaskOutcome)
})

/** Agent to entry: this incarnation of the entry can start nothing here any more. */
export const Fenced = Type.Object({ kind: Type.Literal('fenced'), incarnation: Name<types.Incarnation>() })

/** Agent to entry: the agent has registered in the members table. */
export const Registered = Type.Object({ kind: Type.Literal('registered') })

/** Agent to entry: the agent is leaving; all its grants are withdrawn. `drained`: no task runs any more. */
export const Leaving = Type.Object({ kind: Type.Literal('leaving'), drained: Type.Boolean() })

/** Entry to agent: this incarnation of the agent was removed from the membership; it must take a new one. */
export const Departed = Type.Object({ kind: Type.Literal('departed'), incarnation: Name<types.Incarnation>() })

/** Entry to agent: every message before a drained `leaving` has been handled. */
export const LeavingAcknowledged = Type.Object({ kind: Type.Literal('leaving-acknowledged') })

export type Resources = typebox.Static<typeof Resources>
export type TaskEnd = typebox.Static<typeof TaskOutcome>
export type Start = typebox.Static<typeof Start>
export type RejectionReason = typebox.Static<typeof RejectionReason>
export type Rejected = typebox.Static<typeof Rejected>
export type Finished = typebox.Static<typeof Finished>
export type TaskRecord = typebox.Static<typeof TaskRecord>
export type JobRecord = typebox.Static<typeof JobRecord>
export type Records = typebox.Static<typeof Records>
export type Resumed = typebox.Static<typeof Resumed>
export type Recover = typebox.Static<typeof Recover>
