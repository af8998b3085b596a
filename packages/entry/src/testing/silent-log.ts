import type * as log from '@mustarddeck/log'

/** Creates a log that prints nothing and records the events of warnings and errors. */
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
