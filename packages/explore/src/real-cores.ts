import * as agentCore from '@mustarddeck/agent-core'
import * as entryCore from '@mustarddeck/entry-core'
import * as placement from '@mustarddeck/placement'
import type * as runs from './run.ts'

/** The decision code as it is. */
export const realCores: runs.Cores = {
  agent: agentCore.create,
  entry: ({ settings, random }) =>
    entryCore.create({ settings, placement: placement.create({ random: random.fork() }), random })
}
