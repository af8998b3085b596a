import type * as placements from '@mustarddeck/placement'
import * as baselines from './baselines.ts'
import * as direct from './direct.ts'
import * as measures from './measure.ts'
import * as runs from './scenarios.ts'
import type * as workload from './workload.ts'

/** Figures of one scenario by policy: this version, two baselines, and the same work without its flood. */
export interface Comparison {
  scenario: string
  deployment: string
  seed: number
  own: measures.Figures
  naive: measures.Figures
  ideal: measures.Figures
  /** Present for floods: this version with the same work and no flood. */
  without?: measures.Figures
}

export interface Options {
  deployment: workload.Deployment
  seed: number
  policy?: Partial<placements.Policy>
}

/** Figures of this version alone. */
export const ownFigures = (
  scenario: runs.Scenario, { deployment, seed, policy }: Options, { without = false } = {}
): measures.Figures => {
  const run = { ...runs.runOf(scenario, deployment, seed), policy }
  // The window and the types that count as other work are those of the run with the flood.
  const jobs = without ? runs.runOf(scenario, deployment, seed, { without }).jobs : run.jobs
  return measures.measure({ tally: direct.run({ ...run, jobs }), run })
}

export const compare = (scenario: runs.Scenario, options: Options): Comparison => {
  const { deployment, seed } = options
  const run = runs.runOf(scenario, deployment, seed)
  const { jobs } = runs.runOf(scenario, deployment, seed, { without: true })
  return {
    scenario: scenario.name,
    deployment: deployment.name,
    seed,
    own: ownFigures(scenario, options),
    naive: measures.measure({ tally: baselines.naive(run), run }),
    ideal: measures.measure({ tally: baselines.ideal({ ...run, jobs }), run }),
    ...scenario.extra ? { without: ownFigures(scenario, options, { without: true }) } : {}
  }
}

/** Largest deviation of a served share from its weight's share, over its weight's share. */
export const shareDeviation = (served: Record<string, number>, weights: Record<string, number>): number => {
  const names = Object.keys(weights)
  const total = names.reduce((sum, name) => sum + (served[name] ?? 0), 0)
  const all = names.reduce((sum, name) => sum + weights[name]!, 0)
  const deviations = names.map((name) => Math.abs((served[name] ?? 0) / total / (weights[name]! / all) - 1))
  return Math.max(...deviations)
}
