import yargs from 'yargs'
import * as commands from './commands/index.ts'
import * as exitCode from './exit-code.ts'
import * as output from './output.ts'

/** Result of a command's handler. */
export type Handler<Arguments> = (args: Arguments) => Promise<number>

/** Runs one command line and returns its exit code. */
export const run = async (args: string[]): Promise<number> => {
  let code = exitCode.OK
  let failed = false
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
    .fail((message, error) => {
      if (failed) return
      failed = true
      if (error) throw error
      output.printError(`${message}\nmustarddeck --help lists the commands and options`)
      code = exitCode.USAGE
    })
  for (const command of commands.all((result) => { code = result })) parser.command(command)
  await parser.parseAsync()
  return code
}
