/** Result of an operation that returns expected failures instead of throwing them. */
export type Result<Value, Failure> = { kind: 'ok', value: Value } | { kind: 'error', error: Failure }

/** Creates a successful result. */
export const ok = <Value>(value: Value): { kind: 'ok', value: Value } => ({ kind: 'ok', value })

/** Creates a failed result. */
export const error = <Failure>(failure: Failure): { kind: 'error', error: Failure } =>
  ({ kind: 'error', error: failure })

/** Signals a programming error. It is not meant to be caught, so that the process stops. */
export class InvariantError extends Error {
  override name = 'InvariantError'
}

/** Throws InvariantError if a condition that the program guarantees does not hold. */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}
