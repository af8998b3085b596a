import type * as typebox from '@sinclair/typebox'
import type * as types from '@mustarddeck/types'
import * as schema from './schema.ts'

const { Type, Name, Count, Duration, bounds } = schema

export const Submission = Type.Object({
  id: Type.Optional(Name<types.JobId>()),
  team: Name<types.TeamName>(),
  type: Name<types.TaskTypeName>(),
  tasks: Type.Array(Type.Object({ name: Name<types.TaskName>(), payload: Type.Unknown() }), {
    minItems: 1, maxItems: bounds.MAX_TASKS
  }),
  idempotent: Type.Boolean(),
  maxWaitMs: Type.Optional(Duration),
  digest: Name<types.Digest>()
})

/** Entry to entry: forwards a submission whose id belongs to the receiver. */
export const Forward = Type.Object({
  kind: Type.Literal('forward'), request: Count, submission: Submission, waitMs: Duration
})

/** Entry to entry: requests the state of a job that the receiver owns. */
export const Inquire = Type.Object({
  kind: Type.Literal('inquire'), request: Count, job: Name<types.JobId>(), waitMs: Duration
})

/** Entry to entry: cancels a job that the receiver owns, on behalf of a caller. */
export const CancelJob = Type.Object({
  kind: Type.Literal('cancel-job'), request: Count, job: Name<types.JobId>(), waitMs: Duration
})

/** Checks only the common fields of an outcome; the rest is not validated because another entry built it as typed. */
const Outcome = Type.Unsafe<types.Outcome>(Type.Object({
  kind: Type.Union([
    Type.Literal('complete'), Type.Literal('failed'), Type.Literal('not-run'), Type.Literal('unknown'),
    Type.Literal('expired'), Type.Literal('conflict'), Type.Literal('pending')
  ]),
  job: Type.Optional(Type.String())
}))

/** Entry to entry: response to the `forward`, `inquire` or `cancel-job` with the same request number on this link. */
export const Forwarded = Type.Object({ kind: Type.Literal('forwarded'), request: Count, outcome: Outcome })

const KnownJob = Type.Object({ job: Name<types.JobId>(), digest: Name<types.Digest>(), outcome: Outcome })

/** Entry to entry: the sender is leaving and hands over its jobs, all of which have final outcomes. */
export const Handover = Type.Object({
  kind: Type.Literal('handover'),
  incarnations: Type.Array(Name<types.Incarnation>(), { maxItems: bounds.MAX_LIST_LENGTH }),
  /** Highest retired block of each incarnation, in the order of `incarnations`. */
  retired: Type.Array(Count, { maxItems: bounds.MAX_LIST_LENGTH }),
  jobs: Type.Array(KnownJob, { maxItems: bounds.MAX_LIST_LENGTH }),
  /** True in the last message of a handover. Ids without a job in the handover were not run and never will be. */
  complete: Type.Boolean()
})

/** Entry to entry: the handover is complete, and the sender is now responsible for the leaving entry's jobs. */
export const HandoverAcknowledged = Type.Object({ kind: Type.Literal('handover-acknowledged') })

export type Forward = typebox.Static<typeof Forward>
export type Handover = typebox.Static<typeof Handover>
export type Forwarded = typebox.Static<typeof Forwarded>
