import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as random from '@mustarddeck/random'
import * as runAgent from '@mustarddeck/run-agent'
import type * as runs from '@mustarddeck/runs'
import * as standIn from '@mustarddeck/worker-stand-in'
import * as fleetDiscovery from '../fleet-discovery.ts'
import * as jobDispatcher from '../index.ts'
import type * as rackWait from '../rack-wait.ts'

const ENTRIES = 4
/** Entries that an agent links to: each entry reaches half of the workers. */
const LINKS_PER_AGENT = 2
const RACKS = 4
const WORKERS_PER_RACK = 4
const TASKS_PER_WORKER = 6
const LINK_MS = 2
const AMOUNT = { millicores: 2500, memoryMb: 64, accelerators: 0 }
const CALLER_TIMEOUT_MS = 5000
/** Standard deviation of the logarithm of the error of a job's declared run time, and of its tasks among themselves. */
const ERROR = { job: 0.4, task: 0.15 }
/** Share of the tasks that take `TAIL_FACTOR` times as long, where the replay has a tail. */
const TAIL_SHARE = 0.03
const TAIL_FACTOR = 7
/** Kinds of jobs with the run time of a task in ms and the share of all jobs; as on the sites, short jobs are wider. */
const KINDS = [
  { priority: 0, runMs: 86, tasks: 8, share: 0.25 },
  { priority: 1, runMs: 286, tasks: 2, share: 0.7 },
  { priority: 2, runMs: 1286, tasks: 4, share: 0.05 }
]
const MEAN_WORK_MS = KINDS.reduce((sum, { runMs, tasks, share }) => sum + runMs * tasks * share, 0)
/** Shares of jobs with data on the first rack, which has a quarter of the workers, and of jobs that form a group. */
const SHARES = { data: 0.3, group: 0.1 }

export type Wish = 'data' | 'group' | 'none'

export interface Figures {
  jobs: number
  inTime: number
  late: number
  notServed: number
  /** Quantiles in ms of the response times of served jobs. */
  p50: number
  p90: number
  /** Value per job: 1 for an answer within the objective, 0.2 for a later one. */
  value: number
}

export interface Options {
  seed: number
  load: number
  farFactor: number
  durationMs: number
  policy?: rackWait.Policy
  /** Speed of each worker type; types alternate so that each third worker has the last one. */
  speeds?: readonly [slow: number, fast: number]
  withTail?: boolean
  withRacks?: boolean
}

export interface Result {
  byWish: Record<Wish, Figures>
  all: Figures
  waits: Map<string, number>
  violations: string[]
  startMessages: number
  starts: number
}

interface End {
  wish: Wish
  tookMs: number
  end: 'inTime' | 'late' | 'notServed'
}

const figuresOf = (ends: readonly End[]): Figures => {
  const served = ends.filter(({ end }) => end !== 'notServed')
  const times = served.map(({ tookMs }) => tookMs).sort((left, right) => left - right)
  const count = (kind: End['end']): number => ends.filter(({ end }) => end === kind).length
  const quantile = (share: number): number => Math.round(times[Math.floor(share * (times.length - 1))] ?? NaN)
  const [inTime, late] = [count('inTime'), count('late')]
  return {
    jobs: ends.length,
    inTime,
    late,
    notServed: count('notServed'),
    p50: quantile(0.5),
    p90: quantile(0.9),
    value: (inTime + 0.2 * late) / ends.length
  }
}

/** Replays seeded arrivals at `load` times the capacity on real entries and agents with simulated workers. */
export const replay = async (options: Options): Promise<Result> => {
  const { seed, load, farFactor, durationMs, policy, speeds = [1, 1], withTail = false, withRacks = true } = options
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const generator = random.create(seed)
  const site = standIn.createSite()
  const log = logging.create({ level: 'error' })
  const startMessages = { count: 0 }
  const waits = new Map<string, number>()
  /** Run time of a task on a worker of speed 1 near its data, and what lengthens it. */
  const taskFacts = new Map<runs.TaskId, { runMs: number, rack: string | undefined, group: Set<string> | undefined }>()
  const wishes = new Map<runs.JobKey, Wish>()
  const ends: End[] = []

  const typeOf = (index: number): number => index % 3 === 2 ? 1 : 0
  const workers = Array.from({ length: RACKS * WORKERS_PER_RACK }, (_, index) => {
    const rack = `rack-${index % RACKS}`
    const type = typeOf(index)
    const worker = standIn.create({
      id: `i-${index}`,
      capacity: { millicores: AMOUNT.millicores * TASKS_PER_WORKER, memoryMb: 10_000, accelerators: 0 },
      resourcesOf: () => AMOUNT,
      // A run that began before its group was spread isn't lengthened.
      runMsOf: (task) => {
        const { runMs, rack: near = rack, group } = taskFacts.get(task)!
        group?.add(rack)
        const isFar = near !== rack || (group !== undefined && group.size > 1)
        return runMs * (isFar ? farFactor : 1) / speeds[type]!
      },
      site,
      timers
    })
    const send = (entry: number, message: runs.FromAgent): void => {
      timers.after(LINK_MS, () => entries[entry]!.receive(index, message))
    }
    const agent = runAgent.create({
      calls: worker.calls,
      maxLeaseMs: standIn.MAX_LEASE_MS,
      timers,
      log,
      send,
      closeExpiredLinks: () => {},
      onWorkerChange: () => {},
      onRunEnd: () => {}
    })
    const labels = [`type-${type}`, rack]
    return { agent, worker, labels }
  })
  const entries = Array.from({ length: ENTRIES }, (_, index) => jobDispatcher.create({
    timers,
    log,
    zone: 'khangai-a',
    lapseAfterMs: runAgent.LAPSE_AFTER_MS,
    farFactor,
    ...(policy && { waitPolicy: policy }),
    send: (link, message) => {
      if (message.kind === 'start') startMessages.count++
      timers.after(LINK_MS, () => workers[link]!.agent.receive(index, message))
    },
    onJobEnd: ({ key, queue: { stretch, objectiveMs }, steps }, { kind }, tookMs) => {
      const objective = steps[0]!.tasks[0]!.estimateMs * stretch + objectiveMs
      const end = kind !== 'completed' ? 'notServed' : tookMs <= objective ? 'inTime' : 'late'
      ends.push({ wish: wishes.get(key)!, tookMs, end })
    },
    onRefusedOrder: () => {},
    onRackWait: (outcome) => waits.set(outcome, (waits.get(outcome) ?? 0) + 1)
  }))
  for (const [link, { agent, worker, labels }] of workers.entries()) {
    const linked = new Set<number>()
    while (linked.size < LINKS_PER_AGENT) linked.add(generator.integer(0, ENTRIES - 1))
    for (const index of linked) {
      entries[index]!.agentUp(link, worker.worker().id, 'incarnation')
      agent.linkUp(index, `entry-${index}`)
    }
    agent.workerAnnounced({ ...worker.worker(), labels }, undefined)
  }
  await standIn.advance(timers, fleetDiscovery.START_MS)

  /** Normally distributed by the sum of uniform values. */
  const normal = (): number =>
    Array.from({ length: 12 }, () => generator.float()).reduce((sum, value) => sum + value, -6)
  const drawWish = (): Wish => {
    const drawn = generator.float()
    if (!withRacks) return 'none'
    return drawn < SHARES.data ? 'data' : drawn < SHARES.data + SHARES.group ? 'group' : 'none'
  }
  let submitted = 0
  const submit = (): void => {
    let drawn = generator.float()
    const kind = KINDS.find(({ share }) => (drawn -= share) < 0) ?? KINDS[0]!
    const wish = drawWish()
    const key = (submitted++).toString(16).padStart(16, '0') as runs.JobKey
    wishes.set(key, wish)
    const jobRunMs = kind.runMs * Math.exp(ERROR.job * normal())
    const rack = wish === 'data' ? 'rack-0' : undefined
    const group = wish === 'group' ? new Set<string>() : undefined
    const tasks = Array.from({ length: kind.tasks }, (_, index) => {
      const id = `${key}.0.0.${index}` as runs.TaskId
      const tail = generator.float() < TAIL_SHARE && withTail ? TAIL_FACTOR : 1
      taskFacts.set(id, { runMs: jobRunMs * Math.exp(ERROR.task * normal()) * tail, rack, group })
      return { id, amount: AMOUNT, estimateMs: kind.runMs, label: undefined, rack }
    })
    const queue: jobDispatcher.Queue = {
      name: `queue-${kind.priority}` as jobDispatcher.QueueName,
      service: 'corkbook',
      priority: kind.priority,
      maxAttempts: 3,
      stretch: 1.6,
      objectiveMs: 60
    }
    const steps = [{ after: [], maxPerWorker: Infinity, sameRack: wish === 'group', tasks }]
    generator.pick(entries).submit({ key, queue, spec: key, callerTimeoutMs: CALLER_TIMEOUT_MS, steps }, () => {})
  }
  const speed = workers.reduce((sum, _, index) => sum + speeds[typeOf(index)]!, 0)
  const meanGapMs = MEAN_WORK_MS * Math.exp(ERROR.job ** 2 / 2) / (speed * TASKS_PER_WORKER * load)
  const endsAt = timers.monotonic() + durationMs
  const arrive = (): void => {
    if (timers.monotonic() >= endsAt) return
    submit()
    timers.after(generator.exponential(meanGapMs), arrive)
  }
  arrive()
  await standIn.advance(timers, durationMs + CALLER_TIMEOUT_MS)
  for (const entry of entries) entry.stop()
  for (const { agent, worker } of workers) {
    agent.stop()
    worker.stop()
  }
  const ofWish = (wish: Wish): Figures => figuresOf(ends.filter((end) => end.wish === wish))
  return {
    byWish: { data: ofWish('data'), group: ofWish('group'), none: ofWish('none') },
    all: figuresOf(ends),
    waits,
    violations: site.violations,
    startMessages: startMessages.count,
    starts: [...site.starts.values()].reduce((sum, count) => sum + count, 0)
  }
}
