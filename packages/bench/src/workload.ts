import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

export interface Deployment {
  name: string
  /** One-way latency in ms between processes. */
  latencyMs: number
  /** One-way latency in ms between callers and entries. */
  callerLatencyMs: number
  entries: number
  workers: number
  slots: number
  resources: types.Resources
  failureDomains: string[]
  workersPerRack: number
}

export const DEPLOYMENTS: Deployment[] = [
  {
    name: 'corkbook',
    latencyMs: 0.5,
    callerLatencyMs: 3,
    entries: 3,
    workers: 11,
    slots: 8,
    resources: { cores: 16, memoryMb: 32_000, accelerators: 0 },
    failureDomains: ['khangai-a', 'khangai-b', 'khangai-c'],
    workersPerRack: 3
  },
  {
    name: 'benchdesk',
    latencyMs: 0.9,
    callerLatencyMs: 3,
    entries: 3,
    workers: 11,
    slots: 8,
    resources: { cores: 32, memoryMb: 64_000, accelerators: 0 },
    failureDomains: ['waco-floor', 'temple-bay', 'bryan-dock'],
    workersPerRack: 3
  }
]

/** A job with the run times of its tasks, which the code under test does not see. */
export interface Job {
  id: types.JobId
  /** Time in ms at which the caller sends it. */
  at: number
  entry: number
  team: string
  type: string
  runMs: number[]
  /** True if the job belongs to a flood, not to the ordinary work that the flood must not affect. */
  flood: boolean
  cancelAt?: number
}

interface TypeShape {
  name: string
  rank: number
  medianMs: number
  /** Share of the offered work. */
  share: number
}

/** Types of three priority classes; the shares of work are 30%, 40% and 30%. */
export const TYPES: TypeShape[] = [
  { name: 'weighing', rank: 0, medianMs: 120, share: 0.15 },
  { name: 'payout', rank: 0, medianMs: 250, share: 0.15 },
  { name: 'booking', rank: 1, medianMs: 300, share: 0.2 },
  { name: 'route-check', rank: 1, medianMs: 500, share: 0.2 },
  { name: 'pin-out', rank: 2, medianMs: 400, share: 0.15 },
  { name: 'summary', rank: 2, medianMs: 700, share: 0.15 }
]
export const TEAMS = ['depot-north', 'depot-south', 'floor']
/** Task type that needs more accelerators than any worker has. */
export const NEVER_RUNNABLE = 'accelerated'

const TARGET_WAIT_MS = [1000, 3000, 10_000]
const RESERVE = [0.1, 0, 0]
const TIME_LIMIT_MS = 40_000
const MEMORY_MB = 1000
/** Distribution of run times: log-normal, limited to 50 ms to 1 s, with a uniform tail of 2 s to 5 s. */
const RUN = { minMs: 50, maxMs: 1000, deviation: 0.5, tailShare: 0.03, tailMinMs: 2000, tailMaxMs: 5000 }

export interface RuleChange {
  /** Largest factor by which declared memory and time limits are too high or too low. */
  maxDeclarationFactor?: number
  /** Weights by type and team. */
  weights?: Record<string, number>
  quotas?: Record<string, number>
  reserve?: number[]
  targetWaitMs?: number[]
}

/** The rules of a deployment with the changes applied; declaration errors are drawn from `seed`. */
export const rulesOf = (change: RuleChange, seed: number): types.Rules => {
  const source = random.create(seed)
  const declarationFactor = (): number =>
    Math.exp((source.float() * 2 - 1) * Math.log(change.maxDeclarationFactor ?? 1))
  const shapes = [...TYPES, { name: NEVER_RUNNABLE, rank: 0, medianMs: 100, share: 0 }]
  const rules = {
    version: 1,
    taskTypes: shapes.map(({ name, rank }) => ({
      name,
      service: 'service',
      priorityClass: `class-${rank}`,
      timeLimitMs: TIME_LIMIT_MS * Math.max(0.5, declarationFactor()),
      resources: { cores: 1, memoryMb: MEMORY_MB * declarationFactor(), accelerators: name === NEVER_RUNNABLE ? 3 : 0 },
      weight: change.weights?.[name] ?? 1
    })),
    priorityClasses: [0, 1, 2].map((rank) => ({
      name: `class-${rank}`,
      rank,
      targetWaitMs: (change.targetWaitMs ?? TARGET_WAIT_MS)[rank],
      reserve: (change.reserve ?? RESERVE)[rank]
    })),
    teams: TEAMS.map((name) => ({ name, weight: change.weights?.[name] ?? 1, maxRunning: change.quotas?.[name] }))
  }
  return rules as unknown as types.Rules
}

/** Draws a run time in ms. */
export const drawRunTime = (medianMs: number, source: random.Random): number => {
  if (source.float() < RUN.tailShare) return RUN.tailMinMs + source.float() * (RUN.tailMaxMs - RUN.tailMinMs)
  const normal = Math.sqrt(-2 * Math.log(1 - source.float())) * Math.cos(2 * Math.PI * source.float())
  return Math.min(RUN.maxMs, Math.max(RUN.minMs, medianMs * Math.exp(RUN.deviation * normal)))
}

const meanRunTime = (medianMs: number): number => {
  const source = random.create(1)
  let sum = 0
  for (let draw = 0; draw < 20_000; draw++) sum += drawRunTime(medianMs, source)
  return sum / 20_000
}
const MEAN_RUN_MS = new Map(TYPES.map(({ name, medianMs }) => [name, meanRunTime(medianMs)]))

export type Sizes = 'mixed' | 'small' | 'large'

/** Draws the number of tasks of a job. */
const drawTaskCount = (sizes: Sizes, source: random.Random): number => {
  if (sizes === 'large') return 260
  const fraction = source.float()
  if (sizes === 'small') return source.integer(1, 3)
  if (fraction < 0.7) return 1
  if (fraction < 0.9) return source.integer(2, 8)
  return fraction < 0.995 ? source.integer(10, 40) : source.integer(100, 260)
}
const meanTaskCount = (sizes: Sizes): number => {
  const source = random.create(2)
  let sum = 0
  for (let draw = 0; draw < 50_000; draw++) sum += drawTaskCount(sizes, source)
  return sum / 50_000
}

/** A stream of jobs submitted at a constant load. */
export interface Stream {
  /** Offered load over the capacity of the fleet. */
  load: number
  types: string[]
  sizes: Sizes
  fromMs: number
  untilMs: number
  flood?: boolean
  /** Index of the entry that gets all jobs; if absent, each job goes to a random entry. */
  entry?: number
  team?: string
}

/** Generates the jobs of a stream with Poisson arrivals; each type gets its share of the load. */
export const generate = (
  { load, types: names, sizes, fromMs, untilMs, flood = false, entry, team }: Stream, deployment: Deployment,
  seed: number
): Job[] => {
  const source = random.create(seed)
  const shapes = TYPES.filter(({ name }) => names.includes(name))
  const shares = shapes.reduce((sum, { share }) => sum + share, 0)
  const meanTasks = meanTaskCount(sizes)
  const jobs: Job[] = []
  for (const { name, medianMs, share } of shapes) {
    const workPerMs = load * deployment.slots * deployment.workers * share / shares
    const meanIntervalMs = MEAN_RUN_MS.get(name)! * meanTasks / workPerMs
    for (let at = fromMs + source.exponential(meanIntervalMs); at < untilMs; at += source.exponential(meanIntervalMs)) {
      jobs.push({
        id: `${flood ? 'flood' : 'job'}-${name}-${jobs.length}` as types.JobId,
        at,
        entry: entry ?? source.integer(0, deployment.entries - 1),
        team: team ?? source.pick(TEAMS),
        type: name,
        runMs: Array.from({ length: drawTaskCount(sizes, source) }, () => drawRunTime(medianMs, source)),
        flood
      })
    }
  }
  return jobs.sort((left, right) => left.at - right.at)
}

export const ALL_TYPES = TYPES.map(({ name }) => name)
export const rankOf = (type: string): number => TYPES.find(({ name }) => name === type)?.rank ?? 0
