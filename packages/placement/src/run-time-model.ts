/** Variance of the logarithm of run times of one step's tasks on one worker; they differ by 0.15 on the platform. */
export const TASK_VARIANCE = 0.15 ** 2
/** Variance of the logarithm of the factor by which a step's declared time is off; 0.4 on the platform. */
export const STEP_VARIANCE = 0.4 ** 2
/** Variance of the logarithm of the factors of workers of one type that are well. */
export const WORKER_VARIANCE = 0.2 ** 2
/** Variance before any run of the logarithm of a queue's factor: declared times may be off by half or twice. */
const QUEUE_VARIANCE = 0.5
/** Variance before any run of the logarithm of a type's factor: known speeds lie between 0.7 and 1.7. */
const TYPE_VARIANCE = 0.25
/** Variance before any run of the logarithm of the far factor; small, since the settings give its value. */
const FAR_VARIANCE = 0.1 ** 2
/**
 * Growth of variances per ms. That of workers lets an estimate follow a change within 5 to 10 runs at the 9 runs/s that
 * an entry sees of one worker; queues and types change only with a release or a new machine.
 */
const DRIFT = { worker: 2e-5, queue: 1e-6, type: 1e-7, far: 1e-8 } as const
/** Bound in standard deviations on one run's deviation, so that a long tail hardly moves an estimate. */
const MAX_DEVIATION = 2.5
/** Bound on the difference between the logarithms of run times of a step: its tasks differ by 0.15, the tail by 1.9. */
const MAX_SPREAD = 0.8
/** Bound on a run's deviation in the estimate of its step, so that a long tail hardly moves it. */
export const MAX_PEER_DEVIATION = 1.5
/** Variance of the logarithm of a run time around the step's, including what is unknown of its worker. */
export const PEER_VARIANCE = TASK_VARIANCE + 0.1 ** 2
/** Successive steps of a worker beyond the bound, on the same side, after which its factor counts as changed. */
const STEPS_OF_CHANGE = 2
/** Bounds on the weight of a run in a queue's mean: that of the oldest of 20 first runs, and of one in 200 later. */
const MEAN_RATES = { first: 20, last: 1 / 200 } as const
/** Bound on a run time over the predicted median in a queue's mean; a long tail is 7 times as long. */
const MAX_RATIO = 10

/** Maximum number of types of machines that are kept; the oldest are evicted first. */
const MAX_TYPES = 64

/** Normally distributed estimate of the logarithm of a factor. */
interface Estimate {
  mean: number
  variance: number
  /** Bound on `variance`, and its growth per ms. */
  readonly prior: number
  readonly drift: number
  updatedAt: number
}

interface Queue {
  factor: Estimate
  far: Estimate
  /** Mean run time over the predicted median. */
  meanRatio: number
  /** Moving average of the logarithm of the factors of workers that ran the queue's tasks. */
  typical: number
  runs: number
}

interface Worker {
  incarnation: number
  factor: Estimate
  /** Latest successive steps beyond the bound; negative for shorter runs. */
  unusualSteps: number
}

/** Runs of one step, from which the factor by which its declared time is off is estimated. */
export interface Step {
  readonly tasks: number
  runs: Array<{ work: Work, site: Site, ranMs: number }>
  /** Sum of the bounded deviations of the runs. */
  sum: number
  closed: boolean
  /** Estimate of the logarithm of the factor. */
  factor: { mean: number, variance: number }
}

/** Where a run takes place. */
export interface Site {
  worker: string
  /** A worker's new incarnation starts with the prior of its type. */
  incarnation: number
  /** Type of the worker's machine. */
  type: string
  far: boolean
}

export interface Work {
  queue: string
  declaredMs: number
  /** Absent if nothing is known of the step. */
  step?: Step
}

/** Deviation of a run from what is expected of a worker of its type, in terms of the logarithm. */
export interface Deviation {
  /** Without the factors of the worker and the step. */
  value: number
  /** Uncertainty of the factors of queue, type and distance. */
  variance: number
  /** The worker's own factor. */
  worker: number
}

/**
 * Run times as the product of the declared time and factors of the queue, the type of the worker's machine, the
 * distance to the task's data, the worker itself and the step. Load pattern: workers of different speeds run steps
 * whose declared times are off, each by one factor for all its tasks. The runs of a step are taken in together at its
 * end, since the short ones end first: each worker's runs are one observation, which is compared with those of the
 * step on other workers. The cost of a run is constant.
 */
export interface Model {
  /** `tasks`: runs that end the step. */
  createStep (tasks: number): Step
  /** Expected run time in ms, at a site or on a typical worker near the data. */
  expectedMs (work: Work, site?: Site): number
  /** The same for a worker of the site's type that is well: its own factor counts only up to `maxFactor`. */
  expectedOfTypeMs (work: Work, site: Site, maxFactor: number): number
  deviation (work: Work, site: Site, ranMs: number): Deviation
  record (work: Work, site: Site, ranMs: number): void
  /** Takes in the runs of a step that will not be complete. */
  close (step: Step): void
  /** Forgets a worker that is gone. */
  forget (worker: string): void
  /** Number of estimates kept, for tests of the bound on memory. */
  size (): number
}

const createEstimate = (mean: number, prior: number, drift: number, now: number): Estimate =>
  ({ mean, variance: prior, prior, drift, updatedAt: now })

/** `farFactor`: expected run time away from the task's data over that near it. `now`: monotonic time in ms. */
export const create = ({ farFactor, now }: { farFactor: number, now (): number }): Model => {
  const queues = new Map<string, Queue>()
  const types = new Map<string, Estimate>()
  const workers = new Map<string, Worker>()

  const queueOf = (name: string): Queue => {
    let queue = queues.get(name)
    if (!queue) {
      const factor = createEstimate(0, QUEUE_VARIANCE, DRIFT.queue, now())
      const far = createEstimate(Math.log(farFactor), FAR_VARIANCE, DRIFT.far, now())
      queues.set(name, queue = { factor, far, meanRatio: 1, typical: 0, runs: 0 })
    }
    return queue
  }
  const typeOf = (name: string): Estimate => {
    let type = types.get(name)
    if (!type) {
      types.set(name, type = createEstimate(0, TYPE_VARIANCE, DRIFT.type, now()))
      const [oldest] = types.keys()
      if (types.size > MAX_TYPES && oldest !== undefined) types.delete(oldest)
    }
    return type
  }
  const workerOf = ({ worker: name, incarnation }: Site): Worker => {
    let worker = workers.get(name)
    if (worker?.incarnation !== incarnation) {
      const factor = createEstimate(0, WORKER_VARIANCE, DRIFT.worker, now())
      workers.set(name, worker = { incarnation, factor, unusualSteps: 0 })
    }
    return worker
  }
  /** Logarithm of the worker's own factor; 0 for one that has run nothing yet. */
  const ownFactor = ({ worker: name, incarnation }: Site): number => {
    const worker = workers.get(name)
    return worker?.incarnation === incarnation ? worker.factor.mean : 0
  }
  const age = (estimate: Estimate): Estimate => {
    const at = now()
    const grown = estimate.variance + estimate.drift * (at - estimate.updatedAt)
    estimate.variance = Math.max(estimate.variance, Math.min(estimate.prior, grown))
    estimate.updatedAt = at
    return estimate
  }
  /** The mean over the median is smaller the more is known of the step. */
  const meanOf = (queue: Queue, { declaredMs, step }: Work, logFactor: number): number => {
    const known = STEP_VARIANCE - (step?.factor.variance ?? STEP_VARIANCE)
    return declaredMs * queue.meanRatio * Math.exp(logFactor + (step?.factor.mean ?? 0) - known / 2)
  }
  const siteFactor = (queue: Queue, site: Site): number => typeOf(site.type).mean + (site.far ? queue.far.mean : 0)
  const deviation = (work: Work, site: Site, ranMs: number): Deviation => {
    const queue = queueOf(work.queue)
    const { factor } = queue
    return {
      value: Math.log(Math.max(ranMs, 0.1) / work.declaredMs) - factor.mean - siteFactor(queue, site),
      variance: factor.variance + typeOf(site.type).variance + (site.far ? queue.far.variance : 0),
      worker: ownFactor(site)
    }
  }
  const updateMean = (queue: Queue, ratio: number): void => {
    const rate = Math.max(MEAN_RATES.last, 1 / (++queue.runs + MEAN_RATES.first))
    queue.meanRatio += rate * (Math.min(MAX_RATIO, ratio) - queue.meanRatio)
  }
  /** After a change, such as the end of a cold start, the next steps count as if the worker were new. */
  const noteChange = (worker: Worker, deviations: number): void => {
    if (Math.abs(deviations) <= MAX_DEVIATION) worker.unusualSteps = 0
    else if (deviations > 0) worker.unusualSteps = Math.max(0, worker.unusualSteps) + 1
    else worker.unusualSteps = Math.min(0, worker.unusualSteps) - 1
    if (Math.abs(worker.unusualSteps) >= STEPS_OF_CHANGE) worker.factor.variance = worker.factor.prior
  }
  /** Moves the parts of a sum towards an observation of it, each by its share of the variance. */
  const update = (parts: Estimate[], difference: number, noise: number): number => {
    let variance = noise
    for (const part of parts) variance += age(part).variance
    const deviations = difference / Math.sqrt(variance)
    const bounded = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviations)) * Math.sqrt(variance)
    for (const part of parts) {
      const gain = part.variance / variance
      part.mean += gain * bounded
      part.variance -= gain * part.variance
    }
    return deviations
  }
  const own = ({ value, worker }: Deviation): number => value - worker
  /** Estimates the factor of a step from the sum of deviations of its runs. */
  const estimateStep = (runs: number, sum: number): Step['factor'] => {
    const variance = 1 / (1 / STEP_VARIANCE + runs / PEER_VARIANCE)
    return { mean: variance * sum / PEER_VARIANCE, variance }
  }
  const deviationsOf = (runs: Step['runs']): number[] => {
    const deviations = runs.map(({ work, site, ranMs }) => own(deviation(work, site, ranMs)))
    // The shortest run is not in the tail, unless all are.
    const most = deviations.reduce((least, value) => Math.min(least, value), Infinity) + MAX_SPREAD
    return deviations.map((value) => Math.min(most, value))
  }
  const takeIn = (runs: Step['runs']): void => {
    const [first] = runs
    if (!first) return
    const queue = queueOf(first.work.queue)
    const deviations = deviationsOf(runs)
    let sum = 0
    const groups = new Map<string, { site: Site, runs: number, sum: number }>()
    for (const [index, { work, site, ranMs }] of runs.entries()) {
      updateMean(queue, Math.exp(own(deviation(work, site, ranMs))))
      const key = `${site.worker} ${site.far}`
      const group = groups.get(key) ?? { site, runs: 0, sum: 0 }
      groups.set(key, group)
      group.runs++
      group.sum += deviations[index]!
      sum += deviations[index]!
    }
    for (const { site, runs: count, sum: groupSum } of groups.values()) {
      const worker = workerOf(site)
      const step = estimateStep(runs.length - count, sum - groupSum)
      const parts = [typeOf(site.type), worker.factor]
      if (site.far) parts.push(queue.far)
      noteChange(worker, update(parts, groupSum / count - step.mean, step.variance + TASK_VARIANCE / count))
      const current = typeOf(site.type).mean + worker.factor.mean
      queue.typical += Math.max(MEAN_RATES.last, 1 / queue.runs) * (current - queue.typical)
    }
    update([queue.factor], sum / runs.length, STEP_VARIANCE + TASK_VARIANCE / runs.length)
  }
  const close = (step: Step): void => {
    step.closed = true
    takeIn(step.runs.splice(0))
  }
  return {
    createStep: (tasks) => ({ tasks, runs: [], sum: 0, closed: false, factor: { mean: 0, variance: STEP_VARIANCE } }),
    expectedMs: (work, site) => {
      const queue = queueOf(work.queue)
      const place = site ? siteFactor(queue, site) + ownFactor(site) : queue.typical
      return meanOf(queue, work, queue.factor.mean + place)
    },
    expectedOfTypeMs: (work, site, maxFactor) => {
      const queue = queueOf(work.queue)
      const bounded = Math.min(ownFactor(site), Math.log(maxFactor))
      return meanOf(queue, work, queue.factor.mean + siteFactor(queue, site) + bounded)
    },
    deviation,
    record: (work, site, ranMs) => {
      const { step } = work
      const run = { work, site, ranMs }
      if (!step || step.closed) return takeIn([run])
      step.runs.push(run)
      const difference = own(deviation(work, site, ranMs))
      step.sum += Math.max(-MAX_PEER_DEVIATION, Math.min(MAX_PEER_DEVIATION, difference))
      step.factor = estimateStep(step.runs.length, step.sum)
      if (step.runs.length >= step.tasks) close(step)
    },
    close,
    forget: (worker) => { workers.delete(worker) },
    size: () => queues.size + types.size + workers.size
  }
}
