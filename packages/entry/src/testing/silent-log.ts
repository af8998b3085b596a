import type * as log from '@mustarddeck/log'

/** Log for tests that keeps the events of its warnings. */
export const create = (): log.Log & { warnings: string[] } => {
  const warnings: string[] = []
  const silent = {
    warnings,
    debug: () => {},
    info: () => {},
    warn: (event: string) => { warnings.push(event) },
    error: (event: string) => { warnings.push(event) },
    with: () => silent
  }
  return silent
}
