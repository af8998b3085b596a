import type * as ids from './ids.ts'

/** A registered agent. */
export interface Member {
  worker: ids.WorkerName
  incarnation: ids.Incarnation
  failureDomain: ids.FailureDomainName
}

/** Removal of an agent incarnation from the membership. */
export interface Departure {
  /** Number of this departure, counted from 1. */
  index: number
  worker: ids.WorkerName
  incarnation: ids.Incarnation
}

/** Agents, departures and fences as stored in the platform's table. */
export interface Membership {
  members: Member[]
  /** Total number of departures so far. */
  departures: number
  /** The latest departures in order of index; older ones have been removed. */
  departed: Departure[]
  /** Fenced owner incarnations: no registered agent starts tasks of their jobs. */
  fences: ids.Incarnation[]
}
