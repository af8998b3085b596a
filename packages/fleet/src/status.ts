import type * as clocks from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import type * as runs from '@mustarddeck/runs'
import type * as stores from './store.ts'
import * as workerRows from './worker-row.ts'

export interface Options {
  store: stores.Store
  clock: clocks.Clock
  /** Returns the metrics text of the process on the host, or undefined if it doesn't respond. */
  metricsOf (host: string): Promise<string | undefined>
}

/** Status of a process. `values` holds its metrics without labels by name, or undefined if it didn't respond. */
export interface ProcessStatus {
  role: 'entry' | 'agent'
  host: string
  values: Map<string, number> | undefined
}

/** A worker as its agent stored it; undefined if the row is malformed. */
export interface WorkerStatus {
  agent: string
  worker: runs.Worker | undefined
}

export interface Status {
  processes: ProcessStatus[]
  workers: WorkerStatus[]
}

const SAMPLE = /^([a-z_]+) (\S+)$/gm

const parseMetrics = (text: string): Map<string, number> =>
  new Map([...text.matchAll(SAMPLE)].map(([, name, value]) => [name!, Number(value)]))

/** Lists the processes in the store and queries each of them. */
export const collect = async (
  { store, clock, metricsOf }: Options
): Promise<errors.Result<Status, stores.StoreError>> => {
  const [entries, workers] = await Promise.all([store.rows('entries'), store.rows('workers')])
  if (entries.kind === 'error') return entries
  if (workers.kind === 'error') return workers
  const ask = async (role: 'entry' | 'agent', host: string): Promise<ProcessStatus> => {
    const text = await metricsOf(host)
    return { role, host, values: text === undefined ? undefined : parseMetrics(text) }
  }
  const processes = await Promise.all([
    ...entries.value.map(({ value }) => ask('entry', value.split(':')[0]!)),
    ...workers.value.map(({ key }) => ask('agent', key))
  ])
  const nowMs = clock.now().getTime()
  const workerStatuses = workers.value.map(({ key, value }) => ({ agent: key, worker: workerRows.parse(value, nowMs) }))
  return errors.ok({ processes, workers: workerStatuses })
}
