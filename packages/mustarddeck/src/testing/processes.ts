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

/** A command of mustarddeck in a process of its own. */
export interface Process {
  /** Value of a field of the first log line of that event; waits for the line. */
  field (event: string, name: string): Promise<string>
  /** Settles when a log line of that event has been written. */
  logged (event: string): Promise<Record<string, string>>
  /** The first line that matches; waits for it. */
  line (pattern: RegExp): Promise<string>
  kill (signal: NodeJS.Signals): void
  /** Exit code, or the signal that ended the process. */
  exited: Promise<number | NodeJS.Signals>
  /** Everything written so far. */
  output (): string
}

/** Program and first arguments that run mustarddeck from its source. */
const SOURCE = [process.execPath, '--import', 'tsx', MAIN]

const FIELD = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)/g

const parse = (line: string): Record<string, string> => Object.fromEntries([...line.matchAll(FIELD)].map(
  ([, name, value]) => [name, value!.startsWith('"') ? JSON.parse(value!) as string : value!]))

/** `program` is the source, or a built executable. */
export const run = (args: string[], program = SOURCE, environment: Record<string, string> = {}): Process => {
  const [command, ...first] = program
  const child = childProcess.spawn(command!, [...first, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...environment }
  })
  const lines: string[] = []
  const waiting = new Set<() => void>()
  const note = (line: string): void => {
    lines.push(line)
    for (const check of waiting) check()
  }
  for (const stream of [child.stdout, child.stderr]) readline.createInterface(stream).on('line', note)
  const exited = new Promise<number | NodeJS.Signals>((resolve) => {
    child.once('close', (code, signal) => resolve(code ?? signal!))
  })
  /** The first line for which `select` gives a value. */
  const wait = <Value>(what: string, select: (line: string) => Value | undefined): Promise<Value> =>
    new Promise((resolve, reject) => {
      const check = (): void => {
        for (const line of lines) {
          const value = select(line)
          if (value === undefined) continue
          waiting.delete(check)
          return resolve(value)
        }
      }
      waiting.add(check)
      exited.then(() => reject(new Error(`no ${what} in:\n${lines.join('\n')}`)))
      check()
    })
  const logged = (event: string): Promise<Record<string, string>> => wait(`event ${event}`, (line) => {
    const fields = parse(line)
    return fields['event'] === event ? fields : undefined
  })
  return {
    logged,
    line: (pattern) => wait(String(pattern), (line) => pattern.test(line) ? line : undefined),
    field: async (event, name) => (await logged(event))[name]!,
    kill: (signal) => { child.kill(signal) },
    exited,
    output: () => lines.join('\n')
  }
}

/** Processes of one deployment on loopback with free ports; `stop` ends them all. */
export interface Deployment {
  start (role: string[], settings: object): Process
  processes (): Process[]
  startPlatform (): Promise<string>
  startBackend (run?: object): Promise<string>
  startEntry (name: string, entries: string[]): Promise<{ process: Process, url: string, address: string }>
  /** Waits until the entry has a configuration and that many registered agents. */
  ready (entry: { url: string, process: Process }, agents: number): Promise<void>
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
    startEntry: async (name, entries) => {
      const process = start(['entry'], {
        name,
        failureDomain: FAILURE_DOMAIN,
        links: { entries, key: KEY },
        platform: { url: platform },
        operators: { token: TOKEN }
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
      for (const one of processes) {
        // A process that a test paused receives no other signal before it continues.
        one.kill('SIGCONT')
        one.kill('SIGKILL')
        await one.exited
      }
      fs.rmSync(directory, { recursive: true })
    }
  }
}
