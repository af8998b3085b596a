import type * as agentCore from '@mustarddeck/agent-core'
import type * as metrics from '@mustarddeck/metrics'
import type * as lives from './incarnation.ts'

/** Metrics of an agent. The metrics library is loaded on the first export, to save memory until then. */
export interface AgentMetrics {
  recordExecution (execution: agentCore.Execution): void
  export (): Promise<{ contentType: string, text: string }>
}

const messageSamples = ({ links }: lives.Status): metrics.Sample[] =>
  (['sent', 'received'] as const).flatMap((direction) => [...links[direction].messages].map(([kind, value]) => ({
    labels: { direction, kind }, value
  })))

const trafficSamples = ({ links }: lives.Status, unit: 'frames' | 'bytes'): metrics.Sample[] =>
  (['sent', 'received'] as const).map((direction) => ({ labels: { direction }, value: links[direction][unit] }))

export const create = (readStatus: () => lives.Status): AgentMetrics => {
  const callsByEnd = new Map<agentCore.Execution['kind'], number>()
  let runTimes: metrics.ResponseTimes | undefined
  let registry: Promise<metrics.Metrics> | undefined

  const load = async (): Promise<metrics.Metrics> => {
    const library = await import('@mustarddeck/metrics')
    const created = library.create()
    const { read } = created
    read('gauge', 'mustarddeck_links', 'Links that are up', () => readStatus().links.links)
    read('counter', 'mustarddeck_link_messages_total', 'Messages on links', () => messageSamples(readStatus()))
    read('counter', 'mustarddeck_link_frames_total', 'Frames on links', () => trafficSamples(readStatus(), 'frames'))
    read('counter', 'mustarddeck_link_bytes_total', 'Payload bytes on links', () => trafficSamples(readStatus(), 'bytes'))
    read('gauge', 'mustarddeck_agent_registered', '1 when the agent is registered', () => Number(readStatus().registered))
    read('gauge', 'mustarddeck_agent_running_tasks', 'Tasks that run now', () => readStatus().running)
    read('gauge', 'mustarddeck_agent_record_bytes', 'Bytes of start records and outcomes', () => readStatus().recordBytes)
    read('counter', 'mustarddeck_agent_calls_total', 'Ended calls to the backend server',
      () => [...callsByEnd].map(([end, value]) => ({ labels: { end }, value })))
    runTimes = created.responseTimes('mustarddeck_agent_run', 'Run time of tasks since the first export', 'end')
    return created
  }
  return {
    recordExecution: (execution) => {
      callsByEnd.set(execution.kind, (callsByEnd.get(execution.kind) ?? 0) + 1)
      if (execution.kind !== 'not-started') runTimes?.record(execution.runMs, execution.kind)
    },
    export: async () => {
      registry ??= load()
      return (await registry).export()
    }
  }
}
