import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'
import * as toml from 'smol-toml'

const MAIN = url.fileURLToPath(new URL('../main.ts', import.meta.url))
const KEY = 'key-of-the-links-in-tests'
export const TOKEN = 'token-of-operators-in-tests'

/** A command of mustarddeck in a process of its own. */
export interface Process {
  /** Value of a field of the first log line of that event; waits for the line. */
  field (event: string, name: string): Promise<string>
  /** Settles when a log line of that event has been written. */
  logged (event: string): Promise<Record<string, string>>
  kill (signal: NodeJS.Signals): void
  /** Exit code, or the signal that ended the process. */
  exited: Promise<number | NodeJS.Signals>
  /** Everything written so far. */
  output (): string
}

/** How to start mustarddeck; the source unless the environment names a built executable. */
const program = (): string[] => {
  const binary = process.env['MUSTARDDECK_BINARY']
  return binary === undefined ? [process.execPath, '--import', 'tsx', MAIN] : [binary]
}

const FIELD = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)/g

const parse = (line: string): Record<string, string> => Object.fromEntries([...line.matchAll(FIELD)].map(
  ([, name, value]) => [name, value!.startsWith('"') ? JSON.parse(value!) as string : value!]))

export const run = (args: string[]): Process => {
  const [command, ...first] = program()
  const child = childProcess.spawn(command!, [...first, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
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
  const logged = (event: string): Promise<Record<string, string>> => new Promise((resolve, reject) => {
    const check = (): void => {
      const line = lines.map(parse).find((fields) => fields['event'] === event)
      if (!line) return
      waiting.delete(check)
      resolve(line)
    }
    waiting.add(check)
    exited.then(() => reject(new Error(`no event ${event} in:\n${lines.join('\n')}`)))
    check()
  })
  return {
    logged,
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

export const deploy = (failureDomain = 'khangai-a'): Deployment => {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'mustarddeck-'))
  const processes: Process[] = []
  let platform = ''

  const start = (role: string[], settings: object): Process => {
    const file = path.join(directory, `${processes.length}.toml`)
    fs.writeFileSync(file, toml.stringify(settings))
    const started = run([...role, '--settings', file])
    processes.push(started)
    return started
  }
  return {
    start,
    processes: () => processes,
    startPlatform: async () => {
      platform = await start(['platform', 'stand-in'], {}).field('started', 'http')
      return platform
    },
    startBackend: (run = {}) => start(['backend', 'stand-in'], { run }).field('started', 'http'),
    startEntry: async (name, entries) => {
      const process = start(['entry'], {
        name, failureDomain, links: { entries, key: KEY }, platform: { url: platform }, operators: { token: TOKEN }
      })
      const { http, links } = await process.logged('started')
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
        failureDomain,
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
