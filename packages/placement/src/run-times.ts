/** Mean run time in ms assumed for a type of which nothing has finished. */
const PRIOR_MS = 300
/** Bounds in standard deviations of one run time's influence, so that a long tail does not mark a worker as slow. */
const MAX_DEVIATION = 2.5
const PRIOR_VARIANCE = 0.6

/** Moving estimates of one type's run times, from measurements only. */
export interface RunTimes {
  /** Mean in ms. */
  mean (): number
  /** Deviation of a run time from its type in standard deviations of the logarithm, within bounds. */
  deviation (runMs: number): number
  /** Standard deviation of the logarithm. */
  spread (): number
  add (runMs: number): void
}

export const create = ({ learningRate }: { learningRate: number }): RunTimes => {
  let count = 0
  let mean = PRIOR_MS
  let logMean = Math.log(PRIOR_MS)
  let variance = PRIOR_VARIANCE

  const logOf = (runMs: number): number => Math.log(Math.max(runMs, 0.1))
  const spread = (): number => Math.sqrt(Math.max(variance, 0.01))
  const deviation = (runMs: number): number => {
    const value = (logOf(runMs) - logMean) / spread()
    return Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, value))
  }
  return {
    mean: () => mean,
    deviation,
    spread,
    add: (runMs) => {
      count++
      const rate = Math.max(learningRate, 1 / count)
      mean += rate * (runMs - mean)
      // The variance keeps its prior weight for the first measurements.
      const difference = logOf(runMs) - logMean
      logMean += rate * difference
      variance += Math.max(learningRate, 1 / (count + 5)) * (difference * difference - variance)
    }
  }
}
