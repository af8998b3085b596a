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
    message: Type.String({ maxLength: bounds.MAX_TEXT_LENGTH }),
    runMs: Duration
  }),
  Type.Object({ kind: Type.Literal('cancelled'), runMs: Duration })
])

const attemptFields = { job: Name<types.JobId>(), index: Index, attempt: Count }

/** Entry to agent: start one task. The agent stores a start record before it calls the backend server. */
export const Start = Type.Object({
  kind: Type.Literal('start'),
  ...attemptFields,
  /** Number of tasks in the job, so that the records alone show whether any task is missing. */
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

/** Agent to entry: this `start` message did not start the task. Its slot is free again at the agent. */
export const Rejected = Type.Object({ kind: Type.Literal('rejected'), ...attemptFields, reason: RejectionReason })

/** Agent to entry: the task ended. `renewed` is true if its slot remains granted to this entry. */
export const Finished = Type.Object({
  kind: Type.Literal('finished'), ...attemptFields, outcome: TaskOutcome, renewed: Type.Boolean()
})

/** Agent to entry: grants additional slots. */
export const Grant = Type.Object({ kind: Type.Literal('grant'), slots: Count })

/**
 * Agent to entry: requests the return of up to this many unused slots. `flood` is true if the slots are for work above
 * its fair share, which yields to the entry's own work whenever the entry requests slots.
 */
export const Recall = Type.Object({
  kind: Type.Literal('recall'), slots: Count, flood: Type.Optional(Type.Boolean())
})

/** Entry to agent: returns granted slots that were not used. */
export const Returned = Type.Object({ kind: Type.Literal('returned'), slots: Count })

/** Entry to agent: number of waiting tasks, indexed by rank of priority class. */
export const Demand = Type.Object({
  kind: Type.Literal('demand'), waiting: Type.Array(Count, { maxItems: bounds.MAX_CLASSES })
})

/** Entry to agent: aborts running tasks of a job. */
export const CancelTasks = Type.Object({
  kind: Type.Literal('cancel-tasks'),
  job: Name<types.JobId>(),
  indexes: Type.Array(Index, { maxItems: bounds.MAX_TASKS })
})

/** Entry to agent: id blocks up to and including this number are retired, and their records may be dropped. */
export const Retire = Type.Object({
  kind: Type.Literal('retire'), incarnation: Name<types.Incarnation>(), block: Count
})

/** Entry to agent: fences the incarnation and requests the records of these jobs. */
export const Recover = Type.Object({
  kind: Type.Literal('recover'),
  incarnation: Name<types.Incarnation>(),
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST_LENGTH })
})

/** Entry to agent, after a link was replaced: requests the state of tasks that were sent over the old link. */
export const Resume = Type.Object({
  kind: Type.Literal('resume'),
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST_LENGTH })
})

export const TaskRecord = Type.Object({
  index: Index,
  name: Name<types.TaskName>(),
  /** Absent while the task is running. */
  outcome: Type.Optional(TaskOutcome)
})

export const JobRecord = Type.Object({
  job: Name<types.JobId>(),
  total: Type.Integer({ minimum: 1, maximum: bounds.MAX_TASKS }),
  digest: Name<types.Digest>(),
  tasks: Type.Array(TaskRecord, { maxItems: bounds.MAX_TASKS })
})

/** Agent to entry: response to `recover`. The agent has no record of a job that is not listed in `records`. */
export const Records = Type.Object({
  kind: Type.Literal('records'),
  incarnation: Name<types.Incarnation>(),
  /** Highest retired block of the incarnation that the agent knows of; 0 if there is none. */
  retired: Count,
  /** True if the agent dropped records of the incarnation without a `retire` message. */
  dropped: Type.Boolean(),
  /** Requested jobs. */
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST_LENGTH }),
  records: Type.Array(JobRecord, { maxItems: bounds.MAX_LIST_LENGTH })
})

/**
 * Agent to entry: response to `resume`. Tasks of these jobs without a record have not started and never will, unless
 * the agent dropped records of their owner incarnation without a `retire` message.
 */
export const Resumed = Type.Object({
  kind: Type.Literal('resumed'),
  jobs: Type.Array(Name<types.JobId>(), { maxItems: bounds.MAX_LIST_LENGTH }),
  /** Owner incarnations of these jobs whose records were dropped. */
  dropped: Type.Array(Name<types.Incarnation>(), { maxItems: bounds.MAX_LIST_LENGTH }),
  records: Type.Array(JobRecord, { maxItems: bounds.MAX_LIST_LENGTH })
})

/**
 * Agent to entry: a task that `records` listed as running has ended. If the outcome is absent, the backend server did
 * not start the task, and its record is removed.
 */
export const RecordUpdate = Type.Object({
  kind: Type.Literal('record-update'), job: Name<types.JobId>(), index: Index, outcome: Type.Optional(TaskOutcome)
})

/** Agent to entry: this incarnation of the entry is fenced and can no longer start tasks at this agent. */
export const Fenced = Type.Object({ kind: Type.Literal('fenced'), incarnation: Name<types.Incarnation>() })

/** Agent to entry: the agent is registered in the membership. */
export const Registered = Type.Object({ kind: Type.Literal('registered') })

/** Agent to entry: the agent is leaving and withdraws all its grants. `drained` is true once no task is running. */
export const Leaving = Type.Object({ kind: Type.Literal('leaving'), drained: Type.Boolean() })

/** Entry to agent: this incarnation of the agent was removed from the membership; the agent needs a new one. */
export const Departed = Type.Object({ kind: Type.Literal('departed'), incarnation: Name<types.Incarnation>() })

/** Entry to agent: all messages before a `leaving` with `drained` have been handled. */
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
