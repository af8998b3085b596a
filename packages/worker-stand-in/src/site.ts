import type * as runs from '@mustarddeck/runs'

/** What all workers of a deployment see together. */
export interface Site {
  /** Promises that were broken, in words. */
  broken: string[]
  /** Starts by task. */
  starts: Map<runs.TaskId, number>
  /** Workers on which a task runs now. */
  running: Map<runs.TaskId, string>
}

export const createSite = (): Site => ({ broken: [], starts: new Map(), running: new Map() })
