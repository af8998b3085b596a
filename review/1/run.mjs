import { fileURLToPath } from 'node:url'
import * as deployments from '../stand-ins/deployment.mjs'
import * as http from '../stand-ins/http.mjs'

const TASK_MS = 900
const JOBS = 12
const STEP = { count: 4, cpu: 1600, mem_mb: 64, estimate_ms: TASK_MS }

/** What is odd in the heartbeat: a service that isn't named; with VARIANT=missing, three fields are missing. */
const FOREIGN = process.env.VARIANT === 'missing'
  ? { address: undefined, version: undefined, slots: undefined }
  : { service: 'not-named-here' }

const play = async (deployment, trouble) => {
  const { record, entries, agents, workers, ports, request } = deployment
  const answers = []
  for (let index = 0; index < JOBS; index++) {
    const entry = entries[index % entries.length]
    answers.push(request(entry, 'POST', deployments.newId(), { body: deployments.jobOf([STEP]) }))
    await deployments.wait(100)
    if (index !== 5) continue
    // The worker with the most work; a heartbeat of another writer reaches its machine.
    const busiest = workers.reduce((most, worker) => worker.running().length > most.running().length ? worker : most)
    const agent = agents[workers.indexOf(busiest)]
    record.line(`${busiest.id} runs ${busiest.running().join(' ')}`)
    if (!trouble) continue
    const body = { ...busiest.heartbeat(), ...FOREIGN, born: Date.now(), sequence: 1 }
    const path = '/instances/i-0000beef'
    const reply = await http.call({ host: agent.ip, port: ports.control, method: 'PUT', path, body, timeoutMs: 1000 })
    record.line(`another writer: PUT ${path} at ${agent.name}: ${reply.status} ${JSON.stringify(body)}`)
  }
  await Promise.all(answers)
  await deployments.wait(1500)
  return deployments.overlaps(record.runs).map(([first, second]) =>
    `TWICE: ${first.task} ran on ${first.worker} from ${first.startedAt} to ${first.endedAt} ms (${first.how}) ` +
    `and on ${second.worker} from ${second.startedAt} to ${second.endedAt} ms (${second.how})`)
}

const folder = fileURLToPath(new URL('.', import.meta.url))
await deployments.main({ folder, entryCount: 2, agentCount: 4, runMsOf: () => TASK_MS }, play)
