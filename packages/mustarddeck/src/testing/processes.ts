import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'
import * as toml from 'smol-toml'

const MAIN = url.fileURLToPath(new URL('../main.ts', import.meta.url))
const FAILURE_DOMAIN = 'khangai-a'
const KEY = 'key-of-the-links-in-tests'
export const TOKEN = 'token-of-operators-in-tests'

/** A mustarddeck command that runs as a child process. */
export interface Process {
  /** Waits for the first log line of the event and returns one of its fields. */
  field (event: string, name: string): Promise<string>
  /** Waits for the first log line of the event and returns its fields. */
  logged (event: string): Promise<Record<string, string>>
  /** Waits for the first line that matches and returns it. */
  line (pattern: RegExp): Promise<string>
  kill (signal: NodeJS.Signals): void
  /** Exit code, or the signal that ended the process. */
  exited: Promise<number | NodeJS.Signals>
  /** Standard output and standard error so far. */
  output (): string
}

/** Program and leading arguments that run mustarddeck from source. */
const SOURCE = [process.execPath, '--import', 'tsx', MAIN]

const FIELD = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)/g

const parseFields = (line: string): Record<string, string> => Object.fromEntries([...line.matchAll(FIELD)].map(
  ([, name, value]) => [name, value!.startsWith('"') ? JSON.parse(value!) as string : value!]))

/** Starts a command. `program` is the program and its leading arguments: the source or a built executable. */
export const run = (args: string[], program = SOURCE, environment: Record<string, string> = {}): Process => {
  const [command, ...programArgs] = program
  const child = childProcess.spawn(command!, [...programArgs, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...environment }
  })
  const lines: string[] = []
  const pendingChecks = new Set<() => void>()
  const addLine = (line: string): void => {
    lines.push(line)
    for (const check of pendingChecks) check()
  }
  for (const stream of [child.stdout, child.stderr]) readline.createInterface(stream).on('line', addLine)
  const exited = new Promise<number | NodeJS.Signals>((resolve) => {
    child.once('close', (code, signal) => resolve(code ?? signal!))
  })
  /** Waits for the first line for which `select` returns a value; rejects if the process exits without one. */
  const waitForLine = <Value>(description: string, select: (line: string) => Value | undefined): Promise<Value> =>
    new Promise((resolve, reject) => {
      const check = (): void => {
        for (const line of lines) {
          const value = select(line)
          if (value === undefined) continue
          pendingChecks.delete(check)
          return resolve(value)
        }
      }
      pendingChecks.add(check)
      exited.then(() => reject(new Error(`no ${description} in:\n${lines.join('\n')}`)))
      check()
    })
  const logged = (event: string): Promise<Record<string, string>> => waitForLine(`event ${event}`, (line) => {
    const fields = parseFields(line)
    return fields['event'] === event ? fields : undefined
  })
  return {
    logged,
    line: (pattern) => waitForLine(String(pattern), (line) => pattern.test(line) ? line : undefined),
    field: async (event, name) => (await logged(event))[name]!,
    kill: (signal) => { child.kill(signal) },
    exited,
    output: () => lines.join('\n')
  }
}

export interface EntryProcess {
  process: Process
  url: string
  /** Address that the entry listens on for links. */
  address: string
}

/** Processes of a deployment on loopback with free ports; `stop` kills all of them. */
export interface Deployment {
  start (role: string[], settings: object): Process
  processes (): Process[]
  startPlatform (): Promise<string>
  startBackend (run?: object): Promise<string>
  startEntry (name: string, entries: string[], limits?: object): Promise<EntryProcess>
  /** Waits until the entry has a configuration and at least `agents` registered agents. */
  ready (entry: EntryProcess, agents: number): Promise<void>
  startAgent (worker: string, entries: string[], backend: string): Promise<Process>
  stop (): Promise<void>
}

export const deploy = (program = SOURCE): Deployment => {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'mustarddeck-'))
  const processes: Process[] = []
  let platform = ''

  const start = (role: string[], settings: object): Process => {
    const file = path.join(directory, `${processes.length}.toml`)
    fs.writeFileSync(file, toml.stringify(settings))
    const started = run([...role, '--settings', file], program)
    processes.push(started)
    return started
  }
  return {
    start,
    processes: () => processes,
    startPlatform: async () => {
      const started = start(['platform', 'stand-in'], {})
      platform = `http://${await started.field('platform-stand-in-started', 'address')}`
      return platform
    },
    startBackend: async (run = {}) => {
      const started = start(['backend', 'stand-in'], { run })
      return `http://${await started.field('backend-stand-in-started', 'address')}`
    },
    startEntry: async (name, entries, limits = {}) => {
      const process = start(['entry'], {
        name,
        failureDomain: FAILURE_DOMAIN,
        links: { entries, key: KEY },
        platform: { url: platform },
        operators: { token: TOKEN },
        limits
      })
      const { http, links } = await process.logged('entry-started')
      return { process, url: `http://${http}`, address: links! }
    },
    ready: async ({ url, process }, agents) => {
      await process.logged('configuration')
      const headers = { authorization: `Bearer ${TOKEN}` }
      for (let registered = 0; registered < agents;) {
        const response = await fetch(`${url}/v1/operator/status`, { headers })
        const state = await response.json() as { agents: { registered: boolean }[] }
        registered = state.agents.filter((agent) => agent.registered).length
      }
    },
    startAgent: async (worker, entries, backend) => {
      const process = start(['agent'], {
        worker,
        failureDomain: FAILURE_DOMAIN,
        slots: 8,
        resources: { cores: 16, memoryMb: 32768 },
        backend: { url: `${backend}/run` },
        links: { entries, key: KEY },
        platform: { url: platform }
      })
      await process.logged('agent-started')
      return process
    },
    stop: async () => {
      for (const started of processes) {
        // Resumes a process that a test paused, since it receives no other signal until then.
        started.kill('SIGCONT')
        started.kill('SIGKILL')
        await started.exited
      }
      fs.rmSync(directory, { recursive: true })
    }
  }
}
