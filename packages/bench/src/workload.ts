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

/** A job with the run times that its tasks will have; the code under test never sees them. */
export interface Job {
  id: types.JobId
  /** Time in ms at which the caller sends it. */
  at: number
  entry: number
  team: string
  type: string
  runMs: number[]
  /** Part of the flood and not of the work that the flood must not disturb. */
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
export const NEVER_RUNNABLE = 'accelerated'

const TARGET_WAIT_MS = [1000, 3000, 10_000]
const RESERVE = [0.1, 0, 0]
const TIME_LIMIT_MS = 40_000
const MEMORY_MB = 1000
/** Run times: log-normal within 50 ms to 1 s, and a tail of several seconds. */
const RUN = { leastMs: 50, mostMs: 1000, deviation: 0.5, tailShare: 0.03, tailLeastMs: 2000, tailMostMs: 5000 }

export interface RuleChange {
  /** Largest factor by which declared memory and time limits are off, up or down. */
  declaredOff?: number
  /** Weights by type and team. */
  weights?: Record<string, number>
  quotas?: Record<string, number>
  reserve?: number[]
  targetWaitMs?: number[]
}

export const rulesOf = (change: RuleChange, seed: number): types.Rules => {
  const source = random.create(seed)
  const off = (): number => Math.exp((source.float() * 2 - 1) * Math.log(change.declaredOff ?? 1))
  const shapes = [...TYPES, { name: NEVER_RUNNABLE, rank: 0, medianMs: 100, share: 0 }]
  const rules = {
    version: 1,
    taskTypes: shapes.map(({ name, rank }) => ({
      name,
      service: 'service',
      priorityClass: `class-${rank}`,
      timeLimitMs: TIME_LIMIT_MS * Math.max(0.5, off()),
      resources: { cores: 1, memoryMb: MEMORY_MB * off(), accelerators: name === NEVER_RUNNABLE ? 3 : 0 },
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

export const runTime = (medianMs: number, source: random.Random): number => {
  if (source.float() < RUN.tailShare) return RUN.tailLeastMs + source.float() * (RUN.tailMostMs - RUN.tailLeastMs)
  const normal = Math.sqrt(-2 * Math.log(1 - source.float())) * Math.cos(2 * Math.PI * source.float())
  return Math.min(RUN.mostMs, Math.max(RUN.leastMs, medianMs * Math.exp(RUN.deviation * normal)))
}

const meanRunTime = (medianMs: number): number => {
  const source = random.create(1)
  let sum = 0
  for (let draw = 0; draw < 20_000; draw++) sum += runTime(medianMs, source)
  return sum / 20_000
}
const MEAN_MS = new Map(TYPES.map(({ name, medianMs }) => [name, meanRunTime(medianMs)]))

export type Sizes = 'mixed' | 'small' | 'large'

/** Number of tasks of a job. */
const jobSize = (sizes: Sizes, source: random.Random): number => {
  if (sizes === 'large') return 260
  const kind = source.float()
  if (sizes === 'small') return source.integer(1, 3)
  if (kind < 0.7) return 1
  if (kind < 0.9) return source.integer(2, 8)
  return kind < 0.995 ? source.integer(10, 40) : source.integer(100, 260)
}
const meanSize = (sizes: Sizes): number => {
  const source = random.create(2)
  let sum = 0
  for (let draw = 0; draw < 50_000; draw++) sum += jobSize(sizes, source)
  return sum / 50_000
}

export interface Stream {
  /** Offered work over the capacity of the fleet. */
  load: number
  types: string[]
  sizes: Sizes
  fromMs: number
  untilMs: number
  flood?: boolean
  /** Index of the entry that gets all jobs; absent: each job goes to a random entry. */
  entry?: number
  team?: string
}

/** Poisson arrivals of jobs; each type gets its share of the stream's work. */
export const generate = (
  { load, types: names, sizes, fromMs, untilMs, flood = false, entry, team }: Stream, deployment: Deployment,
  seed: number
): Job[] => {
  const source = random.create(seed)
  const shapes = TYPES.filter(({ name }) => names.includes(name))
  const shares = shapes.reduce((sum, { share }) => sum + share, 0)
  const size = meanSize(sizes)
  const jobs: Job[] = []
  for (const { name, medianMs, share } of shapes) {
    const workPerMs = load * deployment.slots * deployment.workers * share / shares
    const everyMs = MEAN_MS.get(name)! * size / workPerMs
    for (let at = fromMs + source.exponential(everyMs); at < untilMs; at += source.exponential(everyMs)) {
      jobs.push({
        id: `${flood ? 'flood' : 'job'}-${name}-${jobs.length}` as types.JobId,
        at,
        entry: entry ?? source.integer(0, deployment.entries - 1),
        team: team ?? source.pick(TEAMS),
        type: name,
        runMs: Array.from({ length: jobSize(sizes, source) }, () => runTime(medianMs, source)),
        flood
      })
    }
  }
  return jobs.sort((left, right) => left.at - right.at)
}

export const ALL_TYPES = TYPES.map(({ name }) => name)
export const rankOf = (type: string): number => TYPES.find(({ name }) => name === type)?.rank ?? 0
