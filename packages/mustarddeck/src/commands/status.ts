import * as exitCode from '../exit-code.ts'
import * as output from '../output.ts'
import * as target from '../target.ts'
import type * as commands from './command.ts'

interface Options {
  entry: string[]
  tokenFile?: string
  json: boolean
}

const run = async ({ entry, tokenFile, json }: Options): Promise<number> => {
  const token = target.readToken(tokenFile)
  if (token === undefined) {
    output.printError('give the operator token with --token-file or MUSTARDDECK_TOKEN')
    return exitCode.USAGE
  }
  const operator = await import('../operator.ts')
  const results = await Promise.all(entry.map(async (url) => ({ url, result: await operator.status(url, token) })))
  const states = results.flatMap(({ result }) => result.kind === 'ok' ? [result.value] : [])
  for (const { url, result } of results) {
    if (result.kind === 'error') output.printError(`${url}: ${result.error}`)
  }
  if (json) output.print(JSON.stringify(states, undefined, 2))
  else {
    const table = await import('../status-table.ts')
    output.print(table.format(states))
  }
  return states.length === results.length ? exitCode.OK : exitCode.FAILED
}

export const command: commands.Command<Options> = {
  command: 'status',
  describe: 'Show entries, agents, queues, refusals and configuration versions',
  builder: (parser) => target.withToken(parser).option('json', {
    type: 'boolean', default: false, describe: 'Print JSON'
  }) as never,
  run
}
