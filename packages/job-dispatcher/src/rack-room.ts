import * as runs from '@mustarddeck/runs'

/**
 * Expected further run time of a run that lasts longer than expected, as a share of its expected run time: the mean
 * excess of the declared times' error, which is log-normal with a standard deviation of 0.4.
 */
const OVERRUN_SHARE = 0.42

/** Places counted on one worker for tasks that need next to nothing; no step has more tasks. */
const MAX_PLACES = 4096

/** Use of one worker of a rack as known to one entry. */
export interface WorkerUse {
  capacity: runs.Resources
  free: runs.Resources
  /** Runs of this entry. */
  ownRuns: Array<{ amount: runs.Resources, expectedMs: number, elapsedMs: number }>
}

/** Number of tasks that fit at the same time. */
export const taskCount = (amount: runs.Resources, free: runs.Resources): number => {
  const counts = (['millicores', 'memoryMb', 'accelerators'] as const).map((kind) =>
    amount[kind] > 0 ? Math.floor(free[kind] / amount[kind]) : free[kind] >= 0 ? Infinity : 0)
  return Math.max(0, Math.min(...counts))
}

/**
 * Expected times in ms, ascending, after which the worker has room for one more task of the amount. Only the ends of
 * this entry's runs are known. What else is in use is taken for runs of the same amount and of the length of this
 * entry's own, whose ends are spread evenly: callers spread their jobs over the entries.
 */
const workerRoomTimes = (
  { capacity, free, ownRuns }: WorkerUse, amount: runs.Resources, typicalMs: number
): number[] => {
  const ends = ownRuns.map((run) => {
    const remainingMs = run.expectedMs - run.elapsedMs
    return { amount: run.amount, inMs: remainingMs > 0 ? remainingMs : run.expectedMs * OVERRUN_SHARE }
  })
  const own = ownRuns.reduce((sum, run) => runs.add(sum, run.amount), runs.NO_RESOURCES)
  const otherCount = taskCount(amount, runs.subtract(runs.subtract(capacity, free), own))
  const others = Number.isFinite(otherCount) ? otherCount : 0
  for (let index = 1; index <= others; index++) ends.push({ amount, inMs: typicalMs * index / (others + 1) })
  ends.sort((left, right) => left.inMs - right.inMs)

  const times: number[] = []
  let room = free
  const addTimes = (inMs: number): void => {
    const count = Math.min(taskCount(amount, room), MAX_PLACES)
    while (times.length < count) times.push(inMs)
  }
  addTimes(0)
  for (const end of ends) {
    room = runs.add(room, end.amount)
    addTimes(end.inMs)
  }
  return times
}

/** Expected times in ms, ascending, after which the rack's workers have room for one more task of the amount. */
export const roomTimes = (workers: readonly WorkerUse[], amount: runs.Resources, typicalMs: number): number[] =>
  workers.flatMap((worker) => workerRoomTimes(worker, amount, typicalMs)).sort((left, right) => left - right)

/**
 * Expected time in ms until there is room for `count` tasks, from the times of `roomTimes`. Another entry takes a place
 * that becomes free if it has work for it; the share of the rack that is busy stands for the probability of that.
 * Infinity if the ends of what runs now don't leave enough.
 */
export const expectedRoomInMs = (
  times: readonly number[], { count, busyShare, entryCount }: { count: number, busyShare: number, entryCount: number }
): number => {
  let free = 0
  while (free < count && times[free] === 0) free++
  // Free room can be ordered now; only later room is shared.
  const later = (count - free) * (1 + (entryCount - 1) * busyShare)
  return times[Math.ceil(free + later) - 1] ?? Infinity
}
