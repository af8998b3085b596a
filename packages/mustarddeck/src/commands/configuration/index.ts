import * as os from 'node:os'
import type * as yargs from 'yargs'
import * as command from '../command.ts'
import type * as apply from './apply.ts'
import type * as diff from './diff.ts'
import type * as history from './history.ts'
import * as options from './options.ts'
import * as reports from './report.ts'
import type * as show from './show.ts'

/** Time until a version is in force at all entries of a deployment of the target size, plus a margin. */
const DEFAULT_WAIT_LIMIT_MS = 30_000
const DEFAULT_HISTORY_LIMIT = 20

/** Containers often run under a user id without an account, for which the lookup throws. */
const userName = (): string => {
  try {
    return os.userInfo().username
  } catch {
    return 'unknown'
  }
}

const checkCommand: command.Command<options.Directory & options.Output> = {
  command: 'check <directory>',
  describe: 'Check declarations without publishing them',
  builder: (parser) => options.withJson(options.withDirectory(parser)),
  run: async (given) => reports.printReport(await (await import('./check.ts')).check(given), given.json)
}

const diffCommand: command.Command<diff.Options & options.Output> = {
  command: 'diff <directory>',
  describe: 'Show what publishing the declarations would change',
  builder: (parser) => options.withJson(options.withBase(options.withStore(options.withDirectory(parser)))),
  run: async (given) => reports.printReport(await (await import('./diff.ts')).diff(given), given.json)
}

const applyCommand: command.Command<apply.Options & options.Output> = {
  command: 'apply <directory>',
  describe: 'Check the declarations and publish them',
  builder: (parser) => options.withJson(options.withBase(options.withStore(options.withDirectory(parser)))).options({
    'dry-run': { type: 'boolean', default: false, describe: 'Only show what would change' },
    wait: { type: 'boolean', default: false, describe: 'Wait until the version is in force at the entries' },
    'wait-limit-ms': {
      type: 'number', requiresArg: true, default: DEFAULT_WAIT_LIMIT_MS, describe: 'Longest time to wait'
    },
    operator: {
      type: 'string',
      requiresArg: true,
      default: userName(),
      defaultDescription: 'name of the user',
      describe: 'Who publishes, for the history'
    },
    note: { type: 'string', requiresArg: true, describe: 'Reason, for the history' },
    entry: {
      type: 'string',
      array: true,
      requiresArg: true,
      default: process.env['MUSTARDDECK_ENTRY']?.split(','),
      defaultDescription: 'MUSTARDDECK_ENTRY',
      describe: 'With --wait: base URL of an entry; may be given several times'
    },
    'token-file': {
      type: 'string',
      requiresArg: true,
      describe: 'With --wait: file that holds the operator token; else MUSTARDDECK_TOKEN'
    }
  }) as never,
  run: async (given) => reports.printReport(await (await import('./apply.ts')).apply(given), given.json)
}

const historyCommand: command.Command<history.Options & options.Output> = {
  command: 'history',
  describe: 'List the latest published versions',
  builder: (parser) => options.withJson(options.withStore(parser)).option('limit', {
    type: 'number', requiresArg: true, default: DEFAULT_HISTORY_LIMIT, describe: 'Number of versions'
  }),
  run: async (given) => reports.printReport(await (await import('./history.ts')).history(given), given.json)
}

const showCommand: command.Command<show.Options & options.Output> = {
  command: 'show [object]',
  describe: 'Show the published objects, or one of them',
  builder: (parser) => options.withJson(options.withStore(parser))
    .positional('object', { type: 'string', describe: 'Object as kind/name' })
    .option('at', { type: 'number', requiresArg: true, describe: 'Version; default: the version in force' }),
  run: async (given) => reports.printReport(await (await import('./show.ts')).show(given), given.json)
}

/** Commands for declarations and published versions, as yargs command modules. */
export const all = (onExit: command.ExitCodeHandler): yargs.CommandModule[] => [
  command.toModule(checkCommand, onExit),
  command.toModule(diffCommand, onExit),
  command.toModule(applyCommand, onExit),
  command.toModule(historyCommand, onExit),
  command.toModule(showCommand, onExit)
]
