import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import type * as callers from './callers.ts'
import type * as roles from './roles/roles.ts'

/** Made by the script that starts the benchmark. */
const BUNDLE = 'out/live-bench/child.cjs'
/** Unit of processor time in the kernel's process statistics, in ms. */
const TICK_MS = 10
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12

/** A part of the deployment in a process of its own. */
export interface Child<Answer> {
  answer: Answer
  /** Processor time used so far in ms. */
  processorMs (): number
  /** Memory in MB: anonymous, and all that is resident. */
  memory (): { anonymousMb: number, residentMb: number }
  stop (): void
}

const field = (status: string, name: string): number => Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(status)?.[1]) / 1024

/** Memory in MB of a process: anonymous, and all that is resident. */
export const memoryOf = (pid: number): { anonymousMb: number, residentMb: number } => {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  return { anonymousMb: field(status, 'RssAnon'), residentMb: field(status, 'VmRSS') }
}

const spawn = async <Answer>(given: roles.Role | callers.Load): Promise<Child<Answer>> => {
  const child = childProcess.fork(BUNDLE, { execArgv: [] })
  const { pid } = child
  const answered = new Promise<Answer>((resolve, reject) => {
    child.once('message', (answer) => resolve(answer as Answer))
    child.once('exit', (code) => reject(new Error(`${given.role} ended with ${code}`)))
  })
  child.send(given)
  const answer = await answered
  return {
    answer,
    processorMs: () => {
      const statistics = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
      const fields = statistics.slice(statistics.lastIndexOf(')') + 2).split(' ')
      return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * TICK_MS
    },
    memory: () => memoryOf(pid!),
    stop: () => { child.kill('SIGKILL') }
  }
}

export const start = (given: roles.Role): Promise<Child<Record<string, string>>> => spawn(given)

export const call = async (load: callers.Load): Promise<callers.Result> => {
  const child = await spawn<callers.Result>(load)
  child.stop()
  return child.answer
}
