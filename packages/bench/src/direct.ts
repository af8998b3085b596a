import * as clocks from '@mustarddeck/clock'
import * as placements from '@mustarddeck/placement'
import * as random from '@mustarddeck/random'
import * as divisions from '@mustarddeck/slots'
import type * as types from '@mustarddeck/types'
import * as fleets from './fleet.ts'
import type * as runs from './run.ts'
import type * as workload from './workload.ts'

const HEARTBEAT_MS = 1000

interface Open {
  job: workload.Job
  left: number
  failed: boolean
  /** Tasks in progress: index to link. */
  running: Map<number, types.LinkId>
}

interface Entry extends fleets.Process {
  index: number
  placement: placements.Placement
  open: Map<types.JobId, Open>
  timer?: clocks.Cancellation
}

interface Agent extends fleets.Worker {
  slots: divisions.Slots
  used: types.Resources
  aborts: Map<string, () => void>
  timer?: clocks.Cancellation
}

const linkOf = (index: number): types.LinkId => (index + 1) as types.LinkId

/** Runs `placement` and `slots` without the cores around them, with the messages that the cores would exchange. */
export const run = ({ deployment, jobs, rules, faults, window, seed, policy }: runs.Run): fleets.Tally => {
  const clock = clocks.createVirtual()
  const fleet = fleets.create(clock, deployment, window)
  const source = random.create(seed)
  const { tally, send } = fleet
  const entries: Entry[] = Array.from({ length: deployment.entries }, (_, index) => ({
    index,
    dead: false,
    open: new Map(),
    placement: placements.create({ random: source.fork(), position: { index, count: deployment.entries }, policy })
  }))
  const agents: Agent[] = Array.from({ length: deployment.workers }, (_, index) => ({
    ...fleets.createWorker(index),
    slots: divisions.create({ slots: deployment.slots }),
    used: { cores: 0, memoryMb: 0, accelerators: 0 },
    aborts: new Map()
  }))

  const apply = (agent: Agent, moves: divisions.Move[]): void => {
    agent.timer?.()
    const deadline = agent.slots.deadline()
    if (deadline !== undefined) {
      agent.timer = clock.after(deadline - now(), () => { if (!agent.dead) apply(agent, agent.slots.timer(now())) })
    }
    for (const move of moves) {
      const entry = entries[move.link - 1]!
      send(move.kind, agent, entry, () => {
        if (move.kind === 'grant') entry.placement.granted(linkOf(agent.index), move.slots)
        else giveBack(entry, agent, move)
        pump(entry)
      })
    }
  }
  const giveBack = (entry: Entry, agent: Agent, { slots, flood }: divisions.Recall): void => {
    const count = entry.placement.recalled(linkOf(agent.index), slots, flood)
    send('returned', entry, agent, () => apply(agent, agent.slots.returned(linkOf(entry.index), count, now())))
  }
  const now = (): number => clock.monotonic()

  const start = (entry: Entry, agent: Agent, { job: id, index, resources }: placements.Dispatch): void => {
    const link = linkOf(entry.index)
    const open = entry.open.get(id)!
    const reject = (reason: 'no-slot' | 'no-resources'): void => {
      fleets.increase(tally.rejected, reason)
      send('rejected', agent, entry, () => {
        entry.placement.rejected({ link: linkOf(agent.index), job: id, index }, reason, now())
        open.running.delete(index)
        pump(entry)
      })
    }
    if (!agent.slots.start(link)) return reject('no-slot')
    if (agent.used.memoryMb + resources.memoryMb > deployment.resources.memoryMb) {
      reject('no-resources')
      const { renewed, moves } = agent.slots.end(link, now())
      return apply(agent, renewed ? [...moves, { kind: 'grant', link, slots: 1 }] : moves)
    }
    agent.used.memoryMb += resources.memoryMb
    const ended = (end: 'finished' | 'failed' | 'cancelled', runMs: number): void => {
      agent.used.memoryMb -= resources.memoryMb
      agent.aborts.delete(`${id}/${index}`)
      const { renewed, moves } = agent.slots.end(link, now())
      send('finished', agent, entry, () => finish(entry, open, index, { end, runMs, renewed, link: agent.index }))
      apply(agent, moves)
    }
    const from = now()
    const abort = fleet.run(agent, open.job, index, (failed, runMs) => ended(failed ? 'failed' : 'finished', runMs))
    agent.aborts.set(`${id}/${index}`, () => {
      abort()
      ended('cancelled', now() - from)
    })
  }
  const finish = (
    entry: Entry, open: Open, index: number,
    { end, runMs, renewed, link }: { end: 'finished' | 'failed' | 'cancelled', runMs: number, renewed: boolean, link: number }
  ): void => {
    const id = open.job.id
    entry.placement.finished({ link: linkOf(link), job: id, index, end, runMs, renewed }, now())
    open.running.delete(index)
    open.failed ||= end !== 'finished'
    if (--open.left === 0 && entry.open.delete(id)) {
      fleet.answer(open.job, open.failed ? { kind: 'failed' } : { kind: 'complete' })
    }
    pump(entry)
  }

  const pump = (entry: Entry): void => {
    if (entry.dead) return
    const { placement } = entry
    for (const id of placement.overdue(now())) refuse(entry, id, 'queue-time')
    for (let dispatch = placement.next(now()); dispatch; dispatch = placement.next(now())) {
      const chosen = dispatch
      const agent = agents[chosen.link - 1]!
      entry.open.get(chosen.job)!.running.set(chosen.index, chosen.link)
      send('start', entry, agent, () => start(entry, agent, chosen))
    }
    for (const { link, waiting } of placement.reports(now())) {
      const agent = agents[link - 1]!
      send('demand', entry, agent, () => apply(agent, agent.slots.demand(linkOf(entry.index), waiting, now())))
    }
    for (const decision of placement.decisions()) tally.decisions.push({ at: now(), entry: entry.index, ...decision })
    entry.timer?.()
    const deadline = placement.deadline()
    if (deadline !== undefined) entry.timer = clock.after(deadline - now(), () => pump(entry))
  }
  const refuse = (entry: Entry, id: types.JobId, reason: string): void => {
    const open = entry.open.get(id)!
    entry.open.delete(id)
    fleet.answer(open.job, { kind: 'refused', reason })
  }
  const submit = (job: workload.Job): void => {
    const target = entries[job.entry]!
    const entry = target.dead ? entries[(job.entry + 1) % entries.length]! : target
    const tasks = job.runMs.length
    const waiting = { id: job.id, team: job.team, type: job.type, tasks, registeredOnly: true }
    const admission = entry.placement.admit(waiting as placements.WaitingJob, now())
    if (admission.kind === 'refused') return fleet.answer(job, admission)
    entry.open.set(job.id, { job, left: tasks, failed: false, running: new Map() })
    pump(entry)
  }
  const cancel = (job: workload.Job): void => {
    for (const entry of entries) {
      const open = entry.open.get(job.id)
      if (!open) continue
      entry.placement.withdraw(job.id)
      entry.open.delete(job.id)
      fleet.answer(job, { kind: 'cancelled' })
      for (const link of new Set(open.running.values())) {
        const agent = agents[link - 1]!
        const indexes = [...open.running].filter(([, other]) => other === link).map(([index]) => index)
        send('cancel-tasks', entry, agent, () => {
          for (const index of indexes) agent.aborts.get(`${job.id}/${index}`)?.()
        })
      }
      pump(entry)
    }
  }

  const connect = (entry: Entry, agent: Agent): void => {
    const name = `worker-${agent.index}` as types.WorkerName
    const failureDomain = deployment.failureDomains[agent.index % 3] as types.FailureDomainName
    const { slots, resources } = deployment
    entry.placement.workerUp(linkOf(agent.index), { name, failureDomain, slots, resources, registered: true }, now())
    apply(agent, agent.slots.connected(linkOf(entry.index), now()))
    beat(entry, agent, () => {
      const waiting = entry.placement.demand(linkOf(agent.index))
      send('heartbeat', entry, agent, () => apply(agent, agent.slots.demand(linkOf(entry.index), waiting, now())))
    })
    beat(agent, entry, () => send('heartbeat', agent, entry, () => {}))
  }
  /** Sends heartbeats on a link on which nothing else was sent for the interval, as the links do. */
  const beat = (from: fleets.Process, to: fleets.Process, heartbeat: () => void): void => {
    const check = (): void => {
      if (from.dead || to.dead || now() > window.untilMs) return
      const silentAt = fleet.lastSent(from, to) + HEARTBEAT_MS
      if (silentAt <= now()) heartbeat()
      clock.after(silentAt <= now() ? HEARTBEAT_MS : silentAt - now() + 1e-6, check)
    }
    clock.after(HEARTBEAT_MS, check)
  }
  const loseWorker = (index: number): void => {
    clock.after(fleets.LINK_TIMEOUT_MS, () => {
      for (const entry of entries) {
        entry.placement.workerDown(linkOf(index), now())
        for (const [id, open] of entry.open) {
          if (![...open.running.values()].includes(linkOf(index))) continue
          entry.open.delete(id)
          entry.placement.withdraw(id)
          fleet.answer(open.job, { kind: 'lost' })
        }
        pump(entry)
      }
    })
  }
  const loseEntry = (index: number): void => {
    for (const { job } of entries[index]!.open.values()) fleet.answer(job, { kind: 'lost' })
    clock.after(fleets.LINK_TIMEOUT_MS, () => {
      for (const agent of agents) apply(agent, agent.slots.disconnected(linkOf(index), now()))
    })
  }

  for (const entry of entries) {
    entry.placement.configure(rules)
    for (const peer of entries) if (peer !== entry) beat(entry, peer, () => send('heartbeat', entry, peer, () => {}))
  }
  for (const agent of agents) {
    const offset = agent.index % entries.length
    for (let step = 0; step < entries.length; step++) connect(entries[(offset + step) % entries.length]!, agent)
  }
  const perRack = deployment.workersPerRack
  fleets.schedule(clock, faults, agents, entries, perRack, { worker: loseWorker, entry: loseEntry })
  for (const job of jobs) {
    clock.after(job.at, () => fleet.arrive(job, () => submit(job)))
    if (job.cancelAt) clock.after(job.cancelAt, () => fleet.arrive(job, () => cancel(job)))
  }
  while (clock.step());
  return tally
}
