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

const DEFAULT_DEADLINE_MS = 120_000

/** Parses a task given as `NAME=JSON`; throws SyntaxError if it is malformed. */
const parseTask = (text: string): Job['tasks'][number] => {
  const separator = text.indexOf('=')
  if (separator < 1) throw new SyntaxError(`a task is given as NAME=JSON, not ${JSON.stringify(text)}`)
  return { name: text.slice(0, separator), payload: JSON.parse(text.slice(separator + 1)) as unknown }
}

const STDIN_FD = 0

/** Builds the job from the file and the options; options take precedence over the file. */
const readJob = (options: Options): Job => {
  const { file, team, type, task, idempotent, maxWaitMs } = options
  const base = file === undefined ? {} : JSON.parse(fs.readFileSync(file === '-' ? STDIN_FD : file, 'utf8')) as Job
  const jobOptions = { team, type, tasks: task?.map(parseTask), idempotent, maxWaitMs }
  const definedOptions = Object.entries(jobOptions).filter(([, value]) => value !== undefined)
  return { ...base, ...Object.fromEntries(definedOptions) } as Job
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
      type: 'number', requiresArg: true, default: DEFAULT_DEADLINE_MS, describe: 'Time after which to give up waiting'
    },
    'retry-refused': { type: 'boolean', default: false, describe: 'Submit again after a refusal for load' }
  }) as never,
  run
}
