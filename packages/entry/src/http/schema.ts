import * as typebox from '@sinclair/typebox'
import * as types from '@mustarddeck/types'

const { Type } = typebox

const NAME_LENGTH = 128
/** Maximum `maxWaitMs` of a submission: one day. */
const MAX_QUEUE_WAIT_MS = 86_400_000
/** Maximum number of ids in one block, so that one reservation covers thousands of jobs. */
export const MAX_BLOCK_IDS = 10_000

/** Restricted to characters that are safe in HTTP headers, in which names are sent to the backend server. */
const Name = Type.String({ minLength: 1, maxLength: NAME_LENGTH, pattern: '^[A-Za-z0-9][A-Za-z0-9._:/-]*$' })

/** Format `incarnation.view.block.sequence`; see `types.parseJobId`. */
export const JobId = Type.String({
  minLength: 1,
  maxLength: NAME_LENGTH,
  pattern: '^[a-z0-9]{8,32}\\.(u|r(?:0|[1-9][0-9]{0,14}))\\.[1-9][0-9]{0,14}\\.(0|[1-9][0-9]{0,14})$'
})

export const JobTask = Type.Object({ name: Name, payload: Type.Unknown() }, { additionalProperties: false })

/** Body of `POST /v1/jobs`. */
export const JobSubmission = Type.Object({
  id: Type.Optional(JobId),
  team: Name,
  type: Name,
  tasks: Type.Array(JobTask, { minItems: 1, maxItems: types.MAX_TASKS }),
  idempotent: Type.Optional(Type.Boolean()),
  maxWaitMs: Type.Optional(Type.Integer({ minimum: 0, maximum: MAX_QUEUE_WAIT_MS }))
}, { additionalProperties: false })

/** Body of `POST /v1/id-blocks`. */
export const BlockReservation = Type.Object({
  count: Type.Integer({ minimum: 1, maximum: MAX_BLOCK_IDS })
}, { additionalProperties: false })

/** Body of `POST /v1/operator/drain`. */
export const DrainRequest = Type.Object({
  target: Name,
  policy: Type.Optional(Name)
}, { additionalProperties: false })

export type JobSubmission = typebox.Static<typeof JobSubmission>
export type BlockReservation = typebox.Static<typeof BlockReservation>
export type DrainRequest = typebox.Static<typeof DrainRequest>
