declare const brand: unique symbol

/** A primitive with a type-level tag, so that different kinds of ids cannot be mixed up. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name }

/** Random id of one incarnation of an entry or agent process; a process may start a new incarnation while it runs. */
export type Incarnation = Branded<string, 'Incarnation'>
/** `incarnation.view.block.sequence`; only the entry incarnation named in it ever starts the job's tasks. */
export type JobId = Branded<string, 'JobId'>
export type EntryName = Branded<string, 'EntryName'>
export type WorkerName = Branded<string, 'WorkerName'>
export type TaskName = Branded<string, 'TaskName'>
export type TaskTypeName = Branded<string, 'TaskTypeName'>
export type PriorityClassName = Branded<string, 'PriorityClassName'>
export type TeamName = Branded<string, 'TeamName'>
export type FailureDomainName = Branded<string, 'FailureDomainName'>
/** Identifies a caller's request within one entry process. */
export type RequestId = Branded<string, 'RequestId'>
/** SHA-256 of a job's content in hexadecimal, without the job id. */
export type Digest = Branded<string, 'Digest'>

/**
 * State of the agent membership when a block of job ids was opened. `registered`: jobs start only on registered agents,
 * and `departures` is the number of agent departures known then. `unregistered`: jobs start on any agent.
 */
export type MembershipView = { kind: 'registered', departures: number } | { kind: 'unregistered' }

/** The parts of a job id. */
export interface ParsedJobId {
  incarnation: Incarnation
  view: MembershipView
  block: number
  sequence: number
}

const INCARNATION = '[a-z0-9]{8,32}'
const JOB_ID = new RegExp(`^(${INCARNATION})\\.(u|r(?:0|[1-9][0-9]{0,14}))\\.([1-9][0-9]{0,14})\\.(0|[1-9][0-9]{0,14})$`)

/** `u` for an unregistered view, `r<departures>` for a registered one. */
export const formatView = (view: MembershipView): string => view.kind === 'unregistered' ? 'u' : `r${view.departures}`

/** The common prefix of a block's job ids, without the last dot. */
export const formatBlock = (incarnation: Incarnation, view: MembershipView, block: number): string =>
  `${incarnation}.${formatView(view)}.${block}`

export const formatJobId = (id: ParsedJobId): JobId =>
  `${formatBlock(id.incarnation, id.view, id.block)}.${id.sequence}` as JobId

/** Returns undefined if the text is not a job id in canonical form. */
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

/** Identifies a link to a peer within one process; a link that replaces another one gets a new id. */
export type LinkId = Branded<number, 'LinkId'>
