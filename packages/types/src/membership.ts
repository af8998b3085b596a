import type * as ids from './ids.ts'

export interface Member {
  worker: ids.WorkerName
  incarnation: ids.Incarnation
  failureDomain: ids.FailureDomainName
}

export interface Departure {
  /** Value of the departure count after this departure; the first is 1. */
  index: number
  worker: ids.WorkerName
  incarnation: ids.Incarnation
}

/** Agents, departures and fences as the platform's table holds them. */
export interface Membership {
  members: Member[]
  /** Number of departures ever. */
  departures: number
  /** The latest departures in order of index; older ones are no longer listed. */
  departed: Departure[]
  /** Owner incarnations that can start nothing on any registered agent. */
  fences: ids.Incarnation[]
}
