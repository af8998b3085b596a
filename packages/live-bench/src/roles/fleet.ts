import * as agentCore from '@mustarddeck/agent-core'
import * as clock from '@mustarddeck/clock'
import * as link from '@mustarddeck/link'
import * as logs from '@mustarddeck/log'
import type * as messages from '@mustarddeck/messages'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as settings from '../settings.ts'
import type * as roles from './roles.ts'

const timers = clock.createSystem()

const startFleetAgent = ({ entry, slots, runMs }: roles.FleetRole, number: number): void => {
  const worker = `worker-${number}` as types.WorkerName
  const incarnation = `fleet${number}agent` as types.Incarnation
  const core = agentCore.create({
    settings: {
      worker,
      incarnation,
      slots,
      resources: settings.RESOURCES,
      maxBytes: 100_000_000,
      orphanAfterMs: 900_000,
      orphanRetentionMs: 600_000,
      leaveGraceMs: 1000
    }
  })
  const hello: messages.Hello = {
    kind: 'hello',
    version: 1,
    role: 'agent',
    name: worker,
    incarnation,
    failureDomain: settings.FAILURE_DOMAIN as types.FailureDomainName,
    registered: false,
    slots,
    resources: settings.RESOURCES,
    configuration: 0
  }
  const execute = ({ job, index, payload }: messages.Start): void => {
    const execution: agentCore.Execution = { kind: 'finished', result: payload, runMs }
    timers.after(runMs, () => handle({ kind: 'executed', job, index, execution }))
  }
  const handle = (input: agentCore.Input): void => {
    for (const effect of core.handle(input, timers.monotonic())) {
      if (effect.kind === 'send') links.send(effect.link, effect.message)
      else if (effect.kind === 'execute') execute(effect.start)
    }
  }
  const links = link.create({
    key: settings.KEY,
    hello: () => hello,
    heartbeat: () => ({ kind: 'heartbeat', configuration: 0 }),
    handler: {
      up: (id, peer) => handle({ kind: 'link-up', link: id, hello: peer }),
      message: (id, message) => handle({ kind: 'message', link: id, message }),
      down: (id) => handle({ kind: 'link-down', link: id })
    },
    log: logs.create({ level: 'error', destination: { write: () => undefined } }),
    timers,
    random: randoms.create(number)
  })
  links.dial(entry)
}

export const start = async (given: roles.FleetRole): Promise<Record<string, string>> => {
  for (let number = given.first; number < given.first + given.agents; number++) startFleetAgent(given, number)
  return {}
}
