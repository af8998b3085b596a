import type * as callers from './callers.ts'
import * as roles from './roles/roles.ts'

/** Entry point of a benchmark's child process: the first message says what it is. */
process.once('message', async (given: roles.Role | callers.Load) => {
  const answer = given.role === 'callers' ? await (await import('./callers.ts')).run(given) : await roles.start(given)
  process.send!(answer)
})
process.once('disconnect', () => process.exit())
