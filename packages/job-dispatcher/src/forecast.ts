import type * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as runEstimates from './estimates.ts'
import * as fleetCapacity from './fleet-capacity.ts'

/** Resolution in ms of the first second; the shortest tasks run some 80 ms. */
const RESOLUTION_MS = 10
const FINE_BUCKETS = 100
/** Growth of the buckets after that, up to some 50 s; callers of the deployments in use wait 1.5 to 5 s. */
const GROWTH = 1.05
const BUCKETS = 180
/** Time in ms at which each bucket ends. */
const BOUNDS = Array.from({ length: BUCKETS }, (_, index) => index <= FINE_BUCKETS
  ? index * RESOLUTION_MS
  : FINE_BUCKETS * RESOLUTION_MS * GROWTH ** (index - FINE_BUCKETS))
/** Share of its expected run time after which an overdue run is expected to end; declared times are off by some 0.4. */
const OVERDUE_SHARE = 0.25
/** Run time in ms assumed for the runs of other entries while this one has none of its own to go by. */
const DEFAULT_RUN_MS = 300

/** What a forecast is made from. */
export interface View {
  agents: fleet.Agents
  estimates: runEstimates.Estimates
}

/**
 * Capacity that becomes free for an entry, less what is reserved of it. Load pattern: several entries fill the same
 * workers, and capacity that is in use now is partly free again before a job has to start.
 */
export interface Forecast {
  /** Capacity in millicores that is free now. */
  readonly free: number
  /** The entry's share in millicores of the workers that it is linked to. */
  readonly share: number
  /** Capacity in millicores of these workers. */
  readonly total: number
  /**
   * Reserves capacity for tasks that run for `runMs`, after all earlier reservations. Returns the ms from now at which
   * the last of them can start. If that is not within `withinMs`, reserves nothing and returns Infinity.
   */
  reserve (millicores: number, runMs: number, withinMs: number): number
  /** Capacity in millicores that is missing for tasks that have to start within `withinMs`; 0 or less if none is. */
  shortage (millicores: number, withinMs: number): number
  /**
   * Copy for less urgent work. `demand` is the demand of other entries for work of the same or higher urgency, relative
   * to their shares: what other entries' runs release is offered to the entry with the most urgent task.
   */
  next (demand: number): Forecast
}

/** Capacity on the workers of a service in millicores. */
interface Use {
  free: number
  share: number
  total: number
  /** Used by other entries. */
  others: number
  /** Part of `others` that is due to this entry by its share. */
  due: number
  /** Part of the runs of other entries that ends in each bucket. */
  ends: Float64Array
}

/** First bucket that ends at the given time or later; `BUCKETS` if it is beyond the forecast. */
const bucketOf = (ms: number): number => {
  const fine = Math.ceil(ms / RESOLUTION_MS)
  if (fine <= FINE_BUCKETS) return Math.max(0, fine)
  const coarse = Math.ceil(Math.log(fine / FINE_BUCKETS) / Math.log(GROWTH))
  return Math.min(BUCKETS, FINE_BUCKETS + coarse)
}

/** Last bucket that ends within the given time. */
const lastWithin = (ms: number): number => {
  const bucket = bucketOf(ms)
  return bucket === BUCKETS || (bucket > 0 && BOUNDS[bucket]! > ms) ? bucket - 1 : bucket
}

/** Capacity that other entries' runs release for this entry while other entries have the given demand. */
const releasedByOthers = ({ others, due }: Use, demand: number): number => Math.max(due, others * (1 - demand))

const fromUse = (
  use: Use, releases: Float64Array, demand: number, reserved = { bucket: 0, free: use.free }
): Forecast => {
  /** All capacity up to `bucket` is reserved, except `free`. */
  let { bucket, free } = reserved

  const shortage = (millicores: number, withinMs: number): number => {
    const last = lastWithin(withinMs)
    if (bucket > last) return millicores
    let missing = millicores - free
    for (let index = bucket + 1; missing > 0 && index <= last; index++) missing -= releases[index]!
    return missing
  }
  const endOf = (startMs: number, runMs: number): number => Math.max(bucketOf(startMs) + 1, bucketOf(startMs + runMs))
  return {
    free: use.free,
    share: use.share,
    total: use.total,
    shortage,
    reserve: (millicores, runMs, withinMs) => {
      if (shortage(millicores, withinMs) > 0) return Infinity
      while (free < millicores && bucket < BUCKETS - 1) free += releases[++bucket]!
      free -= millicores
      const startMs = BOUNDS[bucket]!
      const end = endOf(startMs, runMs)
      if (end < BUCKETS) releases[end]! += millicores
      return startMs
    },
    next: (nextDemand) => {
      const change = releasedByOthers(use, nextDemand) - releasedByOthers(use, demand)
      const copy = releases.slice()
      for (let index = bucket + 1; index < BUCKETS; index++) copy[index]! += change * use.ends[index]!
      return fromUse(use, copy, nextDemand, { bucket, free })
    }
  }
}

/** Adds the rate in millicores a ms at which runs of `runMs` end, at the bucket in which the last of them ends. */
const addRate = (rates: Float64Array, runMs: number, millicores: number): void => {
  const last = Math.min(BUCKETS - 1, Math.max(1, bucketOf(runMs)))
  rates[last]! += millicores / BOUNDS[last]!
}
/** Part of runs in progress that ends in each bucket, from the rates by the bucket of the last end. */
const toEnds = (rates: Float64Array, millicores: number): Float64Array => {
  const ends = new Float64Array(BUCKETS)
  let rate = 0
  for (let bucket = BUCKETS - 1; bucket > 0; bucket--) {
    rate += rates[bucket]!
    ends[bucket] = rate * (BOUNDS[bucket]! - BOUNDS[bucket - 1]!) / millicores
  }
  return ends
}

/**
 * Forecasts the capacity of the service's workers: what is free now, the expected ends of the entry's own runs, and the
 * ends of other entries' runs as far as they are due to this entry. `unit` is the amount of a typical waiting task.
 */
export const create = ({ agents, estimates }: View, service: string, unit: runs.Resources, now: number): Forecast => {
  const releases = new Float64Array(BUCKETS)
  const rates = new Float64Array(BUCKETS)
  const use: Use = { ...fleetCapacity.capacityOf(agents, service), free: 0, others: 0, due: 0, ends: rates }
  let running = 0
  for (const agent of fleetCapacity.usableAgents(agents, service)) {
    const { worker, entryCount } = agent
    let own = 0
    for (const { task, job, phase, orderedAt } of agent.tasks.values()) {
      own += task.amount.millicores
      if (phase !== 'ordered') continue
      const expectedMs = estimates.expectedRunMs(job.job.queue.name, task, { worker, agent: agent.name, far: false })
      const end = bucketOf(Math.max(orderedAt + expectedMs - now, OVERDUE_SHARE * expectedMs))
      if (end < BUCKETS) releases[end]! += task.amount.millicores
      running += task.amount.millicores
      addRate(rates, expectedMs, task.amount.millicores)
    }
    const free = fleetCapacity.freeFor(agent, unit)
    const others = Math.max(0, worker.capacity.millicores - Math.max(0, agent.free.millicores) - own)
    use.free += free
    use.others += others
    use.due += Math.max(0, Math.min(worker.capacity.millicores / entryCount - own - free, others))
  }
  if (running === 0) addRate(rates, DEFAULT_RUN_MS, running = 1)
  use.ends = toEnds(rates, running)
  for (let bucket = 1; bucket < BUCKETS; bucket++) releases[bucket]! += use.due * use.ends[bucket]!
  return fromUse(use, releases, 1)
}
