// Two of 38 orders get no answer and are carried out 3 s later. Their agent stops them and has that confirmed, and the
// tasks start on other workers. Meanwhile the machine of the late orders loses power: its agent is killed, and its
// worker crashes and starts again under the same id. The late orders reach the worker's next life.
import * as path from 'node:path'
import * as url from 'node:url'
import * as deployments from '../stand-ins-2/deployment.mjs'

const { jobOf, keyOf, sleep } = deployments
const folder = path.dirname(url.fileURLToPath(import.meta.url))
const KEYS = Array.from({ length: 38 }, (_, index) => keyOf(index + 1))
const LATE_ORDERS = 2
const LATE_MS = 3000
const RUN_MS = 6000
const DEADLINE_MS = 12_000
/** Times in ms from the submissions to the loss of power, and from that to the worker's and the agent's return. */
const LOST_AFTER_MS = 1200
const WORKER_DOWN_MS = 500
const AGENT_DOWN_MS = 3000

deployments.play(folder, { entries: 3, agents: 4 }, async ({ entries, agents, workers, runs, record, request }) => {
  const [worker] = workers
  const agent = agents.find(({ name }) => name === worker.machine)
  if (deployments.hasTrouble()) {
    let lateOrders = 0
    worker.faults.late = (call) => call === '/run-start' && ++lateOrders <= LATE_ORDERS ? LATE_MS : 0
  }
  const submissions = KEYS.map((key, index) =>
    request(entries[index % entries.length], 'POST', key, { body: jobOf(1, RUN_MS, 1000), deadlineMs: DEADLINE_MS }))
  await sleep(LOST_AFTER_MS)
  if (deployments.hasTrouble()) {
    const restarted = worker.crash(WORKER_DOWN_MS)
    await agent.signal('SIGKILL')
    await sleep(AGENT_DOWN_MS)
    await restarted
    agent.start()
  }
  await Promise.all(submissions)
  record.write('script', 'all jobs have ended')
  return deployments.overlapsOf(runs)
})
