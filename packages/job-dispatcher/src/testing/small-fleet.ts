import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as runAgent from '@mustarddeck/run-agent'
import type * as runs from '@mustarddeck/runs'
import * as standIn from '@mustarddeck/worker-stand-in'
import * as fleetDiscovery from '../fleet-discovery.ts'
import * as jobDispatcher from '../index.ts'

/** One-way latency of a link in ms. */
const LINK_MS = 1
export const TASK_AMOUNT = { millicores: 1600, memoryMb: 64, accelerators: 0 }
export const QUEUE: jobDispatcher.Queue = {
  name: 'settle' as jobDispatcher.QueueName, service: 'corkbook', priority: 0, maxAttempts: 3, stretch: 1.6, objectiveMs: 60
}

/** Creates a dispatcher and agents on simulated workers, on a virtual clock. */
export const setUp = async ({
  workers = 2, slots = 3, runMs = 200, linked = true, farFactor = 1.5,
  /** Labels of each worker; by default those of the stand-in. */
  labels = undefined as string[][] | undefined,
  placeOf = (_index: number): Partial<runs.Worker> => ({})
} = {}) => {
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const site = standIn.createSite()
  const log = logging.create({ level: 'error' })
  const pass = (ms: number): Promise<void> => standIn.advance(timers, ms)
  const cut = new Set<number>()
  const observed: string[] = []
  const sent: Array<runs.ToAgent & { link: number }> = []

  const fleet = Array.from({ length: workers }, (_, index) => {
    const link = index + 1
    const worker = standIn.create({
      id: `i-${link}`,
      capacity: { millicores: TASK_AMOUNT.millicores * slots, memoryMb: 10_000, accelerators: 0 },
      resourcesOf: () => TASK_AMOUNT,
      runMsOf: () => runMs,
      site,
      timers
    })
    const toEntry = (message: runs.FromAgent): void => {
      timers.after(LINK_MS, () => { if (!cut.has(link)) entry.receive(link, message) })
    }
    const send = (_link: number, message: runs.FromAgent): void => toEntry(message)
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
    const describe = (): runs.Worker => {
      const described = { ...worker.worker(), ...placeOf(index) }
      return { ...described, labels: labels?.[index] ?? described.labels }
    }
    const announce = (changes: Partial<runs.Worker> = {}): void => {
      agent.workerAnnounced({ ...describe(), ...changes }, undefined)
    }
    return { agent, announce, describe, link, worker }
  })
  const entry = jobDispatcher.create({
    timers,
    log,
    zone: 'khangai-a',
    lapseAfterMs: runAgent.LAPSE_AFTER_MS,
    farFactor,
    onRackWait: (outcome) => observed.push(`wait ${outcome}`),
    send: (link, message) => {
      sent.push({ ...message, link })
      timers.after(LINK_MS, () => { if (!cut.has(link)) fleet[link - 1]!.agent.receive(0, message) })
    },
    onJobEnd: (job, { kind }, tookMs) => observed.push(`${job.key} ${kind} ${Math.round(tookMs)}`),
    onRefusedOrder: (reason) => observed.push(`order ${reason}`)
  })
  const linkUp = ({ agent, announce, link, worker }: typeof fleet[number]): void => {
    entry.agentUp(link, worker.worker().id, 'incarnation')
    agent.linkUp(0, 'entry-1')
    announce()
  }
  if (linked) {
    fleet.forEach(linkUp)
    // The entry knows its part of the fleet from then on.
    await pass(fleetDiscovery.START_MS)
  }

  let nextKey = 1
  const submit = ({
    tasks = 1, callerTimeoutMs = 5000, queue = QUEUE, label = undefined as string | undefined,
    rack = undefined as string | undefined, sameRack = false
  } = {}) => {
    const key = (nextKey++).toString(16).padStart(16, '0') as runs.JobKey
    const job: jobDispatcher.Job = {
      key,
      queue,
      spec: 'pay',
      callerTimeoutMs,
      steps: [{
        after: [],
        maxPerWorker: Infinity,
        sameRack,
        tasks: Array.from({ length: tasks }, (_, index) => ({
          id: `${key}.0.0.${index}` as runs.TaskId, amount: TASK_AMOUNT, estimateMs: runMs, label, rack
        }))
      }]
    }
    const result = { key, answer: undefined as jobDispatcher.Outcome | undefined, at: 0, job }
    const answer: jobDispatcher.Answer = (outcome) => Object.assign(result, { answer: outcome, at: timers.monotonic() })
    entry.submit(job, answer)
    return { ...result, result, abandon: () => entry.abandon(key, answer) }
  }
  return { cut, entry, fleet, linkUp, observed, pass, sent, site, submit, timers }
}
