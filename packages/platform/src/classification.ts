import * as got from 'got'
import type * as table from './table.ts'

/** Statuses with which the platform says that it did not take the request. */
const REFUSED = new Set([429, 503])
/** Phases of a request that end before its first byte is sent. */
const PHASES_BEFORE_SENDING = new Set(['lookup', 'connect', 'secureConnect'])
const CALLS_BEFORE_SENDING = new Set(['connect', 'getaddrinfo'])

/** A write without a usable answer may have taken effect; a read has no effect. */
const withoutAnswer = (write: boolean, message: string): table.StoreError =>
  ({ kind: write ? 'uncertain' : 'unavailable', message })

/** True only where the system call or phase that failed precedes the first byte of the request. */
const failedBeforeSending = (error: unknown): boolean => {
  if (error instanceof got.TimeoutError) return PHASES_BEFORE_SENDING.has(error.event)
  if (error instanceof got.RequestError) return failedBeforeSending(error.cause)
  if (error instanceof AggregateError) return error.errors.length > 0 && error.errors.every(failedBeforeSending)
  return error instanceof Error && CALLS_BEFORE_SENDING.has((error as NodeJS.ErrnoException).syscall ?? '')
}

/** Error for an answer that is neither a result nor a conflict. A status of 4xx means that nothing was written. */
export const ofAnswer = (write: boolean, status: number): table.StoreError => {
  const message = `the store answered with status ${status}`
  const refused = REFUSED.has(status) || (status >= 400 && status < 500 && status !== 408 && status !== 409)
  return refused ? { kind: 'unavailable', message } : withoutAnswer(write, message)
}

export const ofException = (write: boolean, error: unknown): table.StoreError => {
  const message = error instanceof Error ? error.message : String(error)
  return failedBeforeSending(error) ? { kind: 'unavailable', message } : withoutAnswer(write, message)
}
