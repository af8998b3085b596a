import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as random from '@mustarddeck/random'
import * as runAgent from '@mustarddeck/run-agent'
import * as runs from '@mustarddeck/runs'
import * as fleetDiscovery from '../fleet-discovery.ts'
import * as jobDispatcher from '../index.ts'

/** A third of a deployment of docs/design/competing-callers.md, so that a replay takes seconds. */
const ENTRIES = 6
const ENTRIES_PER_AGENT = 4
const WORKERS = 20
const SCALE = WORKERS / 58
const LINK_MS = 1
/** Workers of label `a` and `b`: capacity in millicores and speed. */
const TYPES = [{ millicores: 64_000, speed: 1 }, { millicores: 64_000, speed: 1 }, { millicores: 96_000, speed: 1.3 }]
/** Capacity of all workers in millicores at speed 1. */
const CAPACITY = Array.from({ length: WORKERS }, (_, index) => TYPES[index % TYPES.length]!)
  .reduce((sum, { millicores, speed }) => sum + millicores * speed, 0)
/** Standard deviations of the logarithm of the declared over the actual run time: by job, and among its tasks. */
const JOB_SPREAD = 0.4
const TASK_SPREAD = 0.15
/** Time in ms that callers wait, unless an option says otherwise. */
const CALLER_TIMEOUT_MS = 1500
/** Time in ms for which a leaving worker stays. */
const NOTICE_MS = 2000
/** Time in ms after the arrival of the first job from which jobs count, when the estimates have been learned. */
const WARM_UP_MS = 1000
const WINDOW_MS = 2000
/** Time in ms after the last deadline until all runs have ended. */
const END_MS = 2000
/** Time in ms after the last arrival for which callers that retry are replayed. */
const RETRY_MS = 60_000
/** Submissions of one job, by callers that obey `Retry-After`. */
const MAX_ATTEMPTS = 4
const OBJECTIVE = { stretch: 1.6, objectiveMs: 60 }
/** Queues by priority: jobs a second, mean number of tasks, run time in ms and millicores of a task. */
const QUEUES = [
  { perSecond: 144, tasks: 8, runMs: 86, millicores: 5500 },
  { perSecond: 421, tasks: 2, runMs: 286, millicores: 5500 },
  { perSecond: 26.3, tasks: 4, runMs: 1286, millicores: 5500 }
]

/** Load of one queue that is `factor` times as high from `fromMs` on for `durationMs`. */
export interface Burst {
  priority: number
  factor: number
  fromMs: number
  durationMs: number
}

export interface Scenario {
  name: string
  /** Rate of all queues relative to a calm day. */
  load: number
  burst?: Burst
  /** Number of workers that announce at `fromMs` that they leave. */
  leaving?: { count: number, fromMs: number }
  durationMs: number
}

/** The loads of the page: a calm day, the events of the heaviest days, and one that the urgent queues fill alone. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'calm day', load: 1, durationMs: 8000 },
  { name: '1.6 times the load', load: 1.6, durationMs: 8000 },
  {
    name: 'burst of queue 2',
    load: 1.6,
    burst: { priority: 2, factor: 2.5, fromMs: 2000, durationMs: 6000 },
    durationMs: 10_000
  },
  {
    name: 'burst of queue 0',
    load: 1.6,
    burst: { priority: 0, factor: 1.8, fromMs: 2000, durationMs: 3000 },
    durationMs: 8000
  },
  {
    name: 'workers leave in a burst',
    load: 1.6,
    burst: { priority: 2, factor: 2.5, fromMs: 2000, durationMs: 6000 },
    leaving: { count: 3, fromMs: 3000 },
    durationMs: 10_000
  },
  { name: '4 times the load', load: 4, durationMs: 6000 }
]

export interface Options {
  scenario: Scenario
  seed: number
  /** Options of the dispatchers beside those that the replay sets. */
  dispatcher?: Partial<jobDispatcher.Options>
  /** Queue as the dispatchers see it; the outcome is judged by the original one. */
  queueOf?: (queue: jobDispatcher.Queue) => jobDispatcher.Queue
  callerTimeoutMs?: number
  /** Callers submit a refused job again after `Retry-After`, in whole seconds. */
  retries?: boolean
}

/** Numbers of jobs by the outcome that their callers saw. */
export interface Counts {
  jobs: number
  inTime: number
  late: number
  refused: number
}

export interface Result {
  all: Counts
  /** By priority. */
  queues: Counts[]
  /** The tenth of each queue's jobs with the most work, and the fifth below it. */
  largest: Counts[]
  large: Counts[]
  /** Share of the jobs in the worst window of `WINDOW_MS` that were answered in time. */
  worstWindow: number
  /** Score as on the page: a late answer counts a fifth. */
  score: number
  /** Work submitted in each second, retries included, relative to the capacity. */
  offered: number[]
}

interface CallerJob {
  queue: number
  work: number
  arrivedAt: number
  objectiveMs: number
  outcome: 'inTime' | 'late' | 'refused' | undefined
}

const count = (jobs: CallerJob[]): Counts => ({
  jobs: jobs.length,
  inTime: jobs.filter(({ outcome }) => outcome === 'inTime').length,
  late: jobs.filter(({ outcome }) => outcome === 'late').length,
  refused: jobs.filter(({ outcome }) => outcome === 'refused' || outcome === undefined).length
})

/** Replays seeded arrivals of a scenario on entries that share agents, in virtual time and without processes. */
export const replay = ({
  scenario, seed, dispatcher = {}, queueOf = (queue) => queue, callerTimeoutMs = CALLER_TIMEOUT_MS, retries = false
}: Options): Result => {
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const log = logging.create({ level: 'error' })
  const generator = random.create(seed)
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - generator.float())) * Math.cos(2 * Math.PI * generator.float())
  const runMsByTask = new Map<runs.TaskId, number>()
  const callerJobs: CallerJob[] = []
  const offered: number[] = []
  const entries: jobDispatcher.Dispatcher[] = []

  /** A worker and its agent, which reports ends and offers capacity as the real one does. */
  const createAgent = (link: number) => {
    const { millicores, speed } = TYPES[link % TYPES.length]!
    const capacity = { millicores, memoryMb: 128_000, accelerators: 0 }
    const worker: runs.Worker = {
      id: `i-${link}` as runs.WorkerId,
      bornMs: 1,
      service: 'corkbook',
      zone: `zone-${link % 4}`,
      capacity,
      labels: [],
      leaving: false
    }
    const linked = new Set<number>()
    const running = new Map<runs.TaskId, clock.Cancellation>()
    let free = capacity
    let gone = false
    const send = (entry: number, message: runs.FromAgent): void => {
      timers.after(LINK_MS, () => { if (!gone) entries[entry]!.receive(link, message) })
    }
    let current = worker
    const currentCapacity = () => ({ worker: current, free })
    const updates = runAgent.capacityUpdates.create({ timers, send, currentCapacity })
    const end = (
      entry: number, { task, order, run }: runs.RequestedTask, kind: runs.RunEnd, ranMs: number, reason?: string
    ): void => {
      send(entry, { kind: 'ended', task, order, run: kind === 'unstarted' ? 0 : run, end: kind, ranMs, reason })
      updates.piggyback(entry)
    }
    const release = (task: runs.TaskId, amount: runs.Resources): void => {
      running.delete(task)
      free = runs.add(free, amount)
      updates.runEnded()
    }
    const start = (entry: number, requested: runs.RequestedTask): void => {
      const { task, amount } = requested
      if (running.has(task) || !runs.fits(amount, free)) return end(entry, requested, 'unstarted', 0, 'no-room')
      free = runs.subtract(free, amount)
      const startedAt = timers.monotonic()
      const stop = timers.after(runMsByTask.get(task)! / speed, () => {
        release(task, amount)
        end(entry, requested, 'done', timers.monotonic() - startedAt)
      })
      running.set(task, () => {
        stop()
        release(task, amount)
        end(entry, requested, 'stopped', timers.monotonic() - startedAt)
      })
    }
    return {
      link,
      linked,
      up: (entry: number): void => {
        linked.add(entry)
        entries[entry]!.agentUp(link, worker.id, 'incarnation')
        updates.up(entry)
      },
      receive: (entry: number, message: runs.ToAgent): void => {
        if (gone) return
        if (message.kind === 'want') return updates.setDemand(entry, message.urgency)
        if (message.kind === 'stop') return message.tasks.forEach((task) => running.get(task)?.())
        updates.ordered(entry, message.sequence)
        for (const requested of message.tasks) start(entry, requested)
        updates.changed()
      },
      leave: (): void => {
        current = { ...worker, leaving: true }
        updates.changed()
        timers.after(NOTICE_MS, () => {
          gone = true
          for (const entry of linked) entries[entry]!.agentDown(link, timers.monotonic())
        })
      }
    }
  }
  const agents = Array.from({ length: WORKERS }, (_, link) => createAgent(link))
  for (let index = 0; index < ENTRIES; index++) {
    entries.push(jobDispatcher.create({
      timers,
      log,
      zone: `zone-${index % 4}`,
      lapseAfterMs: runAgent.LAPSE_AFTER_MS,
      send: (link, message) => { timers.after(LINK_MS, () => agents[link]!.receive(index, message)) },
      onJobEnd: () => {},
      onRefusedOrder: () => {},
      ...dispatcher
    }))
  }
  for (const agent of agents) {
    const order = Array.from({ length: ENTRIES }, (_, index) => ({ index, rank: generator.float() }))
    order.sort((left, right) => left.rank - right.rank)
    for (const { index } of order.slice(0, ENTRIES_PER_AGENT)) agent.up(index)
  }
  timers.advance(fleetDiscovery.START_MS)
  const startedAt = timers.monotonic()

  const submit = (job: jobDispatcher.Job, callerJob: CallerJob, attempt: number): void => {
    const sentAt = timers.monotonic()
    const second = Math.floor((sentAt - startedAt) / 1000)
    const { runMs, millicores } = QUEUES[callerJob.queue]!
    offered[second] = (offered[second] ?? 0) + callerJob.work * runMs * millicores / 1000 / CAPACITY
    generator.pick(entries).submit(job, (outcome) => {
      const tookMs = timers.monotonic() - sentAt
      if (outcome.kind === 'completed') callerJob.outcome = tookMs <= callerJob.objectiveMs ? 'inTime' : 'late'
      else callerJob.outcome = 'refused'
      if (retries && outcome.kind === 'not-run' && attempt < MAX_ATTEMPTS) {
        timers.after(Math.ceil(outcome.retryAfterMs / 1000) * 1000, () => submit(job, callerJob, attempt + 1))
      }
    })
  }
  const createJob = (priority: number): void => {
    const { tasks: meanTasks, runMs, millicores } = QUEUES[priority]!
    const key = callerJobs.length.toString(16).padStart(16, '0') as runs.JobKey
    const tasks = Math.min(4 * meanTasks, 1 + Math.floor(generator.exponential(meanTasks - 0.5)))
    const estimateMs = Math.round(runMs * Math.exp(JOB_SPREAD * normal() - JOB_SPREAD ** 2 / 2))
    const amount = { millicores, memoryMb: 64, accelerators: 0 }
    const job: jobDispatcher.Job = {
      key,
      queue: queueOf({
        name: `queue-${priority}` as jobDispatcher.QueueName, service: 'corkbook', priority, maxAttempts: 3, ...OBJECTIVE
      }),
      spec: '',
      callerTimeoutMs,
      steps: [{
        after: [],
        maxPerWorker: Infinity,
        tasks: Array.from({ length: tasks }, (_, index) => {
          const id = `${key}.0.0.${index}` as runs.TaskId
          runMsByTask.set(id, runMs * Math.exp(TASK_SPREAD * normal()))
          return { id, amount, estimateMs, label: undefined, rack: undefined }
        })
      }]
    }
    const callerJob: CallerJob = {
      queue: priority,
      work: tasks,
      arrivedAt: timers.monotonic() - startedAt,
      objectiveMs: OBJECTIVE.stretch * runMs + OBJECTIVE.objectiveMs,
      outcome: undefined
    }
    callerJobs.push(callerJob)
    submit(job, callerJob, 1)
  }
  const { load, burst, leaving, durationMs } = scenario
  /** Arrivals at the highest rate of the queue, of which those above the rate of the moment are left out. */
  const arrive = (priority: number): void => {
    const elapsedMs = timers.monotonic() - startedAt
    if (elapsedMs >= durationMs) return
    const peak = burst?.priority === priority ? burst.factor : 1
    const inBurst = burst && elapsedMs >= burst.fromMs && elapsedMs < burst.fromMs + burst.durationMs
    if (inBurst || generator.float() * peak < 1) createJob(priority)
    const perSecond = QUEUES[priority]!.perSecond * SCALE * load * peak
    timers.after(generator.exponential(1000 / perSecond), () => arrive(priority))
  }
  QUEUES.forEach((_, priority) => arrive(priority))
  if (leaving) timers.after(leaving.fromMs, () => agents.slice(0, leaving.count).forEach((agent) => agent.leave()))
  timers.advance(durationMs + callerTimeoutMs + END_MS + (retries ? RETRY_MS : 0))
  for (const entry of entries) entry.stop()

  const counted = callerJobs.filter(({ arrivedAt }) => arrivedAt >= WARM_UP_MS)
  const byQueue = QUEUES.map((_, priority) => counted.filter(({ queue }) => queue === priority))
  const bySize = byQueue.map((jobs) => [...jobs].sort((left, right) => right.work - left.work))
  const all = count(counted)
  let worstWindow = 1
  for (let from = WARM_UP_MS; from + WINDOW_MS <= durationMs; from += 500) {
    const window = count(counted.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < from + WINDOW_MS))
    worstWindow = Math.min(worstWindow, (window.inTime + 0.2 * window.late) / window.jobs)
  }
  return {
    all,
    queues: byQueue.map(count),
    largest: bySize.map((jobs) => count(jobs.slice(0, Math.round(jobs.length * 0.1)))),
    large: bySize.map((jobs) => count(jobs.slice(Math.round(jobs.length * 0.1), Math.round(jobs.length * 0.3)))),
    worstWindow,
    score: (all.inTime + 0.2 * all.late) / all.jobs,
    offered: Array.from(offered, (value) => value ?? 0)
  }
}
