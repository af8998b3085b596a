export type Field = string | number | boolean | undefined

/** Writes one line of key=value pairs per event. */
export interface Log {
  debug (event: string, fields?: Record<string, Field>): void
  info (event: string, fields?: Record<string, Field>): void
  warn (event: string, fields?: Record<string, Field>): void
  error (event: string, fields?: Record<string, Field>): void
  /** Returns a log that adds these fields to every line. */
  with (fields: Record<string, Field>): Log
}
