import * as fc from 'fast-check'
import * as checks from './check.ts'
import type * as coverages from './coverage.ts'
import * as events from './events.ts'
import * as runs from './run.ts'

export interface Finding {
  schedule: events.Schedule
  violations: checks.Violation[]
  shrinks: number
}

export interface Search {
  runs: number
  elapsedMs: number
  finding?: Finding
}

/** Runs one schedule and checks it. */
export const violationsOf = (schedule: events.Schedule, cores: runs.Cores): checks.Violation[] =>
  checks.check(runs.run(schedule, cores))

/** Runs up to `count` schedules; the first that breaks a promise is shrunk within `shrinkMs`. */
export const search = ({ cores, seed, count, shrinkMs = 30_000, schedules = events.schedule, coverage }: {
  cores: runs.Cores
  seed: number
  count: number
  shrinkMs?: number
  schedules?: fc.Arbitrary<events.Schedule>
  coverage?: coverages.Coverage
}): Search => {
  const startedAt = performance.now()
  let firstFailureAt: number | undefined
  let rule: string | undefined
  const property = fc.property(schedules, (schedule) => {
    // Shrinking keeps to the rule that was broken first, so that it does not drift to another fault.
    if (firstFailureAt !== undefined && performance.now() - firstFailureAt > shrinkMs) return true
    const run = runs.run(schedule, cores)
    coverage?.add(run)
    const violations = checks.check(run)
    const failed = rule === undefined ? violations.length > 0 : violations.some((violation) => violation.rule === rule)
    if (failed && rule === undefined) {
      rule = violations[0]!.rule
      firstFailureAt = performance.now()
    }
    return !failed
  })
  const details = fc.check(property, { seed, numRuns: count, endOnFailure: false })
  const elapsedMs = performance.now() - startedAt
  const counterexample = details.counterexample?.[0]
  if (!counterexample) return { runs: details.numRuns, elapsedMs }
  return {
    runs: details.numRuns,
    elapsedMs,
    finding: { schedule: counterexample, violations: violationsOf(counterexample, cores), shrinks: details.numShrinks }
  }
}

export const describeFinding = ({ schedule, violations, shrinks }: Finding): string => [
  ...violations.map(({ rule, detail }) => `${rule}: ${detail}`),
  `after ${shrinks} shrinks:`,
  events.format(schedule),
  JSON.stringify(schedule)
].join('\n')
