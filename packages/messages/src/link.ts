import type * as typebox from '@sinclair/typebox'
import type * as types from '@mustarddeck/types'
import * as agent from './agent.ts'
import * as schema from './schema.ts'

const { Type, Name, Count, bounds } = schema

/** First message in each direction. An agent reports the slots and resources of its worker. */
export const Hello = Type.Object({
  kind: Type.Literal('hello'),
  version: Type.Literal(schema.PROTOCOL_VERSION),
  role: Type.Union([Type.Literal('entry'), Type.Literal('agent')]),
  name: Name<string>(),
  incarnation: Name<types.Incarnation>(),
  failureDomain: Name<types.FailureDomainName>(),
  /** `host:port` that peers connect to; absent if the process accepts no links. */
  address: Type.Optional(Name<string>()),
  registered: Type.Boolean(),
  slots: Count,
  resources: agent.Resources,
  /** Version of the configuration in force at the sender; 0 if there is none. */
  configuration: Count
})

/**
 * Entry to every peer: the owner incarnations for which this entry is responsible. Sent after `hello` and on each
 * change. A fence adds a new incarnation; a successor also lists the incarnations of the entry that it took over from.
 */
export const Identity = Type.Object({
  kind: Type.Literal('identity'),
  incarnations: Type.Array(Name<types.Incarnation>(), { maxItems: bounds.MAX_LIST_LENGTH }),
  /** True if the sender is leaving and cannot become a successor. */
  draining: Type.Boolean()
})

/** Sent once a second in each direction. */
export const Heartbeat = Type.Object({
  kind: Type.Literal('heartbeat'),
  configuration: Count,
  /** Entry to agent only: number of waiting tasks, indexed by rank of priority class. */
  waiting: Type.Optional(Type.Array(Count, { maxItems: bounds.MAX_CLASSES }))
})

/** Requests the configuration of a peer that announced a newer version. */
export const ConfigurationRequest = Type.Object({ kind: Type.Literal('configuration-request') })

/** Complete configuration: version, digest and content as published. */
export const ConfigurationSet = Type.Object({
  kind: Type.Literal('configuration-set'), version: Count, digest: Name<string>(), content: Type.String()
})

/**
 * Entry to any peer: an operator requests a graceful stop of the receiver, which logs a warning if it has not stopped
 * after `timeLimitMs`.
 */
export const Drain = Type.Object({ kind: Type.Literal('drain'), timeLimitMs: schema.Duration })

export type Hello = typebox.Static<typeof Hello>
export type Heartbeat = typebox.Static<typeof Heartbeat>
