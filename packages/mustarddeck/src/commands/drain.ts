import * as exitCode from '../exit-code.ts'
import * as output from '../output.ts'
import * as targets from '../target.ts'
import type * as commands from './command.ts'

interface Options {
  entry: string[]
  tokenFile?: string
  target: string
  policy: string
}

const run = async ({ entry, tokenFile, target, policy }: Options): Promise<number> => {
  const token = targets.readToken(tokenFile)
  if (token === undefined) {
    output.printError('give the operator token with --token-file or MUSTARDDECK_TOKEN')
    return exitCode.USAGE
  }
  const operator = await import('../operator.ts')
  const failures: string[] = []
  for (const url of entry) {
    const result = await operator.drain(url, token, target, policy)
    if (result.kind === 'ok') {
      output.print(`${target} drains`)
      return exitCode.OK
    }
    failures.push(`${url}: ${result.error}`)
  }
  output.printError(failures.join('\n'))
  return exitCode.FAILED
}

export const command: commands.Command<Options> = {
  command: 'drain <target>',
  describe: 'Stop a process gracefully',
  builder: (parser) => targets.withToken(parser)
    .positional('target', { type: 'string', demandOption: true, describe: 'Name of the process' })
    .option('policy', { type: 'string', requiresArg: true, demandOption: true, describe: 'Drain policy' }) as never,
  run
}
