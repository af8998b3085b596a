import * as agents from '@mustarddeck/agent'
import * as settings from '../settings.ts'
import type * as roles from './roles.ts'

export const start = async (given: roles.AgentRole): Promise<Record<string, string>> => {
  const { platform: url, entries, slots, backend, worker = 'worker-1' } = given
  const agent = await agents.start(settings.complete('agent', {
    worker,
    failureDomain: settings.FAILURE_DOMAIN,
    slots,
    resources: settings.RESOURCES,
    backend: { url: `${backend}/run`, connections: 64 },
    links: { entries, key: settings.KEY },
    platform: { url },
    log: { level: 'error' }
  }))
  return { address: agent.address }
}
