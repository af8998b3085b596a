import * as int32 from 'hdr-histogram-js/dist/Int32Histogram.js'
import type * as prometheus from 'prom-client'

/** Upper bounds of the exported buckets in seconds. */
const BUCKET_BOUNDS_S = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 7.5, 10, 20, 60
]
const QUANTILES = [0.5, 0.9, 0.99, 0.999, 1]
/** Unit of the histograms: 1 microsecond. */
const UNITS_PER_MS = 1000
const UNITS_PER_SECOND = 1_000_000
/** One hour; longer times are recorded as one hour. */
const MAX_UNITS = 3600 * UNITS_PER_SECOND
/** Two digits record values within 1% and take 14 KB per series. */
const SIGNIFICANT_DIGITS = 2

type HistogramClass = typeof int32.default
type Histogram = InstanceType<HistogramClass>

/**
 * hdr-histogram-js is CommonJS, so with Node's module loading its `default` export is one level deeper. Only this
 * module is imported, as that takes half the memory of the whole package.
 */
const Int32Histogram = (int32.default as HistogramClass & { default?: HistogramClass }).default ?? int32.default

/** Response times since the start of the process, with one series per label value. */
export interface ResponseTimes {
  record (ms: number, label?: string): void
}

interface Series {
  histogram: Histogram
  sumMs: number
}

type Value = prometheus.MetricValueWithName<string>

/** Returns the number of recorded values up to each bound, in seconds. */
const countUpToBounds = (histogram: Histogram, bounds: number[]): number[] => {
  const counts = bounds.map(() => 0)
  for (let index = 0; index < histogram.countsArrayLength; index++) {
    const count = histogram.getCountAtIndex(index)
    if (count === 0) continue
    const value = histogram.valueFromIndex(index)
    bounds.forEach((bound, boundIndex) => {
      if (value <= bound * UNITS_PER_SECOND) counts[boundIndex]! += count
    })
  }
  return counts
}

/**
 * Registers two metrics: `<name>_seconds`, a histogram whose buckets can be summed over processes, and
 * `<name>_quantile_seconds`, the quantiles of this process within 1%.
 */
export const create = (
  registry: prometheus.Registry, name: string, help: string, label?: string
): ResponseTimes => {
  const seriesByLabel = new Map<string, Series>()

  const toLabels = (value: string): Record<string, string> => label === undefined ? {} : { [label]: value }
  const histogramValues = (): Value[] => [...seriesByLabel].flatMap(([value, { histogram, sumMs }]) => {
    const counts = countUpToBounds(histogram, BUCKET_BOUNDS_S)
    const buckets = [...BUCKET_BOUNDS_S.map(String), '+Inf'].map((le, bucketIndex) => ({
      metricName: `${name}_seconds_bucket`,
      labels: { ...toLabels(value), le },
      value: counts[bucketIndex] ?? histogram.totalCount
    }))
    return [
      ...buckets,
      { metricName: `${name}_seconds_sum`, labels: toLabels(value), value: sumMs / 1000 },
      { metricName: `${name}_seconds_count`, labels: toLabels(value), value: histogram.totalCount }
    ]
  })
  const quantileValues = (): Value[] =>
    [...seriesByLabel].flatMap(([value, { histogram }]) => QUANTILES.map((quantile) => ({
      metricName: `${name}_quantile_seconds`,
      labels: { ...toLabels(value), quantile: String(quantile) },
      value: histogram.getValueAtPercentile(quantile * 100) / UNITS_PER_SECOND
    })))
  register(registry, `${name}_seconds`, help, 'histogram', histogramValues)
  register(registry, `${name}_quantile_seconds`, `${help} (quantiles of this process)`, 'gauge', quantileValues)

  const getSeries = (value: string): Series => {
    const existing = seriesByLabel.get(value)
    if (existing) return existing
    const created = { histogram: new Int32Histogram(1, MAX_UNITS, SIGNIFICANT_DIGITS), sumMs: 0 }
    seriesByLabel.set(value, created)
    return created
  }
  return {
    record: (ms, value = '') => {
      const target = getSeries(value)
      target.sumMs += ms
      target.histogram.recordValue(Math.min(MAX_UNITS, Math.max(0, Math.round(ms * UNITS_PER_MS))))
    }
  }
}

/** Registers a metric with computed values. prom-client's registry needs only its `name` and `get`. */
export const register = (
  registry: prometheus.Registry, name: string, help: string, type: string, values: () => Value[]
): void => {
  const metric = {
    name,
    get: async () => ({ name, help, type, aggregator: 'sum', values: values() }),
    reset: () => {}
  }
  registry.registerMetric(metric as unknown as prometheus.Metric)
}
