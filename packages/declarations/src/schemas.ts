import * as typebox from '@sinclair/typebox'

const { Type } = typebox

const DAY_MS = 86_400_000
const MAX_TIME_LIMIT_MS = 10 * 60_000
/** Heartbeats list the waiting tasks per rank, with at most this many elements. */
const MAX_RANKS = 64
const MAX_DESCRIPTION_LENGTH = 400

/** Object names have only letters, digits and hyphens, so that they need no quoting in logs and on command lines. */
export const NAME_PATTERN = '^[a-z0-9][a-z0-9-]{0,62}$'

const Reference = (kind: string, description: string) =>
  Type.String({ pattern: NAME_PATTERN, reference: kind, description })
const Count = (description: string, minimum = 0, options: typebox.IntegerOptions = {}) =>
  Type.Integer({ minimum, description, ...options })
const Weight = (description: string) =>
  Type.Number({ exclusiveMinimum: 0, maximum: 1000, default: 1, description })

/** Schema of an object without unknown fields. Absent fields are inherited from the object named by `extends`. */
const declaration = <Fields extends typebox.TProperties>(kind: string, description: string, fields: Fields) =>
  Type.Object({
    ...fields,
    extends: Type.Optional(Reference(kind, `${kind} whose fields apply here where they are absent`)),
    description: Type.Optional(Type.String({ maxLength: MAX_DESCRIPTION_LENGTH, description: 'note for people' }))
  }, { additionalProperties: false, description })

export const FailureDomain = declaration('failure-domain', 'Part of the platform that fails as a whole.', {
  region: Type.String({ pattern: NAME_PATTERN, description: 'region that the failure domain is in' }),
  workers: Count('number of workers in the failure domain'),
  slotsPerWorker: Count('tasks that one worker runs at once', 1),
  coresPerWorker: Type.Number({ exclusiveMinimum: 0, description: 'processor cores of one worker' }),
  memoryMbPerWorker: Count('memory of one worker in MB', 1),
  acceleratorsPerWorker: Count('accelerators of one worker', 0, { default: 0 }),
  workersPerRack: Count('workers that share a rack and its switch', 1, { default: 1 })
})

export const DrainPolicy = declaration('drain-policy', 'How a planned stop proceeds; it never cuts a running task.', {
  timeLimitMs: Count('time after which a drain that has not ended is reported as overdue', 1, { maximum: DAY_MS }),
  maxAtOnce: Count('workers of one failure domain that may drain at the same time', 1, { default: 1 })
})

export const Service = declaration('service', 'Backend server program that runs tasks.', {
  drainPolicy: Reference('drain-policy', 'policy for planned stops of the service\'s workers'),
  failureDomains: Type.Array(Reference('failure-domain', 'failure domain'), {
    minItems: 1, uniqueItems: true, description: 'failure domains whose workers run the service'
  }),
  connectionsPerWorker: Count('connections that one backend server accepts', 1, { default: 64 })
})

export const PriorityClass = declaration('priority-class', 'How urgent work is.', {
  rank: Count('position in the order of urgency; 0 is the most urgent class', 0, { maximum: MAX_RANKS - 1 }),
  targetWaitMs: Count('expected wait above which new work of the class is refused', 1, { maximum: DAY_MS }),
  reserve: Type.Number({
    minimum: 0, maximum: 1, default: 0, description: 'share of slots that less urgent work leaves free for the class'
  })
})

export const TaskType = declaration('task-type', 'Kind of task that callers submit.', {
  service: Reference('service', 'service that runs the tasks'),
  priorityClass: Reference('priority-class', 'urgency of the tasks'),
  timeLimitMs: Count('longest run time of one task, after which it is aborted', 1, { maximum: MAX_TIME_LIMIT_MS }),
  cores: Type.Number({ minimum: 0, default: 1, description: 'processor cores that one task holds' }),
  memoryMb: Count('memory that one task holds in MB', 0, { default: 0 }),
  accelerators: Count('accelerators that one task holds', 0, { default: 0 }),
  weight: Weight('weight of the type\'s share among types of the same class')
})

export const Team = declaration('team', 'Group of callers that shares the fleet with others.', {
  weight: Weight('weight of the team\'s share'),
  maxRunning: Type.Optional(Count('quota: tasks of the team that run at once in the whole fleet', 1))
})

/** Schema of each kind of object. Kinds that are referenced come before those that refer to them. */
export const kinds = {
  'failure-domain': FailureDomain,
  'drain-policy': DrainPolicy,
  service: Service,
  'priority-class': PriorityClass,
  'task-type': TaskType,
  team: Team
} as const

export type Kind = keyof typeof kinds
/** All fields of an object of a kind, with defaults and inherited fields filled in. */
export type FieldsOf<Of extends Kind> = typebox.Static<typeof kinds[Of]>

export const kindNames = Object.keys(kinds) as Kind[]

const NAME = new RegExp(NAME_PATTERN)

export const isName = (text: string): boolean => NAME.test(text)

export const isKind = (text: string): text is Kind => Object.hasOwn(kinds, text)

/** Lists the fields of a kind that refer to other objects, with the kind of those objects. */
export const references = (kind: Kind): [field: string, target: Kind][] =>
  Object.entries<typebox.TSchema>(kinds[kind].properties).flatMap(([field, schema]) => {
    const target = schema['reference'] ?? schema['items']?.reference
    return target === undefined ? [] : [[field, target as Kind]]
  })
