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

/** All commands as yargs command modules. */
export const all = (onExit: command.ExitCodeHandler): yargs.CommandModule[] => [
  command.toModule(entry.command, onExit),
  command.toModule(agent.command, onExit),
  {
    command: 'platform <part>',
    describe: 'Stand-in for the platform',
    builder: (parser) => parser.command(command.toModule(platformStandIn.command, onExit)),
    handler: () => {}
  },
  {
    command: 'backend <part>',
    describe: 'Stand-in for a backend server',
    builder: (parser) => parser.command(command.toModule(backendStandIn.command, onExit)),
    handler: () => {}
  },
  command.toModule(local.command, onExit),
  command.toModule(submit.command, onExit),
  command.toModule(cancel.command, onExit),
  command.toModule(status.command, onExit),
  command.toModule(drain.command, onExit),
  ...configuration.all(onExit)
]
