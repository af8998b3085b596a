import type * as runs from './run.ts'

/** How often the runs of a search reached what the checks are about. */
export interface Coverage {
  add (run: runs.Record): void
  lines (): string[]
}

export const create = (): Coverage => {
  const counts = new Map<string, number>()
  const count = (name: string, by = 1): void => { counts.set(name, (counts.get(name) ?? 0) + by) }
  return {
    add: (run) => {
      count('task starts', run.starts.length)
      count('requests', run.callers.requests.length)
      count('fences', run.membership.fences.length)
      count('departures', run.membership.departures)
      for (const { answers } of run.callers.requests) {
        for (const { outcome } of answers) {
          const reason = outcome.kind === 'not-run' || outcome.kind === 'failed' || outcome.kind === 'unknown'
            ? ` (${outcome.reason})`
            : ''
          count(`answer ${outcome.kind}${reason}`)
        }
      }
      for (const process of run.processes) {
        if (process.left) count(`planned stops of an ${process.role}`)
        count('pauses', process.pauses.length)
      }
    },
    lines: () => [...counts].sort().map(([name, number]) => `${String(number).padStart(9)}  ${name}`)
  }
}
