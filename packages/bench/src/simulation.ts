import * as clocks from '@mustarddeck/clock'
import * as placements from '@mustarddeck/placement'
import * as random from '@mustarddeck/random'
import * as divisions from '@mustarddeck/slots'
import type * as types from '@mustarddeck/types'
import * as fleets from './fleet.ts'
import type * as runs from './run.ts'
import type * as workload from './workload.ts'

/** Interval in ms of heartbeats on a link without other messages. */
const HEARTBEAT_MS = 1000

interface OpenJob {
  job: workload.Job
  unfinished: number
  failed: boolean
  /** Links of the running tasks by task index. */
  running: Map<number, types.LinkId>
}

interface Entry extends fleets.Process {
  index: number
  placement: placements.Placement
  openJobs: Map<types.JobId, OpenJob>
  timer?: clocks.Cancellation
}

interface Agent extends fleets.Worker {
  slots: divisions.SlotDivision
  used: types.Resources
  aborts: Map<string, () => void>
  timer?: clocks.Cancellation
}

const linkId = (index: number): types.LinkId => (index + 1) as types.LinkId

/** Simulates `placement` and `slots`, and the messages that entries and agents exchange, without their other code. */
export const run = ({ deployment, jobs, rules, faults, window, seed, policy }: runs.Run): fleets.Tally => {
  const clock = clocks.createVirtual()
  const fleet = fleets.create(clock, deployment, window)
  const source = random.create(seed)
  const { tally, send } = fleet
  const entries: Entry[] = Array.from({ length: deployment.entries }, (_, index) => ({
    index,
    dead: false,
    openJobs: new Map(),
    placement: placements.create({ random: source.fork(), position: { index, count: deployment.entries }, policy })
  }))
  const agents: Agent[] = Array.from({ length: deployment.workers }, (_, index) => ({
    ...fleets.createWorker(index),
    slots: divisions.create({ slots: deployment.slots }),
    used: { cores: 0, memoryMb: 0, accelerators: 0 },
    aborts: new Map()
  }))

  const sendMoves = (agent: Agent, moves: divisions.SlotMessage[]): void => {
    agent.timer?.()
    const deadline = agent.slots.deadline()
    if (deadline !== undefined) {
      agent.timer = clock.after(deadline - now(), () => { if (!agent.dead) sendMoves(agent, agent.slots.timer(now())) })
    }
    for (const move of moves) {
      const entry = entries[move.link - 1]!
      send(move.kind, agent, entry, () => {
        if (move.kind === 'grant') entry.placement.granted(linkId(agent.index), move.slots)
        else returnSlots(entry, agent, move)
        updateEntry(entry)
      })
    }
  }
  const returnSlots = (entry: Entry, agent: Agent, { slots, flood }: divisions.Recall): void => {
    const count = entry.placement.recalled(linkId(agent.index), slots, flood)
    send('returned', entry, agent, () => sendMoves(agent, agent.slots.returned(linkId(entry.index), count, now())))
  }
  const now = (): number => clock.monotonic()

  const startTask = (entry: Entry, agent: Agent, { job: id, index, resources }: placements.Dispatch): void => {
    const link = linkId(entry.index)
    const openJob = entry.openJobs.get(id)!
    const reject = (reason: 'no-slot' | 'no-resources'): void => {
      fleets.increase(tally.rejected, reason)
      send('rejected', agent, entry, () => {
        entry.placement.rejected({ link: linkId(agent.index), job: id, index }, reason, now())
        openJob.running.delete(index)
        updateEntry(entry)
      })
    }
    if (!agent.slots.start(link)) return reject('no-slot')
    if (agent.used.memoryMb + resources.memoryMb > deployment.resources.memoryMb) {
      reject('no-resources')
      const { renewed, moves } = agent.slots.end(link, now())
      return sendMoves(agent, renewed ? [...moves, { kind: 'grant', link, slots: 1 }] : moves)
    }
    agent.used.memoryMb += resources.memoryMb
    const endTask = (end: 'finished' | 'failed' | 'cancelled', runMs: number): void => {
      agent.used.memoryMb -= resources.memoryMb
      agent.aborts.delete(`${id}/${index}`)
      const { renewed, moves } = agent.slots.end(link, now())
      send('finished', agent, entry, () => recordTaskEnd(entry, openJob, index, { end, runMs, renewed, link: agent.index }))
      sendMoves(agent, moves)
    }
    const startedAt = now()
    const abort = fleet.run(agent, openJob.job, index, (failed, runMs) => endTask(failed ? 'failed' : 'finished', runMs))
    agent.aborts.set(`${id}/${index}`, () => {
      abort()
      endTask('cancelled', now() - startedAt)
    })
  }
  const recordTaskEnd = (
    entry: Entry, openJob: OpenJob, index: number,
    { end, runMs, renewed, link }: { end: 'finished' | 'failed' | 'cancelled', runMs: number, renewed: boolean, link: number }
  ): void => {
    const id = openJob.job.id
    entry.placement.finished({ link: linkId(link), job: id, index, end, runMs, renewed }, now())
    openJob.running.delete(index)
    openJob.failed ||= end !== 'finished'
    if (--openJob.unfinished === 0 && entry.openJobs.delete(id)) {
      fleet.respond(openJob.job, openJob.failed ? { kind: 'failed' } : { kind: 'complete' })
    }
    updateEntry(entry)
  }

  const updateEntry = (entry: Entry): void => {
    if (entry.dead) return
    const { placement } = entry
    for (const id of placement.overdue(now())) refuse(entry, id, 'queue-time')
    for (let dispatch = placement.next(now()); dispatch; dispatch = placement.next(now())) {
      const taskDispatch = dispatch
      const agent = agents[taskDispatch.link - 1]!
      entry.openJobs.get(taskDispatch.job)!.running.set(taskDispatch.index, taskDispatch.link)
      send('start', entry, agent, () => startTask(entry, agent, taskDispatch))
    }
    for (const { link, waiting } of placement.demandReports(now())) {
      const agent = agents[link - 1]!
      send('demand', entry, agent, () => sendMoves(agent, agent.slots.demand(linkId(entry.index), waiting, now())))
    }
    for (const decision of placement.decisions()) tally.decisions.push({ at: now(), entry: entry.index, ...decision })
    entry.timer?.()
    const deadline = placement.deadline()
    if (deadline !== undefined) entry.timer = clock.after(deadline - now(), () => updateEntry(entry))
  }
  const refuse = (entry: Entry, id: types.JobId, reason: string): void => {
    const openJob = entry.openJobs.get(id)!
    entry.openJobs.delete(id)
    fleet.respond(openJob.job, { kind: 'refused', reason })
  }
  const submit = (job: workload.Job): void => {
    const target = entries[job.entry]!
    const entry = target.dead ? entries[(job.entry + 1) % entries.length]! : target
    const tasks = job.runMs.length
    const waiting = { id: job.id, team: job.team, type: job.type, tasks, registeredOnly: true }
    const admission = entry.placement.admit(waiting as placements.WaitingJob, now())
    if (admission.kind === 'refused') return fleet.respond(job, admission)
    entry.openJobs.set(job.id, { job, unfinished: tasks, failed: false, running: new Map() })
    updateEntry(entry)
  }
  const cancel = (job: workload.Job): void => {
    for (const entry of entries) {
      const openJob = entry.openJobs.get(job.id)
      if (!openJob) continue
      entry.placement.withdraw(job.id)
      entry.openJobs.delete(job.id)
      fleet.respond(job, { kind: 'cancelled' })
      for (const link of new Set(openJob.running.values())) {
        const agent = agents[link - 1]!
        const indexes = [...openJob.running].filter(([, other]) => other === link).map(([index]) => index)
        send('cancel-tasks', entry, agent, () => {
          for (const index of indexes) agent.aborts.get(`${job.id}/${index}`)?.()
        })
      }
      updateEntry(entry)
    }
  }

  const connect = (entry: Entry, agent: Agent): void => {
    const name = `worker-${agent.index}` as types.WorkerName
    const failureDomain = deployment.failureDomains[agent.index % 3] as types.FailureDomainName
    const { slots, resources } = deployment
    entry.placement.workerConnected(
      linkId(agent.index), { name, failureDomain, slots, resources, registered: true }, now()
    )
    sendMoves(agent, agent.slots.connected(linkId(entry.index), now()))
    scheduleHeartbeats(entry, agent, () => {
      const waiting = entry.placement.demand(linkId(agent.index))
      send('heartbeat', entry, agent, () => sendMoves(agent, agent.slots.demand(linkId(entry.index), waiting, now())))
    })
    scheduleHeartbeats(agent, entry, () => send('heartbeat', agent, entry, () => {}))
  }
  /** Sends a heartbeat whenever nothing else was sent on the link for the interval, as real links do. */
  const scheduleHeartbeats = (from: fleets.Process, to: fleets.Process, heartbeat: () => void): void => {
    const check = (): void => {
      if (from.dead || to.dead || now() > window.untilMs) return
      const heartbeatAt = fleet.lastSent(from, to) + HEARTBEAT_MS
      if (heartbeatAt <= now()) heartbeat()
      clock.after(heartbeatAt <= now() ? HEARTBEAT_MS : heartbeatAt - now() + 1e-6, check)
    }
    clock.after(HEARTBEAT_MS, check)
  }
  const handleWorkerLoss = (index: number): void => {
    clock.after(fleets.LINK_TIMEOUT_MS, () => {
      for (const entry of entries) {
        entry.placement.workerDisconnected(linkId(index), now())
        for (const [id, openJob] of entry.openJobs) {
          if (![...openJob.running.values()].includes(linkId(index))) continue
          entry.openJobs.delete(id)
          entry.placement.withdraw(id)
          fleet.respond(openJob.job, { kind: 'lost' })
        }
        updateEntry(entry)
      }
    })
  }
  const handleEntryLoss = (index: number): void => {
    for (const { job } of entries[index]!.openJobs.values()) fleet.respond(job, { kind: 'lost' })
    clock.after(fleets.LINK_TIMEOUT_MS, () => {
      for (const agent of agents) sendMoves(agent, agent.slots.disconnected(linkId(index), now()))
    })
  }

  for (const entry of entries) {
    entry.placement.configure(rules)
    for (const peer of entries) if (peer !== entry) scheduleHeartbeats(entry, peer, () => send('heartbeat', entry, peer, () => {}))
  }
  for (const agent of agents) {
    const offset = agent.index % entries.length
    for (let step = 0; step < entries.length; step++) connect(entries[(offset + step) % entries.length]!, agent)
  }
  const perRack = deployment.workersPerRack
  fleets.scheduleFaults(clock, faults, agents, entries, perRack, { worker: handleWorkerLoss, entry: handleEntryLoss })
  for (const job of jobs) {
    clock.after(job.at, () => fleet.request(job, () => submit(job)))
    if (job.cancelAt) clock.after(job.cancelAt, () => fleet.request(job, () => cancel(job)))
  }
  while (clock.step());
  return tally
}
