import * as fs from 'node:fs'
import * as exitCode from '../exit-code.ts'
import * as output from '../output.ts'
import * as target from '../target.ts'
import type * as commands from './command.ts'

interface Options {
  entry: string[]
  team?: string
  type?: string
  task?: string[]
  file?: string
  idempotent?: boolean
  maxWaitMs?: number
  deadlineMs: number
  retryRefused: boolean
}

interface Job {
  team: string
  type: string
  tasks: { name: string, payload: unknown }[]
  idempotent?: boolean
  maxWaitMs?: number
}

const DEADLINE_MS = 120_000

/** Splits `name=JSON`. */
const parseTask = (text: string): Job['tasks'][number] => {
  const at = text.indexOf('=')
  if (at < 1) throw new SyntaxError(`a task is given as NAME=JSON, not ${JSON.stringify(text)}`)
  return { name: text.slice(0, at), payload: JSON.parse(text.slice(at + 1)) as unknown }
}

const STANDARD_INPUT = 0

/** The job of the file, or the one that the options describe; options take precedence. */
const readJob = (options: Options): Job => {
  const { file, team, type, task, idempotent, maxWaitMs } = options
  const base = file === undefined ? {} : JSON.parse(fs.readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8')) as Job
  const given = { team, type, tasks: task?.map(parseTask), idempotent, maxWaitMs }
  const defined = Object.entries(given).filter(([, value]) => value !== undefined)
  return { ...base, ...Object.fromEntries(defined) } as Job
}

const run = async (options: Options): Promise<number> => {
  let job: Job
  try {
    job = readJob(options)
  } catch (failure) {
    output.printError((failure as Error).message)
    return exitCode.USAGE
  }
  const caller = await import('../caller.ts')
  const client = caller.create(options.entry)
  const result = await client.submit(job, { deadlineMs: options.deadlineMs, retryRefused: options.retryRefused })
  client.close()
  return caller.report(result)
}

export const command: commands.Command<Options> = {
  command: 'submit',
  describe: 'Submit a job and wait for its outcome',
  builder: (parser) => target.withEntries(parser).options({
    team: { type: 'string', requiresArg: true, describe: 'Team of the job' },
    type: { type: 'string', requiresArg: true, describe: 'Task type of all tasks' },
    task: { type: 'string', array: true, requiresArg: true, describe: 'Task as NAME=JSON; may be given several times' },
    file: { type: 'string', requiresArg: true, describe: 'Job in JSON; - reads standard input' },
    idempotent: { type: 'boolean', describe: 'The tasks may be run again safely' },
    'max-wait-ms': { type: 'number', requiresArg: true, describe: 'Longest time in the queue' },
    'deadline-ms': {
      type: 'number', requiresArg: true, default: DEADLINE_MS, describe: 'Time after which to give up waiting'
    },
    'retry-refused': { type: 'boolean', default: false, describe: 'Submit again after a refusal for load' }
  }) as never,
  run
}
