/** Counts since the start of the stand-in or the last reset. */
export interface Report {
  /** Tasks that were started, refusals excluded. */
  starts: number
  /** Distinct tasks that were started. */
  tasks: number
  /** Tasks that were started more than once, with the number of starts. */
  repeated: { task: string, starts: number }[]
  /** Payload tokens that were started more than once, across all jobs, with the number of starts. */
  repeatedTokens: { token: string, starts: number }[]
  running: number
  finished: number
  failed: number
  refused: number
  /** Tasks whose connection the stand-in closed. */
  closed: number
  /** Tasks whose caller disconnected before the response. */
  aborted: number
  /** Requests without the task headers. */
  invalid: number
}

type End = 'finished' | 'failed' | 'closed' | 'aborted'

/** Counts starts and ends of tasks. */
export interface TaskCounts {
  /** `task` identifies a task across attempts; `token` identifies the same work across jobs. */
  start (task: string, token?: string): void
  end (end: End): void
  refuse (): void
  reject (): void
  /** Returns the number of starts of a task. */
  startsOf (task: string): number
  report (): Report
  /** Resets all counts. Running tasks count towards the total of starts, but not by task or token. */
  reset (): void
}

export const create = (): TaskCounts => {
  let startsByTask = new Map<string, number>()
  let startsByToken = new Map<string, number>()
  let totalStarts = 0
  let running = 0
  let refused = 0
  let invalid = 0
  let ends = { finished: 0, failed: 0, closed: 0, aborted: 0 }

  return {
    start: (task, token) => {
      startsByTask.set(task, (startsByTask.get(task) ?? 0) + 1)
      if (token !== undefined) startsByToken.set(token, (startsByToken.get(token) ?? 0) + 1)
      totalStarts++
      running++
    },
    end: (end) => {
      running--
      ends[end]++
    },
    refuse: () => { refused++ },
    reject: () => { invalid++ },
    startsOf: (task) => startsByTask.get(task) ?? 0,
    report: () => ({
      starts: totalStarts,
      tasks: startsByTask.size,
      repeated: [...startsByTask].filter(([, count]) => count > 1).map(([task, count]) => ({ task, starts: count })),
      repeatedTokens: [...startsByToken].filter(([, count]) => count > 1)
        .map(([token, count]) => ({ token, starts: count })),
      running,
      refused,
      invalid,
      ...ends
    }),
    reset: () => {
      startsByTask = new Map()
      startsByToken = new Map()
      totalStarts = running
      refused = 0
      invalid = 0
      ends = { finished: 0, failed: 0, closed: 0, aborted: 0 }
    }
  }
}
