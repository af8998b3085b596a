import type * as runs from '@mustarddeck/runs'

/** Record of starts and violations shared by all workers of a deployment. */
export interface Site {
  /** Descriptions of violated guarantees. */
  violations: string[]
  /** Number of starts by task. */
  starts: Map<runs.TaskId, number>
  /** Number of workers that a task has crashed, by task. */
  crashes: Map<runs.TaskId, number>
  /** Worker on which each running task runs. */
  running: Map<runs.TaskId, string>
}

export const createSite = (): Site => ({ violations: [], starts: new Map(), crashes: new Map(), running: new Map() })
