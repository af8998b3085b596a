/** Outcome of an operation that can fail: a value or an error, never an exception. */
export type Result<Value, Failure> = { kind: 'ok', value: Value } | { kind: 'error', error: Failure }

export const ok = <Value>(value: Value): { kind: 'ok', value: Value } => ({ kind: 'ok', value })

export const error = <Failure>(failure: Failure): { kind: 'error', error: Failure } =>
  ({ kind: 'error', error: failure })

/** Thrown only when the program itself is wrong; the process stops. */
export class InvariantError extends Error {
  override name = 'InvariantError'
}

/** Stops the process when a condition that the program guarantees does not hold. */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}
