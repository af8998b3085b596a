import * as got from 'got'
import type * as table from './table.ts'

/** Statuses of a request that the platform rejected without processing it. */
const REJECTION_STATUSES = new Set([429, 503])
/** Phases of a request, and system calls, that precede its first byte. */
const PHASES_BEFORE_SENDING = new Set(['lookup', 'connect', 'secureConnect'])
const SYSTEM_CALLS_BEFORE_SENDING = new Set(['connect', 'getaddrinfo'])

/** Error of a request without a valid response: a write may have taken effect, a read has no effect. */
const noResponse = (isWrite: boolean, message: string): table.StoreError =>
  ({ kind: isWrite ? 'uncertain' : 'unavailable', message })

/** True only if the system call or phase that failed precedes the first byte of the request. */
const failedBeforeSending = (error: unknown): boolean => {
  if (error instanceof got.TimeoutError) return PHASES_BEFORE_SENDING.has(error.event)
  if (error instanceof got.RequestError) return failedBeforeSending(error.cause)
  if (error instanceof AggregateError) return error.errors.length > 0 && error.errors.every(failedBeforeSending)
  return error instanceof Error && SYSTEM_CALLS_BEFORE_SENDING.has((error as NodeJS.ErrnoException).syscall ?? '')
}

/**
 * Error of a response that is neither a result nor a conflict. A status of 4xx, other than 408 and 409, means that
 * nothing was written.
 */
export const fromResponse = (isWrite: boolean, status: number): table.StoreError => {
  const message = `the store responded with status ${status}`
  const isRejected = REJECTION_STATUSES.has(status) ||
    (status >= 400 && status < 500 && status !== 408 && status !== 409)
  return isRejected ? { kind: 'unavailable', message } : noResponse(isWrite, message)
}

/** Error of a request that failed without a response. */
export const fromException = (isWrite: boolean, error: unknown): table.StoreError => {
  const message = error instanceof Error ? error.message : String(error)
  return failedBeforeSending(error) ? { kind: 'unavailable', message } : noResponse(isWrite, message)
}
