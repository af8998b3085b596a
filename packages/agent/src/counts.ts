import type * as agentCore from '@mustarddeck/agent-core'
import type * as metrics from '@mustarddeck/metrics'
import type * as lives from './life.ts'

/** Metrics of an agent. The library behind them is loaded with the first export, so that no memory is held before. */
export interface Counts {
  ended (execution: agentCore.Execution): void
  export (): Promise<{ contentType: string, text: string }>
}

const messageSamples = ({ links }: lives.Status): metrics.Sample[] =>
  (['sent', 'received'] as const).flatMap((direction) => [...links[direction].messages].map(([kind, value]) => ({
    labels: { direction, kind }, value
  })))

const trafficSamples = ({ links }: lives.Status, unit: 'frames' | 'bytes'): metrics.Sample[] =>
  (['sent', 'received'] as const).map((direction) => ({ labels: { direction }, value: links[direction][unit] }))

export const create = (status: () => lives.Status): Counts => {
  const ends = new Map<agentCore.Execution['kind'], number>()
  let runTimes: metrics.ResponseTimes | undefined
  let registry: Promise<metrics.Metrics> | undefined

  const load = async (): Promise<metrics.Metrics> => {
    const library = await import('@mustarddeck/metrics')
    const created = library.create()
    const { read } = created
    read('gauge', 'mustarddeck_links', 'Links that are up', () => status().links.links)
    read('counter', 'mustarddeck_link_messages_total', 'Messages on links', () => messageSamples(status()))
    read('counter', 'mustarddeck_link_frames_total', 'Frames on links', () => trafficSamples(status(), 'frames'))
    read('counter', 'mustarddeck_link_bytes_total', 'Payload bytes on links', () => trafficSamples(status(), 'bytes'))
    read('gauge', 'mustarddeck_agent_registered', '1 when the agent is registered', () => Number(status().registered))
    read('gauge', 'mustarddeck_agent_running_tasks', 'Tasks that run now', () => status().running)
    read('gauge', 'mustarddeck_agent_record_bytes', 'Bytes of start records and outcomes', () => status().recordBytes)
    read('counter', 'mustarddeck_agent_calls_total', 'Ended calls to the backend server',
      () => [...ends].map(([end, value]) => ({ labels: { end }, value })))
    runTimes = created.responseTimes('mustarddeck_agent_run', 'Run time of tasks since the first export', 'end')
    return created
  }
  return {
    ended: (execution) => {
      ends.set(execution.kind, (ends.get(execution.kind) ?? 0) + 1)
      if (execution.kind !== 'not-started') runTimes?.record(execution.runMs, execution.kind)
    },
    export: async () => {
      registry ??= load()
      return (await registry).export()
    }
  }
}
