import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

interface TaskState {
  /** The agent that has the record. */
  agent: types.Incarnation
  /** Absent while the task runs. */
  outcome?: messages.TaskEnd
}

/** What the agents' records say about one job. */
export interface Evidence {
  /** Replaces what this agent said before; the record is absent if the agent has none. */
  add (agent: types.Incarnation, record: messages.JobRecord | undefined): void
  /** The end of a task that was recorded as running; without an outcome the record is gone. */
  update (index: number, outcome: messages.TaskEnd | undefined): void
  /** Digest of the job's content, known once there is a record. */
  digest (): types.Digest | undefined
  /** Agents that run a task of the job. */
  runningOn (): types.Incarnation[]
  isEmpty (): boolean
  /** `complete` or `failed` if records of all tasks, each of an agent that counts, show their end. */
  settled (counts: (agent: types.Incarnation) => boolean): types.Outcome | undefined
  /** The outcome when tasks without a record are known to have never started. */
  failed (): types.Outcome
}

const isRunning = (state: TaskState): boolean => state.outcome === undefined

/** `names` are the task names of the resubmission, if one is at hand. */
export const create = (job: types.JobId, names: types.TaskName[] | undefined): Evidence => {
  const states = new Map<number, TaskState>()
  const recordedNames = new Map<number, types.TaskName>()
  let total: number | undefined
  let digest: types.Digest | undefined

  const outcomeOf = (state: TaskState | undefined): types.TaskOutcome => {
    if (!state) return { kind: 'never-started' }
    return state.outcome ?? { kind: 'may-have-run' }
  }
  const nameOf = (index: number): types.TaskName =>
    recordedNames.get(index) ?? names?.[index] ?? `#${index}` as types.TaskName
  const reports = (): types.TaskReport[] => Array.from({ length: total ?? 0 }, (_, index) =>
    ({ name: nameOf(index), outcome: outcomeOf(states.get(index)) }))
  const running = (): TaskState[] => [...states.values()].filter(isRunning)

  const failed = (): types.Outcome => {
    const tasks = reports()
    const isOwnersFault = tasks.some(({ outcome }) => outcome.kind === 'never-started')
    return { kind: 'failed', job, reason: isOwnersFault ? 'owner-lost' : 'task-failed', tasks }
  }
  const complete = (): types.Outcome => ({
    kind: 'complete',
    job,
    results: [...states].sort(([a], [b]) => a - b).map(([index, state]) =>
      ({ name: nameOf(index), result: state.outcome?.kind === 'finished' ? state.outcome.result : undefined }))
  })
  const forgetRunning = (agent: types.Incarnation): void => {
    for (const [index, state] of states) if (isRunning(state) && state.agent === agent) states.delete(index)
  }
  const addTask = (agent: types.Incarnation, { index, name, outcome }: messages.TaskRecord): void => {
    recordedNames.set(index, name)
    if (!states.has(index)) states.set(index, { agent, outcome })
  }
  return {
    add: (agent, record) => {
      forgetRunning(agent)
      if (!record) return
      total = record.total
      digest = record.digest
      for (const task of record.tasks) addTask(agent, task)
    },
    update: (index, outcome) => {
      const state = states.get(index)
      if (state && outcome) states.set(index, { ...state, outcome })
      else states.delete(index)
    },
    digest: () => digest,
    runningOn: () => running().map(({ agent }) => agent),
    isEmpty: () => states.size === 0,
    settled: (counts) => {
      const list = [...states.values()]
      if (total === undefined || list.length < total || !list.every(({ agent }) => counts(agent))) return undefined
      if (running().length > 0) return undefined
      return list.every(({ outcome }) => outcome?.kind === 'finished') ? complete() : failed()
    },
    failed
  }
}
