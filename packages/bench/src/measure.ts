import * as histograms from 'hdr-histogram-js'
import type * as fleets from './fleet.ts'
import type * as runs from './run.ts'
import * as workload from './workload.ts'

/** Times in ms. */
export interface Percentiles {
  count: number
  p50: number
  p99: number
}

/** Figures of one run. Jobs count if they were sent within the window. */
export interface Figures {
  /** Response times of complete jobs by rank of priority class, without the types of the flood. */
  classes: Record<number, Percentiles>
  /** Tasks of complete jobs per second, without the types of the flood. */
  otherThroughput: number
  otherP99: number
  /** Share of slot time in which a task ran. */
  busy: number
  /** Messages per started task other than `start` and `finished`. */
  overhead: number
  /** Heartbeats per started task. */
  heartbeats: number
  messages: Record<string, number>
  rejected: Record<string, number>
  outcomes: Record<string, number>
  refusals: Record<string, number>
  urgentRefusedWhileLessUrgentRan: number
  served: Record<string, number>
  failedByWorker: number
  /** Tasks that the faulty worker failed until the last entry took it out of rotation. */
  failedBeforeOut: number
  mostRunning: Record<string, number>
  started: number
  /** Decisions of placement by event. */
  decisions: Record<string, number>
}

const PRECISION = { numberOfSignificantValueDigits: 3, highestTrackableValue: 10_000_000 } as const
/** Resolution of recorded times in ms. */
const RESOLUTION_MS = 0.01

const percentiles = (times: number[]): Percentiles => {
  const histogram = histograms.build(PRECISION)
  for (const ms of times) histogram.recordValue(Math.round(ms / RESOLUTION_MS))
  const percentile = (percent: number): number => histogram.getValueAtPercentile(percent) * RESOLUTION_MS
  return { count: times.length, p50: percentile(50), p99: percentile(99) }
}
const roundedCounts = (counts: Map<string, number>): Record<string, number> =>
  Object.fromEntries([...counts].map(([key, value]) => [key, Math.round(value)]))

export const measure = ({ tally, run }: { tally: fleets.Tally, run: runs.Run }): Figures => {
  const { window, deployment } = run
  const seconds = (window.untilMs - window.fromMs) / 1000
  const ended = tally.ended.filter(({ job }) => job.at >= window.fromMs && job.at < window.untilMs)
  const floodTypes = new Set(run.jobs.filter((job) => job.flood).map((job) => job.type))
  const ordinary = ended.filter(({ job }) => !floodTypes.has(job.type))
  const complete = ordinary.filter(({ end }) => end.kind === 'complete')
  const timesOf = (rank: number): number[] =>
    complete.filter(({ job }) => workload.rankOf(job.type) === rank).map(({ responseMs }) => responseMs)
  const outcomes = new Map<string, number>()
  const refusals = new Map<string, number>()
  for (const { job, end } of ended) {
    const kind = job.flood ? `flood ${end.kind}` : end.kind
    outcomes.set(kind, (outcomes.get(kind) ?? 0) + 1)
    if (end.kind !== 'refused') continue
    const reason = job.flood ? `flood ${end.reason}` : end.reason
    refusals.set(reason, (refusals.get(reason) ?? 0) + 1)
  }
  const decisions = new Map<string, number>()
  for (const { event } of tally.decisions) decisions.set(event, (decisions.get(event) ?? 0) + 1)
  let overhead = 0
  for (const [kind, count] of tally.messages) if (kind !== 'start' && kind !== 'finished') overhead += count
  const outTimes = tally.decisions.filter(({ event }) => event === 'worker-out').map(({ at }) => at)
  const lastOutAt = Math.max(0, ...outTimes.slice(0, deployment.entries))
  const completeTasks = complete.reduce((sum, { job }) => sum + job.runMs.length, 0)
  return {
    classes: Object.fromEntries([0, 1, 2].map((rank) => [rank, percentiles(timesOf(rank))])),
    otherThroughput: completeTasks / seconds,
    otherP99: percentiles(complete.map(({ responseMs }) => responseMs)).p99,
    busy: tally.busyMs / (seconds * 1000 * deployment.slots * deployment.workers),
    overhead: overhead / Math.max(1, tally.started),
    heartbeats: (tally.messages.get('heartbeat') ?? 0) / Math.max(1, tally.started),
    messages: roundedCounts(tally.messages),
    rejected: roundedCounts(tally.rejected),
    outcomes: roundedCounts(outcomes),
    refusals: roundedCounts(refusals),
    urgentRefusedWhileLessUrgentRan: ordinary.filter(({ job, end, lessUrgentRunning }) =>
      end.kind === 'refused' && lessUrgentRunning && workload.rankOf(job.type) === 0).length,
    served: roundedCounts(tally.served),
    failedByWorker: tally.failedByWorker.length,
    failedBeforeOut: tally.failedByWorker.filter((at) => at <= lastOutAt || outTimes.length === 0).length,
    mostRunning: roundedCounts(tally.mostRunning),
    started: tally.started,
    decisions: roundedCounts(decisions)
  }
}
