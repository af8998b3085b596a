import * as crypto from 'node:crypto'
import * as callers from '@mustarddeck/client'
import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import type * as errors from '@mustarddeck/errors'
import type * as types from '@mustarddeck/types'
import * as exitCode from './exit-code.ts'
import * as output from './output.ts'

const MAX_SEED = 2 ** 31

/** Creates a client of the entries at these base URLs. */
export const create = (entries: string[]): callers.Client => callers.create({
  entries, timers: clock.createSystem(), random: random.create(crypto.randomInt(MAX_SEED))
})

/**
 * Prints the result as JSON and returns the exit code: `OK` only if the job ended as expected, `USAGE` for an invalid
 * job, `FAILED` otherwise.
 */
export const report = (
  result: errors.Result<types.Outcome, callers.Failure>, expected: types.Outcome['kind'] | 'cancelled' = 'complete'
): number => {
  if (result.kind === 'error') {
    output.print(JSON.stringify(result.error, undefined, 2))
    return result.error.kind === 'invalid' ? exitCode.USAGE : exitCode.FAILED
  }
  output.print(JSON.stringify(result.value, undefined, 2))
  const cancelled = 'reason' in result.value && result.value.reason === 'cancelled'
  return result.value.kind === expected || (expected === 'cancelled' && cancelled) ? exitCode.OK : exitCode.FAILED
}
