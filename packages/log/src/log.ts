import logfmt from 'logfmt'
import * as pino from 'pino'
import * as budgets from './budget.ts'
import type * as log from './interface.ts'

export type Level = 'debug' | 'info' | 'warn' | 'error'

/** Where complete lines go. */
export interface Destination {
  write (line: string): void
}

export interface Settings {
  level: Level
  /** Fields of every line, such as the role and the name of the process. */
  fields?: Record<string, log.Field>
  /** Keys and tokens in use. They are cut from every value, whatever the name of its field. */
  secrets?: string[]
  /** Standard output by default. */
  destination?: Destination
  /** Lines beyond it are left out and counted, routine ones first; no bound by default. */
  budget?: budgets.Budget
}

const CENSOR = '[redacted]'
/** Fields whose value is never written. */
const SECRET_FIELDS = ['key', 'sharedKey', 'token', 'operatorToken', 'authorization', 'secret', 'password']
/** Longest value in characters; a longer one is cut, so that a caller's input cannot fill the log. */
const MAX_VALUE_LENGTH = 500
/** Bytes of lines that wait for a reader of standard output; further ones are dropped. */
const MAX_BUFFERED_BYTES = 4 * 2 ** 20
/** Bytes of lines that leave in one write; each write costs system calls and a turn of another thread. */
const WRITE_BYTES = 4096
/** Time in ms after which fewer bytes are written too; a process that is killed loses the lines of that time. */
const WRITE_INTERVAL_MS = 100

// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g
const escape = (character: string): string => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`

let output: Destination | undefined

/**
 * Writes whole lines to standard output, many at a time, without waiting for its reader. What is still buffered is
 * written when the process exits; a reader that stops for long loses lines.
 */
const createOutput = (): Destination => {
  const stream = pino.destination({ dest: 1, sync: false, maxLength: MAX_BUFFERED_BYTES, minLength: WRITE_BYTES })
  let scheduled = false
  const flush = (): void => {
    scheduled = false
    stream.flush()
  }
  process.once('exit', () => stream.flushSync())
  return {
    write: (line) => {
      stream.write(line)
      if (scheduled) return
      scheduled = true
      setTimeout(flush, WRITE_INTERVAL_MS).unref()
    }
  }
}

/** logfmt leaves control characters as they are; a line feed in a value would forge another line. */
const clean = (value: unknown): unknown => typeof value === 'string'
  ? value.slice(0, MAX_VALUE_LENGTH).replace(CONTROL_CHARACTERS, escape)
  : value

/** Creates a log on pino whose lines are in logfmt. Everything runs on the calling thread. */
export const create = (settings: Settings): log.Log => {
  const destination = settings.destination ?? (output ??= createOutput())
  const secrets = (settings.secrets ?? []).filter((secret) => secret !== '')

  const format = (json: string): void => {
    const fields = JSON.parse(json) as Record<string, unknown>
    for (const [name, value] of Object.entries(fields)) fields[name] = clean(value)
    const line = `${logfmt.stringify(fields)}\n`
    settings.budget?.spend(line.length)
    destination.write(line)
  }
  const redact = (value: log.Field): log.Field => typeof value === 'string'
    ? secrets.reduce((text, secret) => text.replaceAll(secret, CENSOR), value)
    : value
  const redactAll = (fields: Record<string, log.Field>): Record<string, log.Field> => secrets.length === 0
    ? fields
    : Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, redact(value)]))

  const mayWrite = (level: Level, event: string): boolean => {
    const { budget } = settings
    if (!budget) return true
    const leftOut = budget.takeLeftOut()
    if (leftOut && budget.allows('lines-left-out', false)) {
      base.warn({ event: 'lines-left-out', ...Object.fromEntries(leftOut) })
    }
    return budget.allows(event, level === 'info' || level === 'debug')
  }
  const wrap = (logger: pino.Logger): log.Log => {
    const write = (level: Level) => (event: string, fields: Record<string, log.Field> = {}): void => {
      if (!logger.isLevelEnabled(level) || !mayWrite(level, event)) return
      logger[level](redactAll({ event, ...fields }))
    }
    return {
      debug: write('debug'),
      info: write('info'),
      warn: write('warn'),
      error: write('error'),
      with: (fields) => wrap(logger.child(redactAll(fields)))
    }
  }
  const options: pino.LoggerOptions = {
    level: settings.level,
    base: null,
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (level) => ({ level }) },
    redact: { paths: SECRET_FIELDS, censor: CENSOR }
  }
  const base = pino.pino(options, { write: format }).child(redactAll(settings.fields ?? {}))
  return wrap(base)
}
