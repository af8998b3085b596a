import * as runs from '@mustarddeck/runs'
import type * as fleet from './agents.ts'
import type * as jobs from './jobs.ts'
import * as rackRoom from './rack-room.ts'

/** Rack of the worker. One without a rack label counts as a rack of its own. */
export const rackOf = ({ labels, id }: runs.Worker): string => labels[1] ?? `worker ${id}`

export const isOn = (worker: runs.Worker, rack: string): boolean =>
  worker.labels.includes(rack) || rackOf(worker) === rack

/** Reachable workers that meet a task's service and label, by rack, as of one placement pass. */
export interface RackView {
  /** Share of the capacity that is in use, from 0 to 1. */
  busyShare: number
  names (): Iterable<string>
  agents (rack: string): readonly fleet.Agent[]
  /** Capacity in millicores of the rack's usable workers. */
  millicores (rack: string): number
  /** Expected time in ms until the rack has room for `count` tasks of the amount after `queued` millicores. */
  roomInMs (rack: string, amount: runs.Resources, count: number, queued: number, typicalMs: number): number
}

export interface Options {
  /** Agents whose workers may be used, whether they are free or not. */
  usable: Iterable<fleet.Agent>
  now: number
  /** Expected run time in ms of a task where it runs. */
  expectedRunMs (task: jobs.TaskState, agent: fleet.Agent): number
}

export const createView = ({ usable, now, expectedRunMs }: Options): RackView => {
  const byRack = new Map<string, fleet.Agent[]>()
  const timesByKey = new Map<string, { free: number, times: number[] }>()
  const millicoresByRack = new Map<string, number>()
  let [capacity, free] = [0, 0]
  for (const agent of usable) {
    const worker = agent.worker!
    const rack = rackOf(worker)
    const members = byRack.get(rack)
    if (members) members.push(agent)
    else byRack.set(rack, [agent])
    millicoresByRack.set(rack, (millicoresByRack.get(rack) ?? 0) + worker.capacity.millicores)
    capacity += worker.capacity.millicores
    free += Math.max(0, agent.free.millicores)
  }
  const agentsOf = (rack: string): fleet.Agent[] => byRack.get(rack) ?? []
  const freeOf = (rack: string): number =>
    agentsOf(rack).reduce((sum, agent) => sum + Math.max(0, agent.free.millicores), 0)
  const useOf = (agent: fleet.Agent): rackRoom.WorkerUse => ({
    capacity: agent.worker!.capacity,
    free: agent.free,
    ownRuns: [...agent.tasks.values()].map((task) => ({
      amount: task.task.amount, expectedMs: expectedRunMs(task, agent), elapsedMs: now - task.orderedAt
    }))
  })
  const roomTimes = (rack: string, amount: runs.Resources, typicalMs: number): number[] => {
    const freeNow = freeOf(rack)
    const key = `${rack} ${amount.millicores} ${amount.memoryMb} ${amount.accelerators}`
    const known = timesByKey.get(key)
    // Orders of this pass change what is free.
    if (known?.free === freeNow) return known.times
    const times = rackRoom.roomTimes(agentsOf(rack).map(useOf), amount, typicalMs)
    timesByKey.set(key, { free: freeNow, times })
    return times
  }
  return {
    busyShare: capacity > 0 ? 1 - free / capacity : 1,
    names: () => byRack.keys(),
    agents: agentsOf,
    millicores: (rack) => millicoresByRack.get(rack) ?? 0,
    roomInMs: (rack, amount, count, queued, runMs) => rackRoom.expectedRoomInMs(roomTimes(rack, amount, runMs), {
      count: count + (amount.millicores > 0 ? Math.ceil(queued / amount.millicores) : 0),
      busyShare: 1 - freeOf(rack) / (millicoresByRack.get(rack) ?? Infinity),
      entryCount: Math.max(1, ...agentsOf(rack).map(({ entryCount }) => entryCount))
    })
  }
}
