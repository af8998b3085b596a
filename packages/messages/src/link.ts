import type * as typebox from '@sinclair/typebox'
import type * as types from '@mustarddeck/types'
import * as agent from './agent.ts'
import * as schema from './schema.ts'

const { Type, Name, Count, bounds } = schema

/** First message in each direction. A worker's agent gives its slots and resources. */
export const Hello = Type.Object({
  kind: Type.Literal('hello'),
  version: Type.Literal(schema.PROTOCOL_VERSION),
  role: Type.Union([Type.Literal('entry'), Type.Literal('agent')]),
  name: Name<string>(),
  incarnation: Name<types.Incarnation>(),
  failureDomain: Name<types.FailureDomainName>(),
  /** Host and port that peers connect to; absent when the process accepts no links. */
  address: Type.Optional(Name<string>()),
  registered: Type.Boolean(),
  slots: Count,
  resources: agent.Resources,
  /** Version of the configuration in force at the sender, 0 for none. */
  configuration: Count
})

/**
 * Entry to every peer: the owner incarnations that this process answers for. Sent after `hello` and on each change.
 * After a fence the list gains a new incarnation; a successor's list holds those of the entry that left.
 */
export const Identity = Type.Object({
  kind: Type.Literal('identity'),
  incarnations: Type.Array(Name<types.Incarnation>(), { maxItems: bounds.MAX_LIST }),
  /** The process is leaving and cannot be a successor. */
  draining: Type.Boolean()
})

/** Sent once a second in each direction. */
export const Heartbeat = Type.Object({
  kind: Type.Literal('heartbeat'),
  configuration: Count,
  /** Entry to agent only: number of waiting tasks by rank of priority class. */
  waiting: Type.Optional(Type.Array(Count, { maxItems: bounds.MAX_CLASSES }))
})

/** Asks the peer for its configuration because its version is newer. */
export const ConfigurationRequest = Type.Object({ kind: Type.Literal('configuration-request') })

/** A whole configuration: its version, digest and content as published. */
export const ConfigurationSet = Type.Object({
  kind: Type.Literal('configuration-set'), version: Count, digest: Name<string>(), content: Type.String()
})

/**
 * Entry to any peer: an operator asks the receiver to stop gracefully. The receiver reports when it has not ended after
 * `timeLimitMs`.
 */
export const Drain = Type.Object({ kind: Type.Literal('drain'), timeLimitMs: schema.Duration })

export type Hello = typebox.Static<typeof Hello>
export type Heartbeat = typebox.Static<typeof Heartbeat>
