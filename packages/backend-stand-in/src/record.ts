/** What the stand-in has seen since its start or the last reset. */
export interface Report {
  /** Tasks that were started, refusals excluded. */
  starts: number
  /** Distinct tasks that were started. */
  tasks: number
  /** Tasks that were started more than once, with the number of starts. */
  repeated: { task: string, starts: number }[]
  /** Tokens of payloads that were started more than once, under whatever job id, with the number of starts. */
  repeatedTokens: { token: string, starts: number }[]
  running: number
  finished: number
  failed: number
  refused: number
  /** Connections that the stand-in closed. */
  closed: number
  /** Tasks whose caller went away before the answer. */
  aborted: number
  /** Requests without the headers of a task. */
  invalid: number
}

type End = 'finished' | 'failed' | 'closed' | 'aborted'

/** Counts starts and ends of tasks. */
export interface Record {
  /** `task` identifies the task across attempts, `token` the work across job ids. */
  start (task: string, token?: string): void
  end (end: End): void
  refuse (): void
  reject (): void
  /** Number of starts of one task. */
  startsOf (task: string): number
  report (): Report
  /** Forgets all that has ended; tasks that run now count as started once. */
  reset (): void
}

export const create = (): Record => {
  let starts = new Map<string, number>()
  let tokens = new Map<string, number>()
  let total = 0
  let running = 0
  let refused = 0
  let invalid = 0
  let ends = { finished: 0, failed: 0, closed: 0, aborted: 0 }

  return {
    start: (task, token) => {
      starts.set(task, (starts.get(task) ?? 0) + 1)
      if (token !== undefined) tokens.set(token, (tokens.get(token) ?? 0) + 1)
      total++
      running++
    },
    end: (end) => {
      running--
      ends[end]++
    },
    refuse: () => { refused++ },
    reject: () => { invalid++ },
    startsOf: (task) => starts.get(task) ?? 0,
    report: () => ({
      starts: total,
      tasks: starts.size,
      repeated: [...starts].filter(([, count]) => count > 1).map(([task, count]) => ({ task, starts: count })),
      repeatedTokens: [...tokens].filter(([, count]) => count > 1).map(([token, count]) => ({ token, starts: count })),
      running,
      refused,
      invalid,
      ...ends
    }),
    reset: () => {
      starts = new Map()
      tokens = new Map()
      total = running
      refused = 0
      invalid = 0
      ends = { finished: 0, failed: 0, closed: 0, aborted: 0 }
    }
  }
}
