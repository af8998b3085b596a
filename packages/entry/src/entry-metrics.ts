import * as metrics from '@mustarddeck/metrics'
import type * as core from '@mustarddeck/entry-core'
import type * as link from '@mustarddeck/link'
import type * as requests from './requests.ts'

/** Metrics of an entry process. */
export interface EntryMetrics {
  /** Counts a `not-run` answer. */
  countRefusal: (reason: string) => void
  refusals: () => Record<string, number>
  recordResponse: (route: string, status: number, durationMs: number) => void
  /** Returns the metrics in the Prometheus text format. */
  export: () => Promise<string>
}

export const create = ({ core, links, requests }: {
  core: core.EntryCore
  links: Pick<link.Links, 'counts'>
  requests: Pick<requests.Requests, 'openCount'>
}): EntryMetrics => {
  const registry = metrics.create()
  const refusals = new Map<string, number>()
  const responseCounter = registry.counter('mustarddeck_http_responses_total', 'HTTP responses', ['route', 'status'])
  const responseTimes = registry.responseTimes('mustarddeck_http_response', 'Time from request to response', 'route')
  const gauges: [string, string, () => number][] = [
    ['mustarddeck_open_requests', 'Callers\' requests without an answer', () => requests.openCount()],
    ['mustarddeck_jobs', 'Jobs without a final outcome', () => core.status().jobs],
    ['mustarddeck_waiting_tasks', 'Tasks that wait for a slot', () => core.status().waitingTasks],
    ['mustarddeck_running_tasks', 'Tasks in progress', () => core.status().runningTasks],
    ['mustarddeck_held_bytes', 'Approximate bytes of jobs, outcomes and blocks', () => core.status().bytes],
    ['mustarddeck_linked_agents', 'Agents with a link', () => core.status().agents],
    ['mustarddeck_linked_entries', 'Other entries with a link', () => core.status().entries]
  ]
  for (const [name, help, read] of gauges) registry.read('gauge', name, help, read)
  for (const state of ['waiting', 'running'] as const) {
    registry.read('gauge', `mustarddeck_type_${state}_tasks`, `Tasks by type that are ${state}`, () =>
      core.status().backlog.map((queue) => ({ labels: { type: queue.type }, value: queue[state] })))
  }
  registry.read('counter', 'mustarddeck_refusals_total', 'Answers that nothing was run, by reason', () =>
    [...refusals].map(([reason, value]) => ({ labels: { reason }, value })))
  for (const direction of ['sent', 'received'] as const) {
    registry.read('counter', `mustarddeck_messages_${direction}_total`, `Messages ${direction}, by kind`, () =>
      [...links.counts()[direction].messages].map(([kind, value]) => ({ labels: { kind }, value })))
    registry.read('counter', `mustarddeck_link_bytes_${direction}_total`, `Bytes of messages ${direction}`, () =>
      links.counts()[direction].bytes)
  }
  return {
    countRefusal: (reason) => { refusals.set(reason, (refusals.get(reason) ?? 0) + 1) },
    refusals: () => Object.fromEntries(refusals),
    recordResponse: (route, status, durationMs) => {
      responseCounter.add({ route, status })
      responseTimes.record(durationMs, route)
    },
    export: async () => (await registry.export()).text
  }
}
