import yargs from 'yargs'
import * as commands from './commands/index.ts'
import * as exitCode from './exit-code.ts'
import * as output from './output.ts'

/** Thrown by the parser on invalid usage, so that no command handler runs. */
class UsageError extends Error {}

/** Parses the arguments, runs the command and returns its exit code. */
export const run = async (args: string[]): Promise<number> => {
  let code = exitCode.OK
  const parser = yargs(args)
    .scriptName('mustarddeck')
    .usage('$0 <command>\n\nDispatcher for short tasks whose callers wait for the result.')
    .parserConfiguration({ 'duplicate-arguments-array': true })
    .wrap(null)
    .strict()
    .demandCommand(1, 'name a command')
    .completion('completion', 'Print a completion script for the shell')
    .help()
    .version(false)
    .exitProcess(false)
    .fail((message, error) => { throw error ?? new UsageError(message) })
  for (const command of commands.all((result) => { code = result })) parser.command(command)
  try {
    await parser.parseAsync()
    return code
  } catch (failure) {
    if (!(failure instanceof UsageError)) throw failure
    output.printError(`${failure.message}\nmustarddeck --help lists the commands and options`)
    return exitCode.USAGE
  }
}
