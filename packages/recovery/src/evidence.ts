import type * as messages from '@mustarddeck/messages'
import type * as types from '@mustarddeck/types'

interface RunningTask {
  kind: 'running'
  /** The agent that runs the task. */
  agent: types.Incarnation
}

type TaskState = messages.TaskEnd | RunningTask

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
  /** `complete` or `failed` if records of all tasks show their end. */
  settled (): types.Outcome | undefined
  /** The outcome when tasks without a record are known to have never started. */
  failed (): types.Outcome
}

const isRunning = (state: TaskState): state is RunningTask => state.kind === 'running'

/** `names` are the task names of the resubmission, if one is at hand. */
export const create = (job: types.JobId, names: types.TaskName[] | undefined): Evidence => {
  const states = new Map<number, TaskState>()
  const recordedNames = new Map<number, types.TaskName>()
  let total: number | undefined
  let digest: types.Digest | undefined

  const outcomeOf = (state: TaskState | undefined): types.TaskOutcome => {
    if (!state) return { kind: 'never-started' }
    return isRunning(state) ? { kind: 'may-have-run' } : state
  }
  const nameOf = (index: number): types.TaskName =>
    recordedNames.get(index) ?? names?.[index] ?? `#${index}` as types.TaskName
  const reports = (): types.TaskReport[] => Array.from({ length: total ?? 0 }, (_, index) =>
    ({ name: nameOf(index), outcome: outcomeOf(states.get(index)) }))
  const running = (): RunningTask[] => [...states.values()].filter(isRunning)

  const failed = (): types.Outcome => {
    const tasks = reports()
    const isOwnersFault = tasks.some(({ outcome }) => outcome.kind === 'never-started')
    return { kind: 'failed', job, reason: isOwnersFault ? 'owner-lost' : 'task-failed', tasks }
  }
  const complete = (): types.Outcome => ({
    kind: 'complete',
    job,
    results: [...states].sort(([a], [b]) => a - b).map(([index, state]) =>
      ({ name: nameOf(index), result: state.kind === 'finished' ? state.result : undefined }))
  })
  const forgetRunning = (agent: types.Incarnation): void => {
    for (const [index, state] of states) if (isRunning(state) && state.agent === agent) states.delete(index)
  }
  const addTask = (agent: types.Incarnation, { index, name, outcome }: messages.TaskRecord): void => {
    recordedNames.set(index, name)
    if (!states.has(index)) states.set(index, outcome ?? { kind: 'running', agent })
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
      if (outcome) states.set(index, outcome)
      else states.delete(index)
    },
    digest: () => digest,
    runningOn: () => running().map(({ agent }) => agent),
    isEmpty: () => states.size === 0,
    settled: () => {
      if (total === undefined || states.size < total || running().length > 0) return undefined
      return [...states.values()].every((state) => state.kind === 'finished') ? complete() : failed()
    },
    failed
  }
}
