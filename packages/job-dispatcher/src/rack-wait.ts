/**
 * Decides whether a task waits for its rack or runs elsewhere, where it takes longer. Load pattern: tasks whose data or
 * group is on a rack that is full at the moment, while other racks have free capacity.
 *
 * The time until the rack has room is uncertain: an entry sees the ends of its own runs only, and other entries take
 * part of the room. The estimate is in `rack-room.ts`. As it may be wrong, a wait by cost ends when it has cost as much
 * as the longer run would have, unless only the run on the rack meets the objective. A factor of 2 on the estimate
 * halved the waits that end without room, but served fewer callers in time under heavy load.
 */

/** Time in ms before the job's latest start at which a wait ends: two reviews of waiting tasks. */
const LATEST_START_MARGIN_MS = 40
/** Wait in ms of the policy `FixedDelay`, for comparisons: half the run time of the sites' tasks of priority 1. */
export const FIXED_DELAY_MS = 150

/** What a decision depends on; times are in monotonic ms, durations in ms. */
export interface Inputs {
  now: number
  /** Expected run time on the rack, and on the best worker that is free elsewhere. */
  nearMs: number
  farMs: number
  /** Expected time until the rack has room; Infinity if no worker of it is reachable or nothing of it becomes free. */
  roomInMs: number
  /** Share of the service's capacity in use, from 0 to 1. */
  busyShare: number
  /** Number of tasks that run longer if this one runs elsewhere: the step's tasks for a group, otherwise 1. */
  affectedTasks: number
  /** Time by which the task has to end for its job to meet the objective. */
  endBy: number
  /** Latest start of the job, or of the task if an earlier step precedes it. */
  latestStart: number
  /** End of the task's earlier wait; all its waits together don't exceed the first one. */
  limit: number
}

/** A wait of a task for its rack. */
export interface Wait {
  rack: string
  since: number
  until: number
  /** Capacity in millicores of the rack's usable workers when the wait began. */
  millicores: number
  inputs: Inputs
}

export const isWait = (choice: object | undefined): choice is Wait => choice !== undefined && 'until' in choice

export abstract class Policy {
  abstract readonly name: string

  /** Returns the time until which to wait, or undefined to run elsewhere now. */
  decide (inputs: Inputs): number | undefined {
    const { now, limit, latestStart, roomInMs } = inputs
    if (roomInMs === Infinity) return undefined
    const until = Math.min(this.until(inputs), limit, latestStart - LATEST_START_MARGIN_MS)
    return until > now ? until : undefined
  }

  protected abstract until (inputs: Inputs): number
}

export class NeverWait extends Policy {
  override readonly name = 'never'

  protected override until (): number { return -Infinity }
}

export class AlwaysWait extends Policy {
  override readonly name = 'always'

  protected override until (): number { return Infinity }
}

export class FixedDelay extends Policy {
  override readonly name = 'fixed'

  protected override until ({ now }: Inputs): number { return now + FIXED_DELAY_MS }
}

/**
 * Waits if the expected wait costs less than the longer run. The longer run costs the caller its additional time, and
 * costs others the same time on a core as far as the fleet is busy.
 */
export class ByCost extends Policy {
  override readonly name = 'cost'

  protected override until ({ now, nearMs, farMs, roomInMs, busyShare, affectedTasks, endBy }: Inputs): number {
    const budgetMs = (farMs - nearMs) * (1 + busyShare * affectedTasks)
    const endsInTimeFar = now + farMs <= endBy
    const endsInTimeNear = now + roomInMs + nearMs <= endBy
    // Only one of the two meets the objective.
    if (endsInTimeFar && !endsInTimeNear) return -Infinity
    if (endsInTimeNear && !endsInTimeFar) return endBy - nearMs
    return roomInMs < budgetMs ? now + budgetMs : -Infinity
  }
}
