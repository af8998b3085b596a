import type * as demandRates from './demand-rates.ts'
import type * as fairShares from './fair-shares.ts'
import * as fleetCapacity from './fleet-capacity.ts'
import type * as forecasts from './forecast.ts'
import type * as interfaces from './interface.ts'
import * as jobs from './jobs.ts'
import type * as policies from './rules.ts'

/** Step in millicores within which amounts share a figure of free capacity; it bounds the cost of a pass. */
const AMOUNT_STEP = 500

/** Tells during one pass of placement which waiting jobs may take capacity; asked in order of urgency. */
export interface StartGate {
  mayStart (job: jobs.JobState): boolean
  /** Records the capacity that tasks of the job have taken in this pass. */
  started (job: jobs.JobState, millicores: number): void
}

export interface Parts extends Pick<forecasts.View, 'agents'> {
  rules: policies.Rules
  rates: demandRates.DemandRates
  shares: fairShares.FairShares
}

/** Gate that every job passes. */
export const OPEN: StartGate = { mayStart: () => true, started: () => {} }

/** Workers that may run a kind of task. */
interface Room {
  service: string
  label: string | undefined
  /** Free capacity that such tasks can use, and capacity of these workers, in millicores. */
  free: number
  total: number
}

/** Capacity that is kept for a job until it can start all its tasks. */
interface Hold {
  service: string
  label: string | undefined
  rank: number
  millicores: number
}

/**
 * Holds back jobs whose tasks would occupy capacity that more urgent work needs before the next of them ends, or of
 * which only a part could start. Load pattern: a burst of tasks of 1.3 s fills all workers, and tasks of 86 ms that
 * have to start within 110 ms wait for their ends; jobs that start in part run late and keep others from being in time.
 * A job that is held back keeps its capacity from less urgent ones: small jobs would otherwise overtake it for good.
 */
export const create = ({ agents, rules, rates, shares }: Parts, now: number): StartGate => {
  const rooms = new Map<string, Room>()
  const capacities = new Map<string, { total: number, share: number }>()
  const holds: Hold[] = []

  const roomOf = (service: string, task: interfaces.Task): Room => {
    const { amount: { millicores, memoryMb, accelerators }, label } = task
    const key = `${service} ${Math.ceil(millicores / AMOUNT_STEP)} ${memoryMb} ${accelerators} ${label ?? ''}`
    let room = rooms.get(key)
    if (!room) {
      rooms.set(key, room = { service, label, free: 0, total: 0 })
      for (const agent of fleetCapacity.usableAgents(agents, service)) {
        if (!fleetCapacity.isFit(task, agent.worker)) continue
        room.free += fleetCapacity.freeFor(agent, task.amount)
        room.total += agent.worker.capacity.millicores
      }
    }
    return room
  }
  const demandAbove = ({ rank, job }: jobs.JobState): number => {
    const { service } = job.queue
    let capacity = capacities.get(service)
    if (!capacity) capacities.set(service, capacity = fleetCapacity.capacityOf(agents, service))
    return rates.upTo(rank - 1, capacity.share, now)
  }
  const mayUse = (held: Hold, { service, label }: Room): boolean =>
    held.service === service && (held.label === undefined || held.label === label)
  const heldAbove = (job: jobs.JobState, room: Room): number => {
    let total = 0
    for (const held of holds) if ((job.late || held.rank < job.rank) && mayUse(held, room)) total += held.millicores
    return total
  }
  return {
    mayStart: (job) => {
      if (job.rank === 0 || jobs.hasBegun(job)) return true
      const { service } = job.job.queue
      const task = jobs.nextTask(job)
      const room = roomOf(service, task)
      // No worker in rotation fits the task; one that is out may get it as a trial.
      if (room.total === 0) return true
      const reserve = rules.headroom * room.total * demandAbove(job) + heldAbove(job, room)
      // A job that would take most of the workers runs in parts.
      const most = Math.max(task.amount.millicores, jobs.MAX_CAPACITY_SHARE * room.total)
      const all = Math.min(jobs.waitingMillicores(job), most)
      const needed = rules.allOrNothing && !shares.protectsSize(job) ? all : task.amount.millicores
      if (room.free >= reserve + needed) return true
      if (!job.late) holds.push({ service, label: task.label, rank: job.rank, millicores: all })
      return false
    },
    started: ({ job }, millicores) => {
      if (millicores === 0) return
      for (const room of rooms.values()) {
        if (room.service === job.queue.service) room.free = Math.max(0, room.free - millicores)
      }
    }
  }
}
