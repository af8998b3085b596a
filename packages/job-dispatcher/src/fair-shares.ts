import type * as interfaces from './interface.ts'
import type * as jobs from './jobs.ts'
import type * as policies from './rules.ts'

/** Time constant in ms over which the served share is measured; the bursts in use last 3 to 7 s. */
const TIME_CONSTANT_MS = 5000
/** Recent jobs of a queue from which the bounds of its size classes are taken. */
const SAMPLES = 128
/** Number of jobs after which the bounds are computed again. */
const UPDATE_INTERVAL = 16
/** Upper quantiles of the size classes: the largest tenth, and the fifth below it, are measured by callers. */
const QUANTILES = [0.9, 0.7]
/**
 * Weight in jobs of the assumption that a class is served like its queue, until enough of them have come. With 1, the
 * largest tenth of the least urgent queue, of which an entry gets 4 in 5 s, was protected too late.
 */
const PRIOR_JOBS = 0.3

/** Decayed number of jobs from which a queue counts as served too rarely; fewer may be refused by chance. */
const MIN_OFFERED = 2

interface Tally {
  offered: number
  unserved: number
}

/**
 * Tells which jobs may not be refused in favour of others. Load pattern: under overload, the refusal of the largest
 * jobs serves most callers, and the least urgent queue gets what the others leave; both would starve callers.
 */
export interface FairShares {
  offered (job: jobs.JobState, now: number): void
  /** The job was refused, or was not answered in time. */
  unserved (job: jobs.JobState, now: number): void
  /** True if the jobs of its size are served less than their floor. */
  protectsSize (job: jobs.JobState): boolean
  /** True if the queue is served less than its floor. */
  protectsQueue (queue: interfaces.QueueName): boolean
}

interface QueueTally extends Tally {
  classes: Tally[]
  sizes: number[]
  /** Smallest sizes of the classes, the largest class first. */
  bounds: number[]
  arrivals: number
  decayedAt: number
}

export const create = ({ sizeFloor, queueFloor }: Pick<policies.Rules, 'sizeFloor' | 'queueFloor'>): FairShares => {
  const queues = new Map<interfaces.QueueName, QueueTally>()
  const offers = new WeakMap<jobs.JobState, { index: number, at: number }>()

  const tallyOf = (queue: interfaces.QueueName, now: number): QueueTally => {
    let tally = queues.get(queue)
    if (!tally) {
      tally = { offered: 0, unserved: 0, sizes: [], bounds: [], arrivals: 0, decayedAt: now, classes: [] }
      tally.classes = [...QUANTILES, 0].map(() => ({ offered: 0, unserved: 0 }))
      queues.set(queue, tally)
    }
    const factor = Math.exp((tally.decayedAt - now) / TIME_CONSTANT_MS)
    for (const part of [tally, ...tally.classes]) {
      part.offered *= factor
      part.unserved *= factor
    }
    tally.decayedAt = now
    return tally
  }
  const updateBounds = (tally: QueueTally): void => {
    const inOrder = [...tally.sizes].sort((left, right) => left - right)
    tally.bounds = QUANTILES.map((quantile) => inOrder[Math.floor(quantile * inOrder.length)]!)
  }
  const servedShare = ({ offered, unserved }: Tally): number => offered > 0 ? Math.max(0, 1 - unserved / offered) : 1

  return {
    offered: (job, now) => {
      const tally = tallyOf(job.job.queue.name, now)
      tally.sizes[tally.arrivals++ % SAMPLES] = job.size
      if (tally.arrivals % UPDATE_INTERVAL === 0) updateBounds(tally)
      const found = tally.bounds.findIndex((bound) => job.size >= bound)
      const index = found < 0 ? QUANTILES.length : found
      offers.set(job, { index, at: now })
      tally.offered++
      tally.classes[index]!.offered++
    },
    unserved: (job, now) => {
      const offer = offers.get(job)
      if (!offer) return
      offers.delete(job)
      const tally = tallyOf(job.job.queue.name, now)
      // The weight that its offer still has.
      const weight = Math.exp((offer.at - now) / TIME_CONSTANT_MS)
      tally.unserved += weight
      tally.classes[offer.index]!.unserved += weight
    },
    protectsSize: (job) => {
      const tally = queues.get(job.job.queue.name)
      const index = offers.get(job)?.index
      if (!tally || index === undefined || index === QUANTILES.length) return false
      const { offered, unserved } = tally.classes[index]!
      const queueShare = servedShare(tally)
      const share = servedShare({ offered: offered + PRIOR_JOBS, unserved: unserved + PRIOR_JOBS * (1 - queueShare) })
      return share < sizeFloor * queueShare
    },
    protectsQueue: (queue) => {
      const tally = queues.get(queue)
      return tally !== undefined && tally.offered > MIN_OFFERED && servedShare(tally) < queueFloor
    }
  }
}
