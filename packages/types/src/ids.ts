declare const brand: unique symbol

/** A primitive that carries the name of what it identifies, so that two kinds of id cannot be mixed up. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name }

/** Random identity of one life of an entry or agent process. */
export type Incarnation = Branded<string, 'Incarnation'>
/** `incarnation.view.block.sequence`; the incarnation is the only entry life that ever starts the job's tasks. */
export type JobId = Branded<string, 'JobId'>
export type EntryName = Branded<string, 'EntryName'>
export type WorkerName = Branded<string, 'WorkerName'>
export type TaskName = Branded<string, 'TaskName'>
export type TaskTypeName = Branded<string, 'TaskTypeName'>
export type PriorityClassName = Branded<string, 'PriorityClassName'>
export type TeamName = Branded<string, 'TeamName'>
export type FailureDomainName = Branded<string, 'FailureDomainName'>
/** Identifies one caller's request inside one entry process. */
export type RequestId = Branded<string, 'RequestId'>
/** SHA-256 of a job's content in hexadecimal. */
export type Digest = Branded<string, 'Digest'>

/**
 * State of the agent membership that a block of ids was opened under. `registered` blocks start only on registered
 * agents, and `departures` counts the agent departures known at that time; `unregistered` blocks start on any agent.
 */
export type View = { kind: 'registered', departures: number } | { kind: 'unregistered' }

export interface ParsedJobId {
  incarnation: Incarnation
  view: View
  block: number
  sequence: number
}

const INCARNATION = '[a-z0-9]{8,32}'
const JOB_ID = new RegExp(`^(${INCARNATION})\\.(u|r(?:0|[1-9][0-9]{0,14}))\\.([1-9][0-9]{0,14})\\.(0|[1-9][0-9]{0,14})$`)

export const formatView = (view: View): string => view.kind === 'unregistered' ? 'u' : `r${view.departures}`

export const formatBlock = (incarnation: Incarnation, view: View, block: number): string =>
  `${incarnation}.${formatView(view)}.${block}`

export const formatJobId = (id: ParsedJobId): JobId =>
  `${formatBlock(id.incarnation, id.view, id.block)}.${id.sequence}` as JobId

/** Returns undefined for a text that is not a job id in canonical form. */
export const parseJobId = (text: string): ParsedJobId | undefined => {
  const match = JOB_ID.exec(text)
  if (!match) return undefined
  const [, incarnation, view, block, sequence] = match as unknown as [string, string, string, string, string]
  return {
    incarnation: incarnation as Incarnation,
    view: view === 'u' ? { kind: 'unregistered' } : { kind: 'registered', departures: Number(view.slice(1)) },
    block: Number(block),
    sequence: Number(sequence)
  }
}

/** Identifies one link to a peer inside one process; a replaced link gets a new id. */
export type LinkId = Branded<number, 'LinkId'>
