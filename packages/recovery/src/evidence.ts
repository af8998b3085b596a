import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

interface TaskState {
  /** Agent that holds the record. */
  agent: types.Incarnation
  /** Absent while the task runs. */
  outcome?: messages.TaskEnd
}

/** Collects the agents' records of one job. */
export interface Evidence {
  /** Replaces the tasks that this agent had recorded as running; `record` is absent if the agent has none. */
  addRecord (agent: types.Incarnation, record: messages.JobRecord | undefined): void
  /** Stores the end of a task that was recorded as running; without an outcome its record was removed. */
  updateTask (index: number, outcome: messages.TaskEnd | undefined): void
  /** Digest of the job's content; undefined until there is a record. */
  digest (): types.Digest | undefined
  /** Agents with a record of a running task of the job. */
  runningOn (): types.Incarnation[]
  isEmpty (): boolean
  /** `complete` or `failed` if every task has ended and every record is from a trusted agent; otherwise undefined. */
  recordedOutcome (isTrusted: (agent: types.Incarnation) => boolean): types.Outcome | undefined
  /** The outcome if tasks without a record are known never to have started. */
  failedOutcome (): types.Outcome
}

const isRunning = (state: TaskState): boolean => state.outcome === undefined

/** `names` are the task names of the resubmission, if there is one. */
export const create = (job: types.JobId, names: types.TaskName[] | undefined): Evidence => {
  const states = new Map<number, TaskState>()
  const recordedNames = new Map<number, types.TaskName>()
  let total: number | undefined
  let digest: types.Digest | undefined

  const taskOutcome = (state: TaskState | undefined): types.TaskOutcome => {
    if (!state) return { kind: 'never-started' }
    return state.outcome ?? { kind: 'may-have-run' }
  }
  const taskName = (index: number): types.TaskName =>
    recordedNames.get(index) ?? names?.[index] ?? `#${index}` as types.TaskName
  const taskReports = (): types.TaskReport[] => Array.from({ length: total ?? 0 }, (_, index) =>
    ({ name: taskName(index), outcome: taskOutcome(states.get(index)) }))
  const runningTasks = (): TaskState[] => [...states.values()].filter(isRunning)

  const failedOutcome = (): types.Outcome => {
    const tasks = taskReports()
    const hasUnstartedTask = tasks.some(({ outcome }) => outcome.kind === 'never-started')
    return { kind: 'failed', job, reason: hasUnstartedTask ? 'owner-lost' : 'task-failed', tasks }
  }
  const completeOutcome = (): types.Outcome => ({
    kind: 'complete',
    job,
    results: [...states].sort(([a], [b]) => a - b).map(([index, state]) =>
      ({ name: taskName(index), result: state.outcome?.kind === 'finished' ? state.outcome.result : undefined }))
  })
  const removeRunningTasks = (agent: types.Incarnation): void => {
    for (const [index, state] of states) if (isRunning(state) && state.agent === agent) states.delete(index)
  }
  const addTask = (agent: types.Incarnation, { index, name, outcome }: messages.TaskRecord): void => {
    recordedNames.set(index, name)
    if (!states.has(index)) states.set(index, { agent, outcome })
  }
  return {
    addRecord: (agent, record) => {
      removeRunningTasks(agent)
      if (!record) return
      total = record.total
      digest = record.digest
      for (const task of record.tasks) addTask(agent, task)
    },
    updateTask: (index, outcome) => {
      const state = states.get(index)
      if (state && outcome) states.set(index, { ...state, outcome })
      else states.delete(index)
    },
    digest: () => digest,
    runningOn: () => runningTasks().map(({ agent }) => agent),
    isEmpty: () => states.size === 0,
    recordedOutcome: (isTrusted) => {
      const taskStates = [...states.values()]
      if (
        total === undefined || taskStates.length < total || !taskStates.every(({ agent }) => isTrusted(agent))
      ) return undefined
      if (runningTasks().length > 0) return undefined
      return taskStates.every(({ outcome }) => outcome?.kind === 'finished') ? completeOutcome() : failedOutcome()
    },
    failedOutcome
  }
}
