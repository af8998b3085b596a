/** Reason why a request is refused before it reaches the decision code. */
export type InvalidReason =
  | 'malformed-request'
  | 'malformed-json'
  | 'unsupported-media-type'
  | 'body-too-large'
  | 'headers-too-large'
  | 'request-timeout'
  | 'wrong-type'
  | 'unknown-field'
  | 'too-many-tasks'
  | 'duplicate-task-name'
  | 'bad-id'
  | 'bad-payload'
  | 'bad-query'
  | 'bad-idempotency-key'
  | 'unauthorized'
  | 'not-found'
  | 'method-not-allowed'
  | 'unknown-target'
  | 'unknown-policy'
  | 'too-many-draining'
  | 'store-unavailable'

/** `path` is a JSON pointer into the body. */
export interface Problem {
  path: string
  message: string
}

/** Refusal of an invalid request; nothing was run. */
export interface Invalid {
  kind: 'invalid'
  reason: InvalidReason
  message: string
  problems?: Problem[]
}

/** Maximum length of an input value quoted in an error message, so that large input is not echoed. */
const MAX_QUOTE_LENGTH = 80

export const quote = (text: string): string =>
  JSON.stringify(text.length > MAX_QUOTE_LENGTH ? `${text.slice(0, MAX_QUOTE_LENGTH)}…` : text)

export const create = (reason: InvalidReason, message: string, problems?: Problem[]): Invalid =>
  ({ kind: 'invalid', reason, message, ...(problems && { problems }) })

const STATUSES: Partial<Record<InvalidReason, number>> = {
  'malformed-request': 400,
  'malformed-json': 400,
  'bad-query': 400,
  'bad-id': 400,
  'bad-idempotency-key': 400,
  unauthorized: 401,
  'not-found': 404,
  'unknown-target': 404,
  'unknown-policy': 404,
  'method-not-allowed': 405,
  'request-timeout': 408,
  'too-many-draining': 409,
  'body-too-large': 413,
  'unsupported-media-type': 415,
  'headers-too-large': 431,
  'store-unavailable': 503
}

/** Returns the HTTP status for a reason; 422 for a body that is valid JSON but not a valid request. */
export const status = (reason: InvalidReason): number => STATUSES[reason] ?? 422
