import type * as metrics from '@mustarddeck/metrics'
import * as http from 'node:http'

export interface Counter {
  help: string
  /** Name of the label by which its series are kept apart. */
  label: string
}
export interface Gauge {
  help: string
  read (): number
}
export interface Described<Name extends string> {
  counters: Record<Name, Counter>
  gauges: Record<string, Gauge>
  /** Histogram of times; those before the first export are not in it. */
  times: Counter & { name: string }
  /** Lines that were left out of the log, by event. */
  leftOutLines (): ReadonlyMap<string, number>
}

/** What a process counts from its start. */
export interface Measurements<Name extends string> {
  count (counter: Name, label: string): void
  time (ms: number, label: string): void
  /** All values in the Prometheus text format. */
  export (): Promise<{ contentType: string, text: string }>
}

export const create = <Name extends string>(described: Described<Name>): Measurements<Name> => {
  const counts = new Map<Name, Map<string, number>>()
  let registry: metrics.Metrics | undefined
  let times: metrics.ResponseTimes | undefined

  const samples = (series: ReadonlyMap<string, number> | undefined, label: string): metrics.Sample[] =>
    [...series ?? []].map(([value, count]) => ({ labels: { [label]: value }, value: count }))
  // The exporter is loaded when someone asks for it: the start of a process is waited for.
  const load = async (): Promise<metrics.Metrics> => {
    const exporter = await import('@mustarddeck/metrics')
    const created = exporter.create()
    for (const [name, { help, label }] of Object.entries(described.counters) as Array<[Name, Counter]>) {
      created.read('counter', name, help, () => samples(counts.get(name), label))
    }
    created.read('counter', 'mustarddeck_log_lines_left_out_total', 'Lines left out of the log to bound it, by event',
      () => samples(described.leftOutLines(), 'event'))
    for (const [name, { help, read }] of Object.entries(described.gauges)) created.read('gauge', name, help, read)
    const { name, help, label } = described.times
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

/** Serves the values at `/metrics`. */
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
