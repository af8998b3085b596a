import * as runs from '@mustarddeck/runs'

/**
 * State of a run on the worker.
 * - `ordered`: the start was sent and is not answered.
 * - `running`: the worker has confirmed the start.
 * - `doubtful`: the start was not answered in time; it may take effect until a stop is confirmed.
 * - `stopping`: it is to end; `stopConfirmedAt` tells when the worker took note of that.
 */
export type State = 'ordered' | 'running' | 'doubtful' | 'stopping'

export interface Run extends runs.RunId {
  /** Life of the entry that wants it; undefined for a run of an earlier life of this agent. */
  entry: string | undefined
  amount: runs.Amount
  state: State
  orderedAt: number
  stopConfirmedAt: number | undefined
  /** A call to stop it is under way. */
  stopCall: boolean
}

/** Runs that hold room on the worker, and the highest run number of each task that was started there lately. */
export interface Books {
  get (task: runs.TaskId): Run | undefined
  all (): IterableIterator<Run>
  size (): number
  free (): runs.Amount
  /** True while a run of unknown size is on the worker. */
  hasForeign (): boolean
  resize (capacity: runs.Amount): void
  add (run: Run): void
  remove (run: Run): void
  /** Lowest number that the next run of the task may have on this worker. */
  nextRun (task: runs.TaskId, lowest: number): number
}

/** Tasks whose run numbers are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED = 4096

export const create = (): Books => {
  const entries = new Map<runs.TaskId, Run>()
  const numbers = new Map<runs.TaskId, number>()
  let capacity = runs.NOTHING
  let used = runs.NOTHING
  let foreign = 0

  const remember = ({ task, run }: runs.RunId): void => {
    numbers.delete(task)
    numbers.set(task, run)
    const [oldest] = numbers.keys()
    if (numbers.size > MAX_REMEMBERED && oldest !== undefined) numbers.delete(oldest)
  }
  return {
    get: (task) => entries.get(task),
    all: () => entries.values(),
    size: () => entries.size,
    free: () => runs.minus(capacity, used),
    hasForeign: () => foreign > 0,
    resize: (amount) => { capacity = amount },
    add: (run) => {
      entries.set(run.task, run)
      used = runs.plus(used, run.amount)
      if (run.entry === undefined) foreign++
      remember(run)
    },
    remove: (run) => {
      if (entries.get(run.task) !== run) return
      entries.delete(run.task)
      used = runs.minus(used, run.amount)
      if (run.entry === undefined) foreign--
    },
    nextRun: (task, lowest) => Math.max(lowest, (numbers.get(task) ?? 0) + 1)
  }
}
