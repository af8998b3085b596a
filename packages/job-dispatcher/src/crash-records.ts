import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'

/** Crashes under a task, one of them while nothing else ran on the worker, after which it is not started again. */
const GIVEN_UP_AFTER = 2
/** Crashes that make a task a suspect although another run was the more likely cause each time. */
const SUSPECT_AFTER = 2
/** Maximum number of tasks whose crashes are kept; the least recently crashed are evicted first. */
const MAX_TASKS = 8192
/** Time in ms for which a task's crashes are kept; callers submit a job again within seconds. */
const KEEP_MS = 120_000
/** Maximum number of crashes that are passed on to an entry that has just linked, so that they fit into one frame. */
const MAX_PASSED_ON = 1000

/** Crashes of workers by the task that ran there, from this entry's agents and from other entries. */
export interface CrashRecords {
  /** Returns false if the crash is known already. */
  add (crash: runs.CrashedRun): boolean
  /** Forgets the crashes under a task that has ended as done. */
  clear (task: runs.TaskId): void
  /** Number of workers that have crashed under the task. */
  count (task: runs.TaskId): number
  /** True if the task may crash the next worker as well; it is then started only where nothing else runs. */
  isSuspect (task: runs.TaskId): boolean
  /** True if the task is not to be started again. */
  isGivenUp (task: runs.TaskId): boolean
  /** The latest crashes, for other entries. */
  latest (): runs.CrashedRun[]
}

interface Record {
  /** One crash per incarnation of a worker. */
  crashes: Map<string, runs.CrashedRun>
  latestAt: number
}

export const create = (timers: clock.Clock): CrashRecords => {
  const byTask = new Map<runs.TaskId, Record>()

  const evict = (): void => {
    for (const [task, { latestAt }] of byTask) {
      if (byTask.size <= MAX_TASKS && timers.monotonic() - latestAt < KEEP_MS) return
      byTask.delete(task)
    }
  }
  const crashesOf = (task: runs.TaskId): runs.CrashedRun[] => [...byTask.get(task)?.crashes.values() ?? []]

  return {
    add: (crash) => {
      const crashes = byTask.get(crash.task)?.crashes ?? new Map<string, runs.CrashedRun>()
      const incarnation = `${crash.worker} ${crash.bornMs}`
      if (crashes.has(incarnation)) return false
      crashes.set(incarnation, crash)
      byTask.delete(crash.task)
      byTask.set(crash.task, { crashes, latestAt: timers.monotonic() })
      evict()
      return true
    },
    clear: (task) => { byTask.delete(task) },
    count: (task) => byTask.get(task)?.crashes.size ?? 0,
    isSuspect: (task) => {
      const crashes = crashesOf(task)
      return crashes.length >= SUSPECT_AFTER || crashes.some(({ suspicion }) => suspicion !== 'beside')
    },
    isGivenUp: (task) => {
      const crashes = crashesOf(task)
      return crashes.length >= GIVEN_UP_AFTER && crashes.some(({ suspicion }) => suspicion === 'alone')
    },
    latest: () => [...byTask.values()].flatMap(({ crashes }) => [...crashes.values()]).slice(-MAX_PASSED_ON)
  }
}
