import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import type * as runs from '@mustarddeck/runs'
import * as standIn from '@mustarddeck/worker-stand-in'
import type * as jobDispatcher from '../index.ts'
import * as deployments from './deployment.ts'

/** Time in ms after which a caller whose connection broke submits its job again. */
const RETRY_MS = 1300
const CALLER_TIMEOUT_MS = 1500
const MAX_ATTEMPTS = 4
const MEAN_JOB_GAP_MS = 150
const CHECK_MS = 50
/** Lines of the trace that lead to a violation. */
const SHOWN_LINES = 70
const QUEUE: jobDispatcher.Queue = {
  name: 'settle' as jobDispatcher.QueueName, service: 'corkbook', priority: 0, maxAttempts: 3, stretch: 4, objectiveMs: 1000
}

/** Kinds of faults; those of workers last for a random time. */
const FAULTS = [
  'broken-call', 'orders-lost', 'late-orders', 'late-listings', 'slow-answers', 'unresponsive', 'hanging-tasks',
  'worker-restart', 'agent-restart', 'agent-pause', 'entry-restart', 'entry-pause', 'entry-leaves',
  'link-reset', 'link-silent', 'link-slow'
] as const
export type Fault = typeof FAULTS[number]
export const ALL: readonly Fault[] = FAULTS

export interface Options {
  seed: number
  faults: readonly Fault[]
  durationMs: number
  /** Mean time in ms between two faults. */
  meanGapMs?: number
}

export interface Result {
  violations: string[]
  /** What led to the first violation, line by line. */
  trace: string
  starts: number
  completed: number
}

/** Runs entries and agents under random faults until a guarantee is violated or the time is over. */
export const run = async ({ seed, faults, durationMs, meanGapMs = 250 }: Options): Promise<Result> => {
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const generator = random.create(seed)
  const { exponential, integer, pick } = generator
  const lines: string[] = []
  const trace = (...event: unknown[]): void => {
    const text = event.map((part) => typeof part === 'string' ? part : JSON.stringify(part)).join(' ')
    lines.push(`${timers.monotonic().toFixed(1)} ${text}`)
  }
  const runMsByTask = new Map<runs.TaskId, number>()
  const deployment = deployments.create({
    timers,
    generator,
    entryCount: integer(2, 3),
    workerCount: integer(3, 5),
    tasksPerWorker: integer(2, 6),
    runMsOf: (task) => runMsByTask.get(task)!,
    trace
  })
  const { agents, endAgent, endEntry, entries, paths, site, startAgent, startEntry, workers } = deployment
  let jobs = 0
  let completed = 0

  /** Breaks the connections of callers, by entry. */
  const openCalls = new Map<deployments.Entry, Set<() => void>>()
  const call = (job: jobDispatcher.Job, attempt: number): void => {
    const entry = pick(entries.filter(({ process }) => !process.hasEnded()))
    let open = true
    const close = (retryMs: number | undefined): void => {
      open = false
      openCalls.get(entry)!.delete(breakOff)
      if (retryMs !== undefined && attempt < MAX_ATTEMPTS) timers.after(retryMs, () => call(job, attempt + 1))
    }
    const answer: jobDispatcher.Answer = (outcome) => {
      if (!open) return
      trace('caller', job.key, 'answered', outcome)
      if (outcome.kind === 'completed') completed++
      close(outcome.kind === 'unknown' ? RETRY_MS : outcome.kind === 'not-run' ? outcome.retryAfterMs : undefined)
    }
    const breakOff = (): void => {
      if (!open) return
      trace('caller', job.key, 'connection broken')
      close(RETRY_MS)
      entry.process.run(() => entry.dispatcher.abandon(job.key, answer))
    }
    if (!openCalls.has(entry)) openCalls.set(entry, new Set())
    openCalls.get(entry)!.add(breakOff)
    timers.after(CALLER_TIMEOUT_MS, breakOff)
    trace('caller', job.key, 'submits at', `entry-${entries.indexOf(entry)}`, `attempt ${attempt}`)
    entry.process.run(() => entry.dispatcher.submit(job, answer))
  }
  const submit = (): void => {
    timers.after(exponential(MEAN_JOB_GAP_MS), submit)
    const key = (++jobs).toString(16).padStart(16, '0') as runs.JobKey
    const runMs = pick([60, 250, 700, 1200, 3000])
    const tasks = Array.from({ length: integer(1, 3) }, (_, index) => {
      const id = `${key}.0.0.${index}` as runs.TaskId
      runMsByTask.set(id, runMs)
      return { id, amount: deployments.AMOUNT, estimateMs: runMs, label: undefined, rack: undefined }
    })
    const steps = [{ after: [], maxPerWorker: Infinity, tasks }]
    if (entries.some(({ process }) => !process.hasEnded())) {
      call({ key, queue: QUEUE, spec: key, callerTimeoutMs: CALLER_TIMEOUT_MS, steps }, 1)
    }
  }

  const worker = (): number => integer(0, workers.length - 1)
  /** Sets faults of a random worker for some time. */
  const disturb = (name: Fault, set: Partial<standIn.Faults>, lowMs: number, highMs: number): void => {
    const index = worker()
    const { faults: current } = workers[index]!
    const normal = standIn.createFaults()
    const forMs = integer(lowMs, highMs)
    trace('fault', name, `worker-${index}`, { ...set, forMs })
    Object.assign(current, set)
    timers.after(forMs, () => {
      trace('fault ends', name, `worker-${index}`)
      for (const key of Object.keys(set) as Array<keyof standIn.Faults>) Object.assign(current, { [key]: normal[key] })
    })
  }
  const path = () => pick(paths[worker()]!)
  const calls = (entry: deployments.Entry): Array<() => void> => [...openCalls.get(entry) ?? []]
  const restartEntry = (index: number): void => {
    const broken = calls(entries[index]!)
    endEntry(index)
    for (const breakOff of broken) breakOff()
    timers.after(integer(300, 2500), () => startEntry(index))
  }
  /** An entry that may fail, unless it is the last one. */
  const liveEntry = (): number | undefined => {
    const live = [...entries.keys()].filter((index) => entries[index]!.process.isRunning())
    return live.length > 1 ? pick(live) : undefined
  }
  const inject: Record<Fault, () => void> = {
    'broken-call': () => {
      for (const breakOff of entries.flatMap(calls)) if (integer(0, 2) === 0) breakOff()
    },
    'orders-lost': () => disturb('orders-lost', { ordersLost: true }, 100, 4000),
    'late-orders': () => disturb('late-orders', { executionDelayMs: integer(40, 6000) }, 5, 800),
    'late-listings': () => disturb('late-listings', { listingExecutionDelayMs: integer(100, 3000) }, 50, 1000),
    'slow-answers': () => disturb('slow-answers', { callMs: integer(5, 60), listingDelayMs: integer(5, 95) }, 100, 1500),
    unresponsive: () => disturb('unresponsive', { unresponsive: true }, 50, 2500),
    'hanging-tasks': () => disturb('hanging-tasks', { tasks: 'hang' }, 50, 500),
    'worker-restart': () => {
      const index = worker()
      trace('fault', 'worker-restart', `worker-${index}`)
      workers[index]!.restart()
    },
    'agent-restart': () => {
      const index = worker()
      if (agents[index]!.process.hasEnded()) return
      endAgent(index)
      timers.after(integer(100, 1500), () => startAgent(index))
    },
    'agent-pause': () => {
      const index = worker()
      const forMs = integer(50, 2500)
      trace('fault', 'agent-pause', `agent-${index}`, { forMs })
      agents[index]!.process.freeze(forMs)
    },
    'entry-restart': () => {
      const index = liveEntry()
      if (index !== undefined) restartEntry(index)
    },
    'entry-pause': () => {
      const index = liveEntry()
      if (index === undefined) return
      const forMs = integer(100, 4000)
      trace('fault', 'entry-pause', `entry-${index}`, { forMs })
      entries[index]!.process.freeze(forMs)
      for (const breakOff of calls(entries[index]!)) if (integer(0, 1) === 0) breakOff()
    },
    'entry-leaves': () => {
      const index = liveEntry()
      if (index === undefined) return
      trace('fault', 'entry-leaves', `entry-${index}`)
      entries[index]!.dispatcher.leave()
      restartEntry(index)
    },
    'link-reset': () => {
      const open = [...agents[worker()]!.links.values()]
      if (open.length > 0) pick(open).reset()
    },
    'link-silent': () => {
      const until = timers.monotonic() + integer(100, 4000)
      const { toEntry, toAgent } = path()
      const ways = pick([[toEntry], [toAgent], [toEntry, toAgent]])
      trace('fault', 'link-silent', { toEntry: ways.includes(toEntry), toAgent: ways.includes(toAgent), until })
      for (const way of ways) way.blockedUntil = Math.max(way.blockedUntil, until)
    },
    'link-slow': () => {
      const { toEntry, toAgent } = path()
      const way = pick([toEntry, toAgent])
      const { latencyMs } = way
      const slowMs = integer(20, 450)
      trace('fault', 'link-slow', { slowMs })
      way.latencyMs = () => slowMs
      timers.after(integer(100, 2000), () => { way.latencyMs = latencyMs })
    }
  }
  const injectNext = (): void => {
    timers.after(exponential(meanGapMs), injectNext)
    inject[pick(faults)]()
  }

  await standIn.advance(timers, 1000)
  submit()
  injectNext()
  while (site.violations.length === 0 && timers.monotonic() < durationMs) await standIn.advance(timers, CHECK_MS)
  const [key] = /^[0-9a-f]{16}/.exec(site.violations[0] ?? '') ?? []
  const related = lines.filter((line) => !line.includes('stop-unanswered') &&
    (line.includes(key ?? '') || / (fault|link-|started|ended)/.test(line)))
  const starts = [...site.starts.values()].reduce((sum, count) => sum + count, 0)
  return { violations: site.violations, trace: related.slice(-SHOWN_LINES).join('\n'), starts, completed }
}
