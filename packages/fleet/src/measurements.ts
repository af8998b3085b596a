import type * as metrics from '@mustarddeck/metrics'
import * as http from 'node:http'

export interface Counter {
  help: string
  /** Name of the label that distinguishes its series. */
  label: string
}
export interface Gauge {
  help: string
  read (): number
}
export interface Definition<Name extends string> {
  counters: Record<Name, Counter>
  gauges: Record<string, Gauge>
  /** Histogram of durations. Those recorded before the first export are dropped. */
  times: Counter & { name: string }
  /** Returns the number of log lines left out, by event. */
  leftOutLines (): ReadonlyMap<string, number>
}

/** Metrics of a process since its start. */
export interface Measurements<Name extends string> {
  count (counter: Name, label: string): void
  time (ms: number, label: string): void
  /** Returns all values in the Prometheus text format. */
  export (): Promise<{ contentType: string, text: string }>
}

export const create = <Name extends string>(definition: Definition<Name>): Measurements<Name> => {
  const counts = new Map<Name, Map<string, number>>()
  let registry: metrics.Metrics | undefined
  let times: metrics.ResponseTimes | undefined

  const samples = (series: ReadonlyMap<string, number> | undefined, label: string): metrics.Sample[] =>
    [...series ?? []].map(([value, count]) => ({ labels: { [label]: value }, value: count }))
  // The exporter is loaded at the first export, to keep the start of the process short.
  const load = async (): Promise<metrics.Metrics> => {
    const exporter = await import('@mustarddeck/metrics')
    const created = exporter.create()
    for (const [name, { help, label }] of Object.entries(definition.counters) as Array<[Name, Counter]>) {
      created.read('counter', name, help, () => samples(counts.get(name), label))
    }
    created.read('counter', 'mustarddeck_log_lines_left_out_total', 'Lines left out of the log to bound it, by event',
      () => samples(definition.leftOutLines(), 'event'))
    for (const [name, { help, read }] of Object.entries(definition.gauges)) created.read('gauge', name, help, read)
    const { name, help, label } = definition.times
    times = created.responseTimes(name, help, label)
    return created
  }
  return {
    count: (counter, label) => {
      const series = counts.get(counter) ?? new Map<string, number>()
      counts.set(counter, series)
      series.set(label, (series.get(label) ?? 0) + 1)
    },
    time: (ms, label) => times?.record(ms, label),
    export: async () => {
      registry ??= await load()
      return registry.export()
    }
  }
}

export interface Target {
  host: string
  port: number
}

/** Serves the metrics over HTTP at `/metrics`; rejects if the port can't be opened. */
export const serve = async ({ host, port }: Target, measured: Pick<Measurements<never>, 'export'>): Promise<http.Server> => {
  const server = http.createServer(async (request, response) => {
    if (request.method !== 'GET' || request.url !== '/metrics') {
      response.writeHead(404).end()
      return
    }
    const { contentType, text } = await measured.export()
    response.writeHead(200, { 'Content-Type': contentType }).end(text)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}
