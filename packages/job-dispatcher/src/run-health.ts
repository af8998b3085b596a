import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import * as placement from '@mustarddeck/placement'
import type * as types from '@mustarddeck/types'
import type * as fleet from './agents.ts'
import type * as runEstimates from './estimates.ts'
import type * as interfaces from './interface.ts'
import type * as jobs from './jobs.ts'
import * as overdueRuns from './overdue-runs.ts'

/** Largest factor of a worker that the bound for its late runs allows for; one that is slower counts as faulty. */
const MAX_WORKER_FACTOR = 2

export interface Options {
  timers: clock.Clock
  log: log.Log
  agents: fleet.Agents
  estimates: runEstimates.Estimates
  onRotation (event: placement.health.RotationEvent): void
  onLateRun (kind: LateRun): void
}

/** `late`: the run is longer than expected and goes on. `stopped`: it is to be started elsewhere. */
export type LateRun = 'late' | 'stopped'

/** Cause for which a worker left rotation, or run that brought it back. */
type Cause = 'failures' | 'run-time' | 'late-run'

interface LateEnd {
  order: number
  worker: placement.health.WorkerHealth
  deviation: placement.runTimeModel.Deviation
}

/** Judges workers by the runs on them, and runs by what is expected of their workers. */
export interface RunHealth {
  /** The run has ended `done`. */
  done (task: jobs.TaskState, agent: fleet.Agent, ranMs: number): void
  failed (task: jobs.TaskState, agent: fleet.Agent, ranMs: number): void
  /** Notes a run that is late. Returns true if it is to be stopped. `answerBy`: monotonic ms of the latest answer. */
  isOverdue (task: jobs.TaskState, agent: fleet.Agent, answerBy: number): boolean
  /** Judges the runs of an ended job that have not been judged. */
  jobEnded (job: jobs.JobState): void
}

const typeOf = (queue: interfaces.QueueName): types.TaskTypeName => queue as unknown as types.TaskTypeName

export const create = ({ timers, log, agents, estimates, onRotation, onLateRun }: Options): RunHealth => {
  const evidence = placement.slowness.create()
  const comparisons = new WeakMap<jobs.JobState, placement.slowness.Comparison[]>()
  const lateRuns = new WeakMap<jobs.TaskState, LateEnd>()
  /** Monotonic ms of the latest end of a run. */
  const lastEndAt = new WeakMap<placement.health.WorkerHealth, number>()
  const agentsByHealth = new WeakMap<placement.health.WorkerHealth, string>()

  const comparisonOf = ({ job, step }: jobs.TaskState): placement.slowness.Comparison => {
    let ofJob = comparisons.get(job)
    if (!ofJob) {
      ofJob = job.job.steps.map(({ tasks }) => evidence.compare(typeOf(job.job.queue.name), tasks.length))
      comparisons.set(job, ofJob)
    }
    return ofJob[step]!
  }
  const note = (
    event: placement.health.RotationEvent | undefined, worker: placement.health.WorkerHealth, cause: Cause,
    queue: interfaces.QueueName, seen: { ranMs?: number, expectedMs?: number, slowdown?: number }
  ): void => {
    if (!event) return
    const { failureEvidence, slownessEvidence } = worker
    const [ranMs, expectedMs] = [seen.ranMs, seen.expectedMs].map((ms) => ms && Math.round(ms))
    log.warn(event, {
      agent: agentsByHealth.get(worker),
      queue,
      cause,
      expectedMs,
      ranMs,
      slowdown: seen.slowdown && Number(seen.slowdown.toFixed(2)),
      failureEvidence: Number(failureEvidence.toFixed(1)),
      slownessEvidence: Number(slownessEvidence.toFixed(1))
    })
    onRotation(event)
  }
  const revise = (
    verdicts: placement.slowness.Verdict[], cause: Cause, queue: interfaces.QueueName,
    seen: { ranMs?: number, expectedMs?: number } = {}
  ): void => {
    for (const verdict of verdicts) {
      const event = agents.health.revise(verdict.worker, verdict, timers.monotonic())
      note(event, verdict.worker, cause, queue, { ...seen, slowdown: verdict.slowdown })
    }
  }
  const prepare = (agent: fleet.Agent): placement.health.WorkerHealth => {
    agent.health.running = agent.tasks.size
    agentsByHealth.set(agent.health, agent.name)
    return agent.health
  }
  /** False if the worker has restarted since the order: the run tells nothing about its new incarnation. */
  const isCurrent = ({ place }: jobs.TaskState, agent: fleet.Agent): boolean =>
    place !== undefined && (agent.worker === undefined || agent.worker.bornMs === place.worker.bornMs)
  const expectedOf = ({ job, task, place }: jobs.TaskState): number =>
    estimates.expectedOfTypeMs(job.job.queue.name, task, place!, MAX_WORKER_FACTOR)
  const lateRun = (state: jobs.TaskState): LateEnd | undefined => {
    const late = lateRuns.get(state)
    return late?.order === state.order ? late : undefined
  }
  const markLate = (state: jobs.TaskState, agent: fleet.Agent, ranMs: number): void => {
    const queue = state.job.job.queue.name
    const worker = prepare(agent)
    const deviation = estimates.deviation(queue, state.task, ranMs, state.place!)
    lateRuns.set(state, { order: state.order, worker, deviation })
    onLateRun('late')
    worker.suspect = true
    const verdicts = evidence.add(comparisonOf(state), worker, deviation, true)
    revise(verdicts, 'late-run', queue, { ranMs, expectedMs: expectedOf(state) })
  }
  return {
    done: (state, agent, ranMs) => {
      if (!isCurrent(state, agent)) return
      const queue = state.job.job.queue.name
      const expectedMs = expectedOf(state)
      const worker = prepare(agent)
      const deviation = estimates.deviation(queue, state.task, ranMs, state.place!)
      estimates.record(queue, state.task, ranMs, state.place!)
      lastEndAt.set(worker, timers.monotonic())
      const late = lateRun(state)
      const comparison = comparisonOf(state)
      const verdicts = late
        ? evidence.end(comparison, late.worker, late.deviation, deviation)
        : evidence.add(comparison, worker, deviation, false)
      const slowness = verdicts.find((verdict) => verdict.worker === worker)
      const result = { type: typeOf(queue), failed: false, runMs: ranMs, slowness }
      const event = agents.health.record(worker, result, timers.monotonic())
      note(event, worker, 'run-time', queue, { ranMs, expectedMs, slowdown: slowness?.slowdown })
      revise(verdicts.filter((verdict) => verdict !== slowness), 'run-time', queue)
    },
    failed: (state, agent, ranMs) => {
      const queue = state.job.job.queue.name
      const worker = prepare(agent)
      const result = { type: typeOf(queue), failed: true, runMs: ranMs }
      const event = agents.health.record(worker, result, timers.monotonic())
      note(event, worker, 'failures', queue, { ranMs })
    },
    isOverdue: (state, agent, answerBy) => {
      if (!state.place) return false
      const { job, task, orderedAt } = state
      const ranMs = timers.monotonic() - orderedAt
      const expectedMs = expectedOf(state)
      const run = {
        expectedMs,
        elsewhereMs: estimates.expectedRunMs(job.job.queue.name, task),
        usefulMs: answerBy - orderedAt,
        onFaultyWorker: agent.health.out,
        workerIsActive: (lastEndAt.get(agent.health) ?? -Infinity) > orderedAt,
        hasTail: evidence.hasTail(agent.health, typeOf(job.job.queue.name))
      }
      const late = lateRun(state)
      if (!late && ranMs > overdueRuns.lateAfterMs(run, false)) {
        // The run has most likely started, even if its agent can no longer report so.
        job.mayHaveStarted = true
        markLate(state, agent, ranMs)
        for (const other of agent.tasks.values()) {
          const otherMs = timers.monotonic() - other.orderedAt
          if (other.phase !== 'ordered' || lateRun(other) || !other.place) continue
          if (otherMs > overdueRuns.lateAfterMs({ expectedMs: expectedOf(other) }, true)) {
            markLate(other, agent, otherMs)
          }
        }
      }
      if (ranMs <= overdueRuns.stopAfterMs({ ...run, onFaultyWorker: agent.health.out })) return false
      log.warn('run-overdue', {
        task: task.id,
        agent: agent.name,
        expectedMs: Math.round(expectedMs),
        ranMs: Math.round(ranMs),
        usefulMs: Math.round(run.usefulMs)
      })
      onLateRun('stopped')
      state.avoidedAgents.add(agent.name)
      return true
    },
    jobEnded: (job) => {
      for (const { tasks } of job.job.steps) estimates.endStep(tasks)
      for (const comparison of comparisons.get(job) ?? []) revise(evidence.close(comparison), 'run-time', job.job.queue.name)
    }
  }
}
