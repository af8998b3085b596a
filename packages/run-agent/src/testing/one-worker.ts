import * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import * as runs from '@mustarddeck/runs'
import * as standIn from '@mustarddeck/worker-stand-in'
import * as agents from '../index.ts'

export const LINK = 1
export const TASK_AMOUNT = { millicores: 1600, memoryMb: 64, accelerators: 0 }
export const task = (index: number): runs.TaskId => `00000000000000a1.0.0.${index}` as runs.TaskId

/** Creates an agent with one entry and a stand-in worker, on a virtual clock. */
export const setUp = async ({ runMs = 200, maxLeaseMs = standIn.MAX_LEASE_MS } = {}) => {
  const timers = clock.createVirtual({ start: new Date(1_000_000) })
  const site = standIn.createSite()
  const worker = standIn.create({
    id: 'i-1',
    capacity: { millicores: 4800, memoryMb: 1000, accelerators: 0 },
    resourcesOf: () => TASK_AMOUNT,
    runMsOf: () => runMs,
    maxLeaseMs,
    site,
    timers
  })
  const messages: runs.FromAgent[] = []
  const runEnds: runs.RunEnd[] = []
  const log = logging.create({ level: 'error' })
  /** Links that the entry no longer trusts, although the agent has not noticed. */
  const expiredLinks: number[] = []
  const startAgent = (announced = worker.worker()) => {
    const agent = agents.create({
      calls: worker.calls,
      timers,
      maxLeaseMs,
      log,
      send: (_link, message) => messages.push(message),
      closeExpiredLinks: () => { for (const link of expiredLinks.splice(0)) agent.linkDown(link) },
      onWorkerChange: () => {},
      onRunEnd: (end) => runEnds.push(end)
    })
    agent.linkUp(LINK, 'entry-1')
    agent.workerAnnounced(announced, undefined)
    return agent
  }
  const agent = startAgent()
  const pass = (ms: number): Promise<void> => standIn.advance(timers, ms)
  await pass(50)
  let sequence = 0
  const order = (...indexes: number[]): void => agent.receive(LINK, {
    kind: 'start',
    sequence: ++sequence,
    spec: 'weigh',
    tasks: indexes.map((index) => ({ task: task(index), order: index + 1, run: 1, amount: TASK_AMOUNT }))
  })
  const ends = () => messages.flatMap((message) => message.kind === 'ended' ? [[message.task, message.end, message.reason]] : [])
  const latestReport = () => messages.findLast((message) => message.kind === 'room')
  return { agent, ends, expiredLinks, order, pass, latestReport, runEnds, site, startAgent, messages, worker }
}
