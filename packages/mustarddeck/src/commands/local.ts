import * as output from '../output.ts'
import * as role from '../role.ts'
import type * as commands from './command.ts'

interface Options {
  sample: 'corkbook' | 'benchdesk'
  port: number
  logLevel: 'debug' | 'info' | 'warn' | 'error'
}

const run = async (options: Options): Promise<number> => {
  const samples = await import('../samples.ts')
  const deployments = await import('../deployment.ts')
  const sample = samples.load(options.sample)
  const deployment = await deployments.start({ ...options, sample })
  const [firstEntry] = deployment.entries
  const job = JSON.stringify(sample.job)
  output.print([
    ...deployment.entries.map(({ name, url }) => `${name}: ${url}`),
    `platform stand-in: ${deployment.platformUrl}`,
    ...deployment.backendUrls.map((url, index) => `backend stand-in of worker-${index + 1}: ${url}`),
    `operator token: ${deployment.token}`,
    '',
    'Submit a job:',
    `curl -sS -H 'content-type: application/json' -d '${job}' '${firstEntry!.url}/v1/jobs?waitMs=10000'`,
    '',
    'Ctrl-C stops everything.'
  ].join('\n'))
  return role.runUntilStopped(deployment)
}

export const command: commands.Command<Options> = {
  command: 'local',
  describe: 'Run a whole deployment with stand-ins in this process, on loopback',
  builder: (parser) => parser.options({
    sample: { choices: ['corkbook', 'benchdesk'], default: 'corkbook', describe: 'Sample declarations' },
    port: { type: 'number', requiresArg: true, default: 0, describe: 'First of the ports to use; 0 takes free ones' },
    'log-level': { choices: ['debug', 'info', 'warn', 'error'], default: 'warn', describe: 'Least level of log lines' }
  }) as never,
  run
}
