import TinyQueue from 'tinyqueue'
import * as clocks from '@mustarddeck/clock'
import * as fleets from './fleet.ts'
import type * as runs from './run.ts'
import * as workload from './workload.ts'

/** Time in ms after the last arrival in which jobs can still complete. */
const DRAIN_MS = 60_000

interface Task {
  job: workload.Job
  index: number
  entry: fleets.Process
}

interface Open {
  left: number
  failed: boolean
}

const settle = (fleet: fleets.Fleet, open: Open, job: workload.Job, failed: boolean): void => {
  open.failed ||= failed
  if (--open.left === 0) fleet.answer(job, open.failed ? { kind: 'failed' } : { kind: 'complete' })
}

/** Random entry, round-robin worker, and a queue in order of arrival at each worker. No limits of any kind. */
export const naive = ({ deployment, jobs, faults, window }: runs.Run): fleets.Tally => {
  const clock = clocks.createVirtual()
  const fleet = fleets.create(clock, deployment, window)
  const entries = Array.from({ length: deployment.entries }, () => ({ dead: false, turn: 0 }))
  const workers = Array.from({ length: deployment.workers }, (_, index) => fleets.createWorker(index))
  /** Tasks in order of arrival; those before `heads` have started. */
  const queues: Task[][] = workers.map(() => [])
  const heads = workers.map(() => 0)
  const open = new Map<workload.Job, Open>()

  const work = (worker: fleets.Worker): void => {
    const queue = queues[worker.index]!
    while (worker.running < deployment.slots && heads[worker.index]! < queue.length) {
      const { job, index, entry } = queue[heads[worker.index]!++]!
      fleet.run(worker, job, index, (failed) => {
        fleet.send('finished', worker, entry, () => settle(fleet, open.get(job)!, job, failed))
        work(worker)
      })
    }
  }
  const submit = (job: workload.Job): void => {
    const target = entries[job.entry]!
    const entry = target.dead ? entries[(job.entry + 1) % entries.length]! : target
    open.set(job, { left: job.runMs.length, failed: false })
    for (const index of job.runMs.keys()) {
      const worker = workers[entry.turn++ % workers.length]!
      fleet.send('start', entry, worker, () => {
        queues[worker.index]!.push({ job, index, entry })
        work(worker)
      })
    }
  }
  for (const job of jobs) clock.after(job.at, () => fleet.arrive(job, () => submit(job)))
  const ignore = { worker: () => {}, entry: () => {} }
  fleets.schedule(clock, faults, workers, entries, deployment.workersPerRack, ignore)
  // Without admission a flood's backlog lasts for ten times the run; jobs that it delays beyond this count as open.
  clock.advance(window.untilMs + DRAIN_MS)
  return fleet.tally
}

interface Queued {
  job: workload.Job
  /** Run times that wait, the longest last. */
  waiting: number[]
  work: number
  left: number
}

/**
 * One central queue without any latency that knows every run time: by class, then by least remaining work, the longest
 * task of a job first. It knows which workers are faulty and uses only the others.
 */
export const ideal = ({ deployment, jobs, faults, window }: runs.Run): fleets.Tally => {
  const clock = clocks.createVirtual()
  const fleet = fleets.create(clock, { ...deployment, callerLatencyMs: 0, latencyMs: 0 }, window)
  const classes = [0, 1, 2].map(() => new TinyQueue<Queued>([], (left, right) => left.work - right.work))
  let usable = deployment.slots * deployment.workers
  let running = 0

  const head = (): Queued | undefined => {
    for (const queue of classes) {
      while (queue.length > 0 && queue.peek()!.waiting.length === 0) queue.pop()
      if (queue.length > 0) return queue.peek()
    }
    return undefined
  }
  const work = (): void => {
    for (let first = head(); first && running < usable; first = head()) {
      const queued = first
      const runMs = queued.waiting.pop()!
      queued.work -= runMs
      running++
      clock.after(runMs, () => {
        running--
        if (--queued.left === 0) fleet.answer(queued.job, { kind: 'complete' })
        work()
      })
    }
  }
  const submit = (job: workload.Job): void => {
    const waiting = [...job.runMs].sort((left, right) => left - right)
    const total = waiting.reduce((sum, ms) => sum + ms, 0)
    classes[workload.rankOf(job.type)]!.push({ job, waiting, work: total, left: waiting.length })
    work()
  }
  const lost = (fault: fleets.Fault): number => {
    if (fault.kind === 'entry-lost') return 0
    return deployment.slots * (fault.kind === 'rack-lost' ? deployment.workersPerRack : 1)
  }
  for (const fault of faults) clock.after(fault.at, () => { usable -= lost(fault) })
  for (const job of jobs) clock.after(job.at, () => submit(job))
  while (clock.step());
  return fleet.tally
}
