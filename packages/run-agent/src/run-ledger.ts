import * as runs from '@mustarddeck/runs'

/**
 * State of a run on the worker.
 * - `ordered`: the start request was sent and not answered yet.
 * - `running`: the worker has confirmed the start.
 * - `uncertain`: the start request timed out; it may take effect until a stop is confirmed.
 * - `stopping`: the run is being stopped; `stopConfirmedAt` is when the worker acknowledged the stop.
 */
export type State = 'ordered' | 'running' | 'uncertain' | 'stopping'

export interface Run extends runs.RunId {
  /** Incarnation of the entry that ordered the run; undefined for a run not ordered by this agent incarnation. */
  entry: string | undefined
  /** Identifies the entry's order. */
  order: number
  amount: runs.Resources
  state: State
  orderedAt: number
  /** When the worker's confirmation of the start arrived; only listings requested from then on must show the run. */
  startConfirmedAt: number | undefined
  /** When it was decided that the run has to end. Other processes count on its end from then on. */
  stopRequestedAt: number | undefined
  stopConfirmedAt: number | undefined
  /** Whether a stop call is pending. */
  stopPending: boolean
  /** Whether a listing of the current worker incarnation has shown the run. */
  isListed: boolean
  /** Whether the worker has restarted since the order, so that the run may have started on its former incarnation. */
  outlivedWorker: boolean
}

/** Creates a run that was ordered at the given monotonic ms. */
export const createRun = (
  order: Pick<Run, 'task' | 'run' | 'entry' | 'order' | 'amount' | 'state'>, orderedAt: number
): Run => ({
  ...order,
  orderedAt,
  startConfirmedAt: undefined,
  stopRequestedAt: undefined,
  stopConfirmedAt: undefined,
  stopPending: false,
  isListed: false,
  outlivedWorker: false
})

/** Runs that hold capacity on the worker, and the highest run number of each task recently started there. */
export interface RunLedger {
  get (task: runs.TaskId): Run | undefined
  all (): IterableIterator<Run>
  size (): number
  free (): runs.Resources
  /** True while the worker has an unrecognised run, whose size is unknown. */
  hasUnrecognised (): boolean
  /** True while a run has to end and the worker has not confirmed its stop. */
  hasUnconfirmedStop (): boolean
  resize (capacity: runs.Resources): void
  add (run: Run): void
  remove (run: Run): void
  /** Lowest number that the next run of the task may have on this worker. */
  nextRun (task: runs.TaskId, lowest: number): number
}

/** Maximum number of tasks whose run numbers are kept; the least recently started are evicted first. */
const MAX_RUN_NUMBERS = 4096

export const create = (): RunLedger => {
  const byTask = new Map<runs.TaskId, Run>()
  const runNumbers = new Map<runs.TaskId, number>()
  let capacity = runs.NO_RESOURCES
  let used = runs.NO_RESOURCES
  let unrecognisedCount = 0

  const remember = ({ task, run }: runs.RunId): void => {
    runNumbers.delete(task)
    runNumbers.set(task, run)
    const [oldest] = runNumbers.keys()
    if (runNumbers.size > MAX_RUN_NUMBERS && oldest !== undefined) runNumbers.delete(oldest)
  }
  return {
    get: (task) => byTask.get(task),
    all: () => byTask.values(),
    size: () => byTask.size,
    free: () => runs.subtract(capacity, used),
    hasUnrecognised: () => unrecognisedCount > 0,
    hasUnconfirmedStop: () => {
      for (const { stopRequestedAt, stopConfirmedAt } of byTask.values()) {
        if (stopRequestedAt !== undefined && stopConfirmedAt === undefined) return true
      }
      return false
    },
    resize: (amount) => { capacity = amount },
    add: (run) => {
      byTask.set(run.task, run)
      used = runs.add(used, run.amount)
      if (run.entry === undefined) unrecognisedCount++
      remember(run)
    },
    remove: (run) => {
      if (byTask.get(run.task) !== run) return
      byTask.delete(run.task)
      used = runs.subtract(used, run.amount)
      if (run.entry === undefined) unrecognisedCount--
    },
    nextRun: (task, lowest) => Math.max(lowest, (runNumbers.get(task) ?? 0) + 1)
  }
}
