import type * as placements from '@mustarddeck/placement'
import * as baselines from './baselines.ts'
import * as simulation from './simulation.ts'
import * as measures from './measure.ts'
import * as scenarios from './scenarios.ts'
import type * as workload from './workload.ts'

/** Figures of one scenario: this version, the two baselines and, for floods, this version without the flood. */
export interface Comparison {
  scenario: string
  deployment: string
  seed: number
  own: measures.Figures
  naive: measures.Figures
  ideal: measures.Figures
  /** This version with the ordinary work only; present for scenarios with a flood. */
  without?: measures.Figures
}

export interface Options {
  deployment: workload.Deployment
  seed: number
  policy?: Partial<placements.Policy>
}

/** Figures of this version alone. */
export const ownFigures = (
  scenario: scenarios.Scenario, { deployment, seed, policy }: Options, { withoutFlood = false } = {}
): measures.Figures => {
  const run = { ...scenarios.runOf(scenario, deployment, seed), policy }
  // The window and the set of types without a flood are those of the run with the flood, so that figures compare.
  const jobs = withoutFlood ? scenarios.runOf(scenario, deployment, seed, { withoutFlood }).jobs : run.jobs
  return measures.measure({ tally: simulation.run({ ...run, jobs }), run })
}

export const compare = (scenario: scenarios.Scenario, options: Options): Comparison => {
  const { deployment, seed } = options
  const run = scenarios.runOf(scenario, deployment, seed)
  const { jobs } = scenarios.runOf(scenario, deployment, seed, { withoutFlood: true })
  return {
    scenario: scenario.name,
    deployment: deployment.name,
    seed,
    own: ownFigures(scenario, options),
    naive: measures.measure({ tally: baselines.naive(run), run }),
    ideal: measures.measure({ tally: baselines.ideal({ ...run, jobs }), run }),
    ...scenario.extraStreams ? { without: ownFigures(scenario, options, { withoutFlood: true }) } : {}
  }
}

/** Largest relative deviation of a served share from the share that its weight gives. */
export const shareDeviation = (served: Record<string, number>, weights: Record<string, number>): number => {
  const names = Object.keys(weights)
  const totalServed = names.reduce((sum, name) => sum + (served[name] ?? 0), 0)
  const totalWeight = names.reduce((sum, name) => sum + weights[name]!, 0)
  const deviations = names.map((name) =>
    Math.abs((served[name] ?? 0) / totalServed / (weights[name]! / totalWeight) - 1))
  return Math.max(...deviations)
}
