import TinyQueue from 'tinyqueue'
import * as clocks from '@mustarddeck/clock'
import * as fleets from './fleet.ts'
import type * as runs from './run.ts'
import * as workload from './workload.ts'

/** Time in ms after the end of the window in which jobs can still complete. */
const DRAIN_MS = 60_000

interface Task {
  job: workload.Job
  index: number
  entry: fleets.Process
}

/** A submitted job whose tasks have not all ended. */
interface OpenJob {
  unfinished: number
  failed: boolean
}

const recordTaskEnd = (fleet: fleets.Fleet, openJob: OpenJob, job: workload.Job, failed: boolean): void => {
  openJob.failed ||= failed
  if (--openJob.unfinished === 0) fleet.respond(job, openJob.failed ? { kind: 'failed' } : { kind: 'complete' })
}

/** Baseline without admission or limits: entries pick workers in turn, and each worker queues tasks as they arrive. */
export const naive = ({ deployment, jobs, faults, window }: runs.Run): fleets.Tally => {
  const clock = clocks.createVirtual()
  const fleet = fleets.create(clock, deployment, window)
  const entries = Array.from({ length: deployment.entries }, () => ({ dead: false, nextWorkerIndex: 0 }))
  const workers = Array.from({ length: deployment.workers }, (_, index) => fleets.createWorker(index))
  /** Tasks per worker in order of arrival; those before its index in `heads` have started. */
  const queues: Task[][] = workers.map(() => [])
  const heads = workers.map(() => 0)
  const openJobs = new Map<workload.Job, OpenJob>()

  const startTasks = (worker: fleets.Worker): void => {
    const queue = queues[worker.index]!
    while (worker.running < deployment.slots && heads[worker.index]! < queue.length) {
      const { job, index, entry } = queue[heads[worker.index]!++]!
      fleet.run(worker, job, index, (failed) => {
        fleet.send('finished', worker, entry, () => recordTaskEnd(fleet, openJobs.get(job)!, job, failed))
        startTasks(worker)
      })
    }
  }
  const submit = (job: workload.Job): void => {
    const target = entries[job.entry]!
    const entry = target.dead ? entries[(job.entry + 1) % entries.length]! : target
    openJobs.set(job, { unfinished: job.runMs.length, failed: false })
    for (const index of job.runMs.keys()) {
      const worker = workers[entry.nextWorkerIndex++ % workers.length]!
      fleet.send('start', entry, worker, () => {
        queues[worker.index]!.push({ job, index, entry })
        startTasks(worker)
      })
    }
  }
  for (const job of jobs) clock.after(job.at, () => fleet.request(job, () => submit(job)))
  const ignoreLosses = { worker: () => {}, entry: () => {} }
  fleets.scheduleFaults(clock, faults, workers, entries, deployment.workersPerRack, ignoreLosses)
  // Without admission, a flood's backlog lasts for ten times the run. Jobs delayed beyond this limit have no outcome.
  clock.advance(window.untilMs + DRAIN_MS)
  return fleet.tally
}

interface QueuedJob {
  job: workload.Job
  /** Run times in ms of the waiting tasks, the longest last. */
  waitingRunMs: number[]
  remainingMs: number
  unfinished: number
}

/**
 * Ideal baseline: one central queue without latency that knows all run times. It orders by class, then by least
 * remaining work, the longest task of a job first. It knows which workers are faulty and uses only the others.
 */
export const ideal = ({ deployment, jobs, faults, window }: runs.Run): fleets.Tally => {
  const clock = clocks.createVirtual()
  const fleet = fleets.create(clock, { ...deployment, callerLatencyMs: 0, latencyMs: 0 }, window)
  const classes = [0, 1, 2].map(() =>
    new TinyQueue<QueuedJob>([], (left, right) => left.remainingMs - right.remainingMs))
  let usableSlots = deployment.slots * deployment.workers
  let runningTasks = 0

  const head = (): QueuedJob | undefined => {
    for (const queue of classes) {
      while (queue.length > 0 && queue.peek()!.waitingRunMs.length === 0) queue.pop()
      if (queue.length > 0) return queue.peek()
    }
    return undefined
  }
  const startTasks = (): void => {
    for (let headJob = head(); headJob && runningTasks < usableSlots; headJob = head()) {
      const queued = headJob
      const runMs = queued.waitingRunMs.pop()!
      queued.remainingMs -= runMs
      runningTasks++
      clock.after(runMs, () => {
        runningTasks--
        if (--queued.unfinished === 0) fleet.respond(queued.job, { kind: 'complete' })
        startTasks()
      })
    }
  }
  const submit = (job: workload.Job): void => {
    const waitingRunMs = [...job.runMs].sort((left, right) => left - right)
    const totalMs = waitingRunMs.reduce((sum, ms) => sum + ms, 0)
    classes[workload.rankOf(job.type)]!.push({
      job, waitingRunMs, remainingMs: totalMs, unfinished: waitingRunMs.length
    })
    startTasks()
  }
  const lostSlots = (fault: fleets.Fault): number => {
    if (fault.kind === 'entry-lost') return 0
    return deployment.slots * (fault.kind === 'rack-lost' ? deployment.workersPerRack : 1)
  }
  for (const fault of faults) clock.after(fault.at, () => { usableSlots -= lostSlots(fault) })
  for (const job of jobs) clock.after(job.at, () => submit(job))
  while (clock.step());
  return fleet.tally
}
