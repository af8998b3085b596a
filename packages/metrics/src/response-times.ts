import * as int32 from 'hdr-histogram-js/dist/Int32Histogram.js'
import type * as prometheus from 'prom-client'

/** Bounds of the exported buckets in seconds. */
const BUCKETS = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 7.5, 10, 20, 60
]
const QUANTILES = [0.5, 0.9, 0.99, 0.999, 1]
/** Unit of the histograms: 1 microsecond. */
const UNITS_PER_MS = 1000
const UNITS_PER_SECOND = 1_000_000
/** Longer times count as one hour. */
const MAX_UNITS = 3600 * UNITS_PER_SECOND
/** Two digits keep every value within 1% in 14 KB per label. */
const DIGITS = 2

type HistogramClass = typeof int32.default
type Histogram = InstanceType<HistogramClass>

/**
 * The package is CommonJS: loaders that follow Node find its `default` export one level deeper. Only this module of it
 * is loaded, which takes half of the memory of the whole.
 */
const Int32Histogram = (int32.default as HistogramClass & { default?: HistogramClass }).default ?? int32.default

/** Response times since the start of the process, each series by one label value. */
export interface ResponseTimes {
  record (ms: number, label?: string): void
}

interface Series {
  histogram: Histogram
  sumMs: number
}

type Value = prometheus.MetricValueWithName<string>

/** Number of recorded values up to each bound. */
const cumulate = (histogram: Histogram, bounds: number[]): number[] => {
  const counts = bounds.map(() => 0)
  for (let index = 0; index < histogram.countsArrayLength; index++) {
    const count = histogram.getCountAtIndex(index)
    if (count === 0) continue
    const value = histogram.valueFromIndex(index)
    bounds.forEach((bound, place) => {
      if (value <= bound * UNITS_PER_SECOND) counts[place]! += count
    })
  }
  return counts
}

/**
 * Adds two metrics to the registry: `<name>_seconds`, a histogram whose buckets can be summed over processes, and
 * `<name>_quantile_seconds`, the quantiles of this process within 1%.
 */
export const create = (
  registry: prometheus.Registry, name: string, help: string, label?: string
): ResponseTimes => {
  const all = new Map<string, Series>()

  const labels = (value: string): Record<string, string> => label === undefined ? {} : { [label]: value }
  const histogramValues = (): Value[] => [...all].flatMap(([value, { histogram, sumMs }]) => {
    const counts = cumulate(histogram, BUCKETS)
    const buckets = [...BUCKETS.map(String), '+Inf'].map((le, place) => ({
      metricName: `${name}_seconds_bucket`,
      labels: { ...labels(value), le },
      value: counts[place] ?? histogram.totalCount
    }))
    return [
      ...buckets,
      { metricName: `${name}_seconds_sum`, labels: labels(value), value: sumMs / 1000 },
      { metricName: `${name}_seconds_count`, labels: labels(value), value: histogram.totalCount }
    ]
  })
  const quantileValues = (): Value[] => [...all].flatMap(([value, { histogram }]) => QUANTILES.map((quantile) => ({
    metricName: `${name}_quantile_seconds`,
    labels: { ...labels(value), quantile: String(quantile) },
    value: histogram.getValueAtPercentile(quantile * 100) / UNITS_PER_SECOND
  })))
  register(registry, `${name}_seconds`, help, 'histogram', histogramValues)
  register(registry, `${name}_quantile_seconds`, `${help} (quantiles of this process)`, 'gauge', quantileValues)

  const series = (value: string): Series => {
    const known = all.get(value)
    if (known) return known
    const fresh = { histogram: new Int32Histogram(1, MAX_UNITS, DIGITS), sumMs: 0 }
    all.set(value, fresh)
    return fresh
  }
  return {
    record: (ms, value = '') => {
      const target = series(value)
      target.sumMs += ms
      target.histogram.recordValue(Math.min(MAX_UNITS, Math.max(0, Math.round(ms * UNITS_PER_MS))))
    }
  }
}

/** Registers a metric of a type of its own; the registry needs only its name and `get`. */
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
