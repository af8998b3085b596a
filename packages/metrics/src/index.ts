import * as prometheus from 'prom-client'
import * as responseTimes from './response-times.ts'

export type Labels = Record<string, string | number>

export interface Sample {
  labels: Labels
  value: number
}

export interface Counter {
  add (labels?: Labels, by?: number): void
}

/** Metrics of one process. Names end in their unit, such as `_seconds` for times. */
export interface Metrics {
  counter (name: string, help: string, labelNames?: string[]): Counter
  /** Registers a counter or gauge whose values are read at each export. */
  read (type: 'counter' | 'gauge', name: string, help: string, read: () => number | Sample[]): void
  /** Registers response times. `label` is the name of the label that distinguishes the series, if there are several. */
  responseTimes (name: string, help: string, label?: string): responseTimes.ResponseTimes
  /** Returns all metrics in the Prometheus text format. */
  export (): Promise<{ contentType: string, text: string }>
}

const MICROSECONDS_PER_SECOND = 1_000_000

const addProcessMetrics = (metrics: Metrics): void => {
  metrics.read('counter', 'process_cpu_seconds_total', 'Processor time used by the process', () => {
    const { user, system } = process.cpuUsage()
    return (user + system) / MICROSECONDS_PER_SECOND
  })
  metrics.read('gauge', 'process_resident_memory_bytes', 'Resident memory of the process',
    () => process.memoryUsage.rss())
  metrics.read('gauge', 'nodejs_heap_size_used_bytes', 'Heap in use', () => process.memoryUsage().heapUsed)
}

export const create = (): Metrics => {
  const registry = new prometheus.Registry()
  const registers = [registry]

  const metrics: Metrics = {
    counter: (name, help, labelNames = []) => {
      const counter = new prometheus.Counter({ name, help, labelNames, registers })
      return { add: (labels = {}, increment = 1) => counter.inc(labels, increment) }
    },
    read: (type, name, help, read) => {
      const samples = (): Sample[] => {
        const result = read()
        return typeof result === 'number' ? [{ labels: {}, value: result }] : result
      }
      responseTimes.register(registry, name, help, type, () => samples().map((sample) => ({
        metricName: name, ...sample
      })))
    },
    responseTimes: (name, help, label) => responseTimes.create(registry, name, help, label),
    export: async () => ({ contentType: registry.contentType, text: await registry.metrics() })
  }
  addProcessMetrics(metrics)
  return metrics
}

export type { ResponseTimes } from './response-times.ts'
