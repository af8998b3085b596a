import * as types from '@mustarddeck/types'
import * as exitCode from '../exit-code.ts'
import * as output from '../output.ts'
import * as target from '../target.ts'
import type * as commands from './command.ts'

interface Options {
  entry: string[]
  job: string
}

export const command: commands.Command<Options> = {
  command: 'cancel <job>',
  describe: 'Cancel a job and wait for its outcome',
  builder: (parser) => target.withEntries(parser).positional('job', {
    type: 'string', demandOption: true, describe: 'Id of the job'
  }) as never,
  run: async ({ entry, job }) => {
    if (!types.parseJobId(job)) {
      output.printError(`${JSON.stringify(job)} is not a job id`)
      return exitCode.USAGE
    }
    const caller = await import('../caller.ts')
    const client = caller.create(entry)
    const result = await client.cancel(job as types.JobId)
    client.close()
    return caller.report(result, 'cancelled')
  }
}
