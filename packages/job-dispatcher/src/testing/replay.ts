import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as random from '@mustarddeck/random'
import type * as runs from '@mustarddeck/runs'
import * as fleet from '../agents.ts'
import * as agentSelection from '../agent-selection.ts'
import * as runEstimates from '../estimates.ts'
import * as rackWait from '../rack-wait.ts'
import * as rackWaits from '../rack-waits.ts'
import type * as interfaces from '../interface.ts'
import * as jobs from '../jobs.ts'

export const DURATION_MS = 34_000
/** Workers that one of 9 entries sees of 58, each of which serves 4 entries. */
const WORKERS = 26
/** Part of a worker's capacity that this entry gets. */
const CAPACITY_SHARE = 0.5
const REVIEW_MS = 20
const CALLER_TIMEOUT_MS = 1500
const ANSWER_MARGIN_MS = 40
/** Time in ms after which a stopped run is reported. */
const STOP_MS = 20
/** Time in ms of a task that fails. */
const FAILURE_MS = 20
const RACKS = 4
/** Standard deviations of the logarithms of run times: of the declared time of a step, and of its tasks. */
const DEVIATION = { step: 0.4, task: 0.15, declared: 0.3 } as const
const TAIL = { share: 0.03, factor: 7 } as const
/** Runs that count as of the tail or of a fault, and not for the error of expected ends. */
const MAX_ERROR = Math.log(4)

/** A load of the page on competing callers, as one entry sees it. */
export interface Load {
  queues: Array<{ perSecond: number, tasks: number, runMs: number }>
  millicores: number
  speeds: { a: number, b: number }
  cores: { a: number, b: number }
  tail: boolean
  farFactor: number
  /** Share of jobs that name a rack. */
  rackShare: number
}

const ENTRIES = { patio: 9, nkabom: 12 } as const
export const LOADS: Record<'patio' | 'nkabom', Load> = {
  patio: {
    queues: [
      { perSecond: 144 / ENTRIES.patio, tasks: 8, runMs: 86 },
      { perSecond: 421 / ENTRIES.patio, tasks: 2, runMs: 286 },
      { perSecond: 26.3 / ENTRIES.patio, tasks: 4, runMs: 1286 }
    ],
    millicores: 5500,
    speeds: { a: 1, b: 1.3 },
    cores: { a: 64, b: 96 },
    tail: false,
    farFactor: 3,
    rackShare: 0
  },
  nkabom: {
    queues: [
      { perSecond: 127 / ENTRIES.nkabom, tasks: 8, runMs: 73 },
      { perSecond: 369 / ENTRIES.nkabom, tasks: 2, runMs: 243 },
      { perSecond: 23.1 / ENTRIES.nkabom, tasks: 4, runMs: 1086 }
    ],
    millicores: 3200,
    speeds: { a: 0.7, b: 1.7 },
    cores: { a: 32, b: 48 },
    tail: true,
    farFactor: 2,
    rackShare: 0
  }
}

/** Fault of the first worker; `cold`: of a quarter of the workers, for 5 s. */
export type Fault = 'none' | 'slow' | 'fail' | 'fail-some' | 'hang' | 'cold'
const SLOW_FACTOR = 7.5
const COLD = { factor: 2, ms: 5000, share: 0.25 } as const
const FAIL_SHARE = 0.4

export interface Policy {
  submitted (job: interfaces.Job): void
  expectedMs (task: jobs.TaskState): number
  done (task: jobs.TaskState, agent: fleet.Agent, ranMs: number): void
  failed (task: jobs.TaskState, agent: fleet.Agent, ranMs: number): void
  isOverdue (task: jobs.TaskState, agent: fleet.Agent, answerBy: number): boolean
  jobEnded (job: jobs.JobState): void
}

export interface Environment {
  timers: clock.Timers
  agents: fleet.Agents
  farFactor: number
  onRotation (event: string, agent: fleet.Agent): void
}

export type CreatePolicy = (environment: Environment) => Policy

export interface Options {
  load: Load
  fault: Fault
  faultAt: number
  seed: number
  createPolicy: CreatePolicy
}

export interface Result {
  /** `worker-out` events of workers without a fault. */
  wrongEvents: number
  /** Until the faulty worker left rotation, from the fault on: runs ordered there, those that ended there, and ms. */
  detection: { ordered: number, ended: number, ms: number } | undefined
  /** Absolute logarithms of run time over the time expected at the order, without runs of the tail. */
  errors: number[]
  /** Runs that were stopped as overdue on workers without a fault, and those that would still have ended in time. */
  stopped: number
  stoppedInVain: number
  completed: number
  jobs: number
}

interface Run {
  task: jobs.TaskState
  agent: fleet.Agent
  endsAt: number
  cancel: clock.Cancellation
  expectedMs: number
}

/** Runs the load on simulated workers under a policy that expects run times and judges workers. */
export const run = ({ load, fault, faultAt, seed, createPolicy }: Options): Result => {
  const timers = clock.createVirtual()
  const source = random.create(seed)
  const normal = (generator: random.Random): number =>
    Math.sqrt(-2 * Math.log(1 - generator.float())) * Math.cos(2 * Math.PI * generator.float())
  const agents = fleet.create()
  const result: Result = {
    wrongEvents: 0, detection: undefined, errors: [], stopped: 0, stoppedInVain: 0, completed: 0, jobs: 0
  }
  const seen = { ordered: 0, ended: 0 }
  const running = new Set<Run>()
  const open = new Set<jobs.JobState>()
  const waiting = new Set<jobs.JobState>()
  const factorOf = new Map<string, number>()

  const all = Array.from({ length: WORKERS }, (_, index) => {
    const type = index % 3 === 2 ? 'b' : 'a'
    const agent = agents.up(index + 1, `agent-${index}`, 'incarnation')
    const capacity = {
      millicores: load.cores[type] * 1000 * CAPACITY_SHARE, memoryMb: 128_000, accelerators: 0
    }
    const worker: runs.Worker = {
      id: `i-${index}` as runs.WorkerId,
      bornMs: 1,
      service: 'corkbook',
      zone: 'khangai-a',
      capacity,
      labels: [type, `rack-${index % RACKS}`],
      leaving: false
    }
    agents.update(agent, { kind: 'room', sequence: 0, sharers: 4, worker, free: capacity })
    factorOf.set(agent.name, 1 / load.speeds[type])
    return agent
  })
  const faulty = all[0]!
  const hasFault = (agent: fleet.Agent): boolean =>
    agent === faulty && timers.monotonic() >= faultAt && fault !== 'none' && fault !== 'cold'
  const isCold = (agent: fleet.Agent): boolean => {
    const now = timers.monotonic()
    return fault === 'cold' && all.indexOf(agent) < WORKERS * COLD.share && now >= faultAt && now < faultAt + COLD.ms
  }
  const policy = createPolicy({
    timers,
    agents,
    farFactor: load.farFactor,
    onRotation: (event, agent) => {
      if (event !== 'worker-out') return
      if (!hasFault(agent)) result.wrongEvents++
      else result.detection ??= { ...seen, ms: Math.round(timers.monotonic() - faultAt) }
    }
  })

  const release = ({ task, agent, cancel }: Run): void => {
    cancel()
    agent.tasks.delete(task.task.id)
    jobs.adjustPlaced(task, agent, -1)
    agents.removeOrder(agent, task.task.id)
    if (hasFault(agent) && task.orderedAt >= faultAt) seen.ended++
  }
  const retry = (task: jobs.TaskState): void => {
    task.phase = task.job.ended ? 'done' : 'waiting'
    if (!task.job.ended) waiting.add(task.job)
  }
  const endJob = (job: jobs.JobState): void => {
    if (job.ended) return
    job.ended = true
    open.delete(job)
    waiting.delete(job)
    for (const entry of [...running]) {
      if (entry.task.job !== job) continue
      running.delete(entry)
      entry.cancel()
      entry.task.phase = 'done'
      timers.after(STOP_MS, () => release(entry))
    }
    policy.jobEnded(job)
  }
  const ended = (entry: Run, failed: boolean): void => {
    running.delete(entry)
    release(entry)
    const { task, agent } = entry
    const ranMs = timers.monotonic() - task.orderedAt
    if (failed) {
      policy.failed(task, agent, ranMs)
      return retry(task)
    }
    const error = Math.log(ranMs / entry.expectedMs)
    if (!hasFault(agent) && Math.abs(error) < MAX_ERROR) result.errors.push(Math.abs(error))
    task.phase = 'done'
    policy.done(task, agent, ranMs)
    if (!jobs.complete(task.job, task)) return
    result.completed++
    endJob(task.job)
  }
  const order = (task: jobs.TaskState, agent: fleet.Agent, runMs: number, attempt: random.Random): void => {
    const now = timers.monotonic()
    const place = runEstimates.placeOf(task.task, agent.name, agent.worker!)
    Object.assign(task, { phase: 'ordered', agent, place, orders: task.orders + 1, order: task.orders + 1, orderedAt: now })
    agent.tasks.set(task.task.id, task)
    jobs.adjustPlaced(task, agent, 1)
    agents.order(agent, task.task.id, task.task.amount)
    if (hasFault(agent)) seen.ordered++
    let ms = runMs * Math.exp(normal(attempt) * DEVIATION.task) * factorOf.get(agent.name)!
    if (place.far) ms *= load.farFactor
    if (load.tail && attempt.float() < TAIL.share) ms *= TAIL.factor
    if (isCold(agent)) ms *= COLD.factor
    const fails = hasFault(agent) && (fault === 'fail' || (fault === 'fail-some' && attempt.float() < FAIL_SHARE))
    if (hasFault(agent) && fault === 'slow') ms *= SLOW_FACTOR
    if (hasFault(agent) && fault === 'hang') ms = Infinity
    if (fails) ms = FAILURE_MS
    const entry: Run = { task, agent, endsAt: now + ms, cancel: () => {}, expectedMs: policy.expectedMs(task) }
    running.add(entry)
    if (ms < Infinity) entry.cancel = timers.after(ms, () => ended(entry, fails))
  }
  const waits = rackWaits.create({ timers, log: logging.create({ level: 'error' }), onRackWait: () => {} })
  const runMsOf = new Map<runs.TaskId, { ms: number, source: random.Random }>()
  const place = (): void => {
    const situation: agentSelection.SelectionContext = {
      ...agentSelection.createPass(timers.monotonic()),
      zone: 'khangai-a',
      candidates: all,
      policy: new rackWait.NeverWait(),
      waits,
      // Both policies place alike, so that they differ in what they learn only.
      expectedRunMs: (_task, _agent, far) => far ? load.farFactor : 1
    }
    for (const job of [...waiting]) {
      let unplaced = 0
      for (const task of job.tasks) {
        if (task.phase !== 'waiting') continue
        const agent = agentSelection.chooseAgent(agents, task, situation)
        const { ms, source: attempt } = runMsOf.get(task.task.id)!
        if (agent && !rackWait.isWait(agent)) order(task, agent, ms, attempt)
        else unplaced++
      }
      if (unplaced === 0) waiting.delete(job)
    }
  }
  const submit = (queueIndex: number, generator: random.Random): void => {
    const { tasks: meanTasks, runMs } = load.queues[queueIndex]!
    const name = `queue-${queueIndex}` as interfaces.QueueName
    const queue = { name, service: 'corkbook', priority: queueIndex, maxAttempts: 3, stretch: 1.6, objectiveMs: 60 }
    const key = (++result.jobs).toString(16).padStart(16, '0') as runs.JobKey
    const count = Math.min(4 * meanTasks, Math.max(1, Math.round(generator.exponential(meanTasks))))
    const estimateMs = runMs * Math.exp(normal(generator) * DEVIATION.declared - DEVIATION.declared ** 2 / 2)
    const stepMs = estimateMs * Math.exp(normal(generator) * DEVIATION.step)
    const rack = generator.float() < load.rackShare ? `rack-${generator.integer(0, RACKS - 1)}` : undefined
    const tasks = Array.from({ length: count }, (_, index): interfaces.Task => {
      const id = `${key}.0.0.${index}` as runs.TaskId
      runMsOf.set(id, { ms: stepMs, source: generator.fork() })
      const amount = { millicores: load.millicores, memoryMb: 64, accelerators: 0 }
      return { id, amount, estimateMs, label: undefined, rack }
    })
    const steps = [{ after: [], maxPerWorker: Infinity, tasks }]
    const job: interfaces.Job = { key, queue, spec: '', callerTimeoutMs: CALLER_TIMEOUT_MS, steps }
    policy.submitted(job)
    const state = jobs.create(job, timers.monotonic(), ({ estimateMs: ms }) => ms, () => {})
    open.add(state)
    waiting.add(state)
    place()
  }
  load.queues.forEach(({ perSecond }, index) => {
    const generator = source.fork()
    const arrive = (): void => {
      timers.after(generator.exponential(1000 / perSecond), () => {
        submit(index, generator.fork())
        arrive()
      })
    }
    arrive()
  })
  const review = (): void => {
    const now = timers.monotonic()
    for (const job of [...open]) if (now >= job.callerDeadline - ANSWER_MARGIN_MS) endJob(job)
    for (const entry of [...running]) {
      const { task, agent } = entry
      const answerBy = task.job.callerDeadline - ANSWER_MARGIN_MS
      if (!policy.isOverdue(task, agent, answerBy)) continue
      if (!hasFault(agent)) {
        result.stopped++
        if (entry.endsAt <= answerBy) result.stoppedInVain++
      }
      running.delete(entry)
      entry.cancel()
      task.phase = 'stopping'
      task.avoidedAgents.add(agent.name)
      timers.after(STOP_MS, () => {
        release(entry)
        retry(task)
      })
    }
    place()
    timers.after(REVIEW_MS, review)
  }
  review()
  timers.advance(DURATION_MS)
  return result
}
