/** Mean run time in ms assumed for a type until its first task finishes. */
const PRIOR_MS = 300
/** Limit in standard deviations on the deviation of one run time, so that a long tail does not mark a worker slow. */
const MAX_DEVIATION = 2.5
/** Variance of the logarithm of run times before any measurement. */
const PRIOR_VARIANCE = 0.6

/** Moving averages of the measured run times of one task type. */
export interface RunTimes {
  /** Mean in ms. */
  mean (): number
  /** Deviation of a run time from the type's mean, in standard deviations of the logarithm, limited on both sides. */
  deviation (runMs: number): number
  /** Standard deviation of the logarithm of run times. */
  logDeviation (): number
  add (runMs: number): void
}

export const create = ({ learningRate }: { learningRate: number }): RunTimes => {
  let count = 0
  let mean = PRIOR_MS
  let logMean = Math.log(PRIOR_MS)
  let variance = PRIOR_VARIANCE

  const logOf = (runMs: number): number => Math.log(Math.max(runMs, 0.1))
  const logDeviation = (): number => Math.sqrt(Math.max(variance, 0.01))
  const deviation = (runMs: number): number => {
    const value = (logOf(runMs) - logMean) / logDeviation()
    return Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, value))
  }
  return {
    mean: () => mean,
    deviation,
    logDeviation,
    add: (runMs) => {
      count++
      const rate = Math.max(learningRate, 1 / count)
      mean += rate * (runMs - mean)
      // The prior variance keeps a weight of 5 measurements, so that the first few do not dominate the estimate.
      const difference = logOf(runMs) - logMean
      logMean += rate * difference
      variance += Math.max(learningRate, 1 / (count + 5)) * (difference * difference - variance)
    }
  }
}
