import type * as yargs from 'yargs'
import * as agent from './agent.ts'
import * as backendStandIn from './backend-stand-in.ts'
import * as cancel from './cancel.ts'
import * as command from './command.ts'
import * as configuration from './configuration/index.ts'
import * as drain from './drain.ts'
import * as entry from './entry.ts'
import * as local from './local.ts'
import * as platformStandIn from './platform-stand-in.ts'
import * as status from './status.ts'
import * as submit from './submit.ts'

/** All commands as modules for yargs. */
export const all = (finish: command.Finish): yargs.CommandModule[] => [
  command.toModule(entry.command, finish),
  command.toModule(agent.command, finish),
  {
    command: 'platform <part>',
    describe: 'Stand-in for the platform',
    builder: (parser) => parser.command(command.toModule(platformStandIn.command, finish)),
    handler: () => {}
  },
  {
    command: 'backend <part>',
    describe: 'Stand-in for a backend server',
    builder: (parser) => parser.command(command.toModule(backendStandIn.command, finish)),
    handler: () => {}
  },
  command.toModule(local.command, finish),
  command.toModule(submit.command, finish),
  command.toModule(cancel.command, finish),
  command.toModule(status.command, finish),
  command.toModule(drain.command, finish),
  ...configuration.all(finish)
]
