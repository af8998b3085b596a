import type * as typebox from '@sinclair/typebox'
import * as compiler from '@sinclair/typebox/compiler'
import * as agent from './agent.ts'
import * as entry from './entry.ts'
import * as link from './link.ts'

const schemas = [
  link.Hello, link.Identity, link.Heartbeat, link.ConfigurationRequest, link.ConfigurationSet,
  link.Drain,
  agent.Start, agent.Rejected, agent.Finished, agent.Grant, agent.Recall, agent.Returned, agent.Demand,
  agent.CancelTasks, agent.Retire, agent.Recover, agent.Resume, agent.Records, agent.Resumed, agent.RecordUpdate,
  agent.Fenced, agent.Registered, agent.Departed, agent.Leaving, agent.LeavingAcknowledged,
  entry.Forward, entry.Inquire, entry.CancelJob, entry.Forwarded, entry.Handover, entry.HandoverAcknowledged
] as const

/** Any message between two processes of the system. */
export type Message = typebox.Static<typeof schemas[number]>
export type MessageKind = Message['kind']
/** The message of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, { kind: Kind }>

const validators = new Map(schemas.map((schema) =>
  [schema.properties.kind.const as string, compiler.TypeCompiler.Compile(schema as typebox.TSchema)]))

/** Validates a decoded value; returns undefined if it does not match the schema of its kind. */
export const parse = (value: unknown): Message | undefined => {
  if (typeof value !== 'object' || value === null) return undefined
  const validator = validators.get((value as { kind?: string }).kind ?? '')
  return validator?.Check(value) ? value as Message : undefined
}

export * from './agent.ts'
export * from './entry.ts'
export * from './link.ts'
export { PROTOCOL_VERSION } from './schema.ts'
