import logfmt from 'logfmt'
import * as pino from 'pino'
import * as budgets from './budget.ts'
import type * as log from './interface.ts'

export type Level = 'debug' | 'info' | 'warn' | 'error'

/** In ascending order of severity. */
const LEVELS: Level[] = ['debug', 'info', 'warn', 'error']

/** Receives complete lines. */
export interface Destination {
  write (line: string): void
}

export interface Settings {
  level: Level
  /** Fields added to every line, such as the role and the name of the process. */
  fields?: Record<string, log.Field>
  /** Keys and tokens that are redacted in the values of all fields. */
  secrets?: string[]
  /** Standard output by default. */
  destination?: Destination
  /** Rate limit; lines above it are left out and counted, debug and info lines first. Unlimited by default. */
  budget?: budgets.Budget
}

const CENSOR = '[redacted]'
/** Fields whose values are always redacted. */
const SECRET_FIELDS = new Set(['key', 'sharedKey', 'token', 'operatorToken', 'authorization', 'secret', 'password'])
/** Maximum length of a value in characters; longer ones are truncated, so that a caller's input cannot fill the log. */
const MAX_VALUE_LENGTH = 500
/** Maximum size of the output buffer; if the reader of standard output is too slow, further lines are dropped. */
const MAX_BUFFERED_BYTES = 4 * 2 ** 20
/** Minimum number of bytes per write, as each write costs system calls and a thread switch. */
const WRITE_BYTES = 4096
/** Time in ms after which fewer bytes are flushed too; a killed process loses at most the lines of this time. */
const WRITE_INTERVAL_MS = 250

// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g
const escape = (character: string): string => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`

let sharedOutput: Destination | undefined

/**
 * Creates a destination that writes lines to standard output in batches, without blocking on a slow reader. Buffered
 * lines are flushed when the process exits.
 */
const createStandardOutput = (): Destination => {
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

/** Values that logfmt writes as they are and that need no truncation. */
const PLAIN_VALUE = /^[\w.,:;/@+-]{1,500}$/

/** Truncates a value and escapes its control characters. logfmt does not, so a line feed could forge another line. */
const sanitize = (value: string): string => value.slice(0, MAX_VALUE_LENGTH).replace(CONTROL_CHARACTERS, escape)

/**
 * Formats fields as logfmt, each preceded by a space. Most values need no quotes; checking for that avoids most of the
 * cost of a line, which a process writes for each routing decision.
 */
const format = (fields: Record<string, log.Field>): string => {
  let text = ''
  for (const name in fields) {
    const value = SECRET_FIELDS.has(name) ? CENSOR : fields[name]
    if (value === undefined) continue
    if (typeof value !== 'string') text += ` ${name}=${value}`
    else if (PLAIN_VALUE.test(value)) text += ` ${name}=${value}`
    else text += ` ${logfmt.stringify({ [name]: sanitize(value) })}`
  }
  return text
}

/** Creates a log that writes logfmt lines through pino's buffered output, on the calling thread. */
export const create = (settings: Settings): log.Log => {
  const destination = settings.destination ?? (sharedOutput ??= createStandardOutput())
  const secrets = (settings.secrets ?? []).filter((secret) => secret !== '')
  const { budget } = settings

  const redact = (value: log.Field): log.Field => typeof value === 'string'
    ? secrets.reduce((text, secret) => text.replaceAll(secret, CENSOR), value)
    : value
  const redactAll = (fields: Record<string, log.Field>): Record<string, log.Field> => secrets.length === 0
    ? fields
    : Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, redact(value)]))

  const writeLine = (level: Level, context: string, fields: Record<string, log.Field>): void => {
    const line = `level=${level} time=${new Date().toISOString()}${context}${format(redactAll(fields))}\n`
    budget?.recordBytes(line.length)
    destination.write(line)
  }
  const isAdmitted = (level: Level, event: string): boolean => {
    if (!budget) return true
    const unreported = budget.takeUnreported()
    if (unreported && budget.admit('lines-left-out', false)) {
      writeLine('warn', baseContext, { event: 'lines-left-out', ...Object.fromEntries(unreported) })
    }
    return budget.admit(event, level === 'info' || level === 'debug')
  }
  const createLog = (context: string): log.Log => {
    const write = (level: Level) => (event: string, fields: Record<string, log.Field> = {}): void => {
      if (LEVELS.indexOf(level) < LEVELS.indexOf(settings.level) || !isAdmitted(level, event)) return
      writeLine(level, context, { event, ...fields })
    }
    return {
      debug: write('debug'),
      info: write('info'),
      warn: write('warn'),
      error: write('error'),
      with: (fields) => createLog(context + format(redactAll(fields)))
    }
  }
  const baseContext = format(redactAll(settings.fields ?? {}))
  return createLog(baseContext)
}
