import * as path from 'node:path'
import * as url from 'node:url'
import * as deployments from '../stand-ins-3/deployment.mjs'

// The workers number their heartbeats by the time in ms. Some of them are emptied one after the other: they report
// `draining`, get the acknowledgement, and leave some seconds later.

const { wait } = deployments
const DIRECTORY = path.dirname(url.fileURLToPath(import.meta.url))
const LIMIT_MS = 100_000
const WORKERS = 7
/** 43% of the workers; `release` has a share of up to 0.45. */
const EMPTIED = 3
const GAP_MS = 2000
const STEADY_MS = 9000
/** The workers serve for `drain_ms` after the acknowledgement and a little longer. */
const LEAVE_AFTER_MS = 3000
const TASK_MS = 1000
const DEADLINE_MS = 1500
const BETWEEN_JOBS_MS = 30
/** `drain_ms` of the deployment. */
const DRAIN_MS = 2000

const run = async (record, trouble) => {
  const { note, events } = record
  const deployment = await deployments.start({
    record, workerCount: WORKERS, worker: () => ({ sequenceOf: () => Date.now() })
  })
  if (!deployment) return undefined
  const traffic = { isOver: false }
  const open = new Set()
  const sendJobs = async () => {
    for (let index = 0; !traffic.isOver; index++) {
      const key = (0x5c0e7a21d94b0000n + BigInt(index)).toString(16)
      const { front, name } = deployment.entries[index % deployment.entries.length]
      const call = deployments.send(front, 'POST', deployments.PREFIX + key, deployments.jobOf(TASK_MS), DEADLINE_MS)
        .then(({ status, body, reason }) => {
          open.delete(call)
          if (status !== 200) note('post-answered', { job: key, to: name, status, body, reason })
        })
      open.add(call)
      await wait(BETWEEN_JOBS_MS)
    }
  }
  const empty = async ({ worker }, index) => {
    await wait(STEADY_MS + index * GAP_MS)
    note('draining', { worker: worker.id })
    worker.drain()
    while (!events.some(({ event, worker: id }) => event === 'draining-acknowledged' && id === worker.id)) await wait(10)
    await wait(LEAVE_AFTER_MS)
    note('leaves', { worker: worker.id, running: worker.running().length })
    await worker.leave()
  }
  const calls = sendJobs()
  if (trouble) await Promise.all(deployment.machines.slice(0, EMPTIED).map(empty))
  else await wait(STEADY_MS + LEAVE_AFTER_MS + EMPTIED * GAP_MS)
  await wait(DEADLINE_MS)
  traffic.isOver = true
  await calls
  await Promise.all(open)
  const acks = new Map(events.filter(({ event }) => event === 'draining-acknowledged').map(({ worker, at }) => [worker, at]))
  const late = events.filter(({ event, worker, at }) => event === 'start' && at > (acks.get(worker) ?? Infinity) + DRAIN_MS)
  for (const { worker, task, at } of late) note('DRAIN', { worker, task, acknowledgedAt: acks.get(worker), startedAt: at })
  const broken = events.filter(({ how }) => how === 'worker left').map(({ task }) => task)
  note('sum', {
    starts: events.filter(({ event }) => event === 'start').length,
    lateStarts: late.length,
    brokenOff: broken.length,
    // Jobs with a run that was broken off, and that were not served.
    lost: events.filter(({ event, job }) => event === 'post-answered' && broken.some((task) => task.startsWith(job))).length
  })
  await deployment.stop()
  return late.length > 0
}

await deployments.runCase(DIRECTORY, LIMIT_MS, run)
