import type * as fleets from './fleet.ts'
import type * as runs from './run.ts'
import * as workload from './workload.ts'

/** A workload, with faults or rule changes, to simulate. */
export interface Scenario {
  name: string
  /** Offered load of the ordinary work over the capacity of the fleet. */
  load: number
  sizes: workload.Sizes
  durationMs: number
  /** Streams in addition to the ordinary work; those marked as flood are not part of it. */
  extraStreams?: workload.Stream[]
  entry?: number
  faults?: fleets.Fault[]
  ruleChange?: workload.RuleChange
  /** Returns the jobs to submit, given the generated ones. */
  transformJobs?: (jobs: workload.Job[]) => workload.Job[]
}

const WARM_UP_MS = 10_000
const DURATION_MS = 130_000
const FLOOD_LOAD = 10
const FLOOD_FROM_MS = 20_000
const CANCELLED_JOBS = 10_000

const floodStream = (types: string[], sizes: workload.Sizes, untilMs: number, entry?: number): workload.Stream =>
  ({ load: FLOOD_LOAD, types, sizes, fromMs: FLOOD_FROM_MS, untilMs, flood: true, entry })

const floodScenarios = (durationMs: number): Scenario[] => {
  const base = { load: 0.6, sizes: 'mixed' as const, durationMs }
  const kinds: [string, string[]][] = [
    ['least urgent', ['pin-out', 'summary']], ['most urgent', ['weighing']], ['one type of a class', ['booking']]
  ]
  return kinds.flatMap(([name, types]) => [
    { ...base, name: `flood of ${name}`, extraStreams: [floodStream(types, 'mixed', durationMs)] },
    { ...base, name: `flood of ${name} through one entry`, extraStreams: [floodStream(types, 'mixed', durationMs, 0)] }
  ])
}

/** Adds 10,000 jobs of the least urgent class, which are all cancelled at once. */
const withCancellations = (jobs: workload.Job[]): workload.Job[] => {
  const template = jobs.find(({ type }) => type === 'pin-out')!
  const cancelledJobs = Array.from({ length: CANCELLED_JOBS }, (_, index): workload.Job => ({
    ...template,
    id: `wave-${index}` as workload.Job['id'],
    at: 30_000 + index / 100,
    entry: index % 3,
    runMs: [400],
    cancelAt: 32_000,
    flood: true
  }))
  return [...jobs, ...cancelledJobs].sort((left, right) => left.at - right.at)
}
/** Adds a job that no worker can run to every tenth job. */
const withNeverRunnable = (jobs: workload.Job[]): workload.Job[] =>
  jobs.flatMap((job, index) => index % 10 === 0
    ? [job, { ...job, id: `never-${index}` as workload.Job['id'], type: workload.NEVER_RUNNABLE, flood: true }]
    : [job])

export const all = (durationMs = DURATION_MS): Scenario[] => {
  const steady = { load: 0.8, sizes: 'mixed' as const, durationMs }
  const longTargetWaits = { targetWaitMs: [1000, 3000, 120_000] }
  return [
    { ...steady, name: 'steady 50%', load: 0.5 },
    { ...steady, name: 'steady 80%' },
    { ...steady, name: 'steady 95%', load: 0.95 },
    { ...steady, name: 'many small jobs', sizes: 'small' },
    { ...steady, name: 'jobs of 260 tasks', sizes: 'large' },
    ...floodScenarios(durationMs),
    { ...steady, name: 'all callers through one entry', entry: 0 },
    {
      ...steady,
      name: 'worker fails everything',
      load: 0.7,
      faults: [{ kind: 'fails-everything', worker: 4, at: FLOOD_FROM_MS, until: 60_000 }]
    },
    {
      ...steady,
      name: 'worker 5 times slow',
      load: 0.7,
      faults: [{ kind: 'slow', worker: 4, at: FLOOD_FROM_MS, factor: 5 }]
    },
    { ...steady, name: 'rack lost', load: 0.6, faults: [{ kind: 'rack-lost', rack: 1, at: FLOOD_FROM_MS }] },
    { ...steady, name: 'wave of 10,000 cancellations', ruleChange: longTargetWaits, transformJobs: withCancellations },
    { ...steady, name: 'declarations 10 times off', ruleChange: { maxDeclarationFactor: 10 } },
    { ...steady, name: 'never-runnable jobs mixed in', transformJobs: withNeverRunnable },
    { ...steady, name: 'entry lost', faults: [{ kind: 'entry-lost', entry: 1, at: FLOOD_FROM_MS }] },
    {
      ...steady,
      name: 'all backlogged, weighted',
      load: 10,
      sizes: 'mixed',
      ruleChange: { weights: { booking: 1, 'route-check': 2, weighing: 1, payout: 1, 'depot-north': 1, 'depot-south': 2, floor: 3 } },
      transformJobs: (jobs) => jobs.filter(({ type }) => workload.rankOf(type) === 1)
    },
    { ...steady, name: 'team quota', load: 0.9, ruleChange: { quotas: { floor: 12 } } }
  ]
}

/** Generates the run of a scenario; `withoutFlood` leaves out its extra streams. */
export const runOf = (
  scenario: Scenario, deployment: workload.Deployment, seed: number, { withoutFlood = false } = {}
): runs.Run => {
  const {
    load, sizes, durationMs, entry, faults = [], ruleChange = {}, transformJobs = (jobs) => jobs
  } = scenario
  const ordinary: workload.Stream =
    { load, types: workload.ALL_TYPES, sizes, fromMs: 0, untilMs: durationMs, entry }
  const streams = [ordinary, ...withoutFlood ? [] : scenario.extraStreams ?? []]
  const jobs = streams.flatMap((stream, index) => workload.generate(stream, deployment, seed + index * 1000))
  return {
    deployment,
    jobs: transformJobs(jobs.sort((left, right) => left.at - right.at)),
    rules: workload.rulesOf(ruleChange, seed),
    faults,
    window: { fromMs: scenario.extraStreams ? FLOOD_FROM_MS + 1000 : WARM_UP_MS, untilMs: durationMs },
    seed
  }
}
