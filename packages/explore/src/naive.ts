import type * as agentCore from '@mustarddeck/agent-core'
import * as clock from '@mustarddeck/clock'
import type * as entryCore from '@mustarddeck/entry-core'
import type * as messages from '@mustarddeck/messages'
import * as randoms from '@mustarddeck/random'
import * as types from '@mustarddeck/types'
import type * as events from './events.ts'
import * as backends from './fakes/backend.ts'
import * as callers from './fakes/callers.ts'
import * as runs from './run.ts'

const WRITE_MS = 5
const SLOTS = 6
const AGENT = 'naiveagent' as types.Incarnation
const VIEW: types.MembershipView = { kind: 'registered', departures: 0 }
const OWNER = 'naiveentry' as types.Incarnation

interface Job {
  submission: types.Submission & { id: types.JobId }
  tasks: types.TaskReport[]
  ended: number
  outcome?: types.Outcome
  waiting: types.RequestId[]
}

/**
 * The simplest dispatcher that keeps the promises while nothing fails: one process, which writes every start to a table
 * and then makes the call.
 */
export const create = ({ timers, backend, answered, reserved }: {
  timers: clock.Timers
  backend: backends.Backend
  answered (request: types.RequestId, outcome: types.Outcome): void
  reserved (request: types.RequestId, reservation: entryCore.Reservation): void
}): callers.Port => {
  const jobs = new Map<types.JobId, Job>()
  const table = new Set<string>()
  const queue: messages.Start[] = []
  let running = 0
  let lastBlock = 0

  const outcomeOf = ({ submission: { id }, tasks }: Job): types.Outcome => {
    const results = tasks.flatMap(({ name, outcome }) =>
      outcome.kind === 'finished' ? [{ name, result: outcome.result }] : [])
    if (results.length === tasks.length) return { kind: 'complete', job: id, results }
    return { kind: 'failed', job: id, reason: 'task-failed', tasks }
  }
  const ended = (start: messages.Start, execution: agentCore.Execution): void => {
    running--
    const job = jobs.get(start.job)!
    job.tasks[start.index]!.outcome = execution.kind === 'not-started' ? { kind: 'never-started' } : execution
    if (++job.ended === job.tasks.length) {
      const outcome = outcomeOf(job)
      job.outcome = outcome
      for (const request of job.waiting.splice(0)) answered(request, outcome)
    }
    pump()
  }
  const pump = (): void => {
    while (running < SLOTS && queue.length > 0) {
      const start = queue.shift()!
      running++
      timers.after(WRITE_MS, () => {
        const key = `${start.job}/${start.index}`
        if (table.has(key)) return
        table.add(key)
        backend.call(start, AGENT, (execution) => ended(start, execution))
      })
    }
  }
  const open = (submission: types.Submission & { id: types.JobId }): Job => {
    const { id, digest, type, tasks } = submission
    const job: Job = {
      submission,
      tasks: tasks.map(({ name }) => ({ name, outcome: { kind: 'never-started' } })),
      ended: 0,
      waiting: []
    }
    jobs.set(id, job)
    const [taskType] = runs.RULES.taskTypes as [types.TaskType]
    tasks.forEach(({ name, payload }, index) => queue.push({
      kind: 'start',
      job: id,
      index,
      attempt: 0,
      total: tasks.length,
      digest,
      name,
      type,
      payload,
      limitMs: taskType.timeLimitMs,
      resources: taskType.resources
    }))
    pump()
    return job
  }
  const newBlock = (): string => types.formatBlock(OWNER, VIEW, ++lastBlock)
  const submit = (request: types.RequestId, submission: types.Submission): void => {
    const id = submission.id ?? `${newBlock()}.0` as types.JobId
    const job = jobs.get(id) ?? open({ ...submission, id })
    if (job.submission.digest !== submission.digest) answered(request, { kind: 'conflict', job: id })
    else if (job.outcome) answered(request, job.outcome)
    else job.waiting.push(request)
  }
  return {
    label: 'naive',
    accepts: () => true,
    input: (input) => {
      if (input.kind === 'reserve') {
        reserved(input.request, { prefix: newBlock(), first: 0, count: input.count, lifetimeMs: 60_000 })
      } else if (input.kind === 'submit') submit(input.request, input.submission)
    }
  }
}

/** Gives the submissions of a faultless schedule to the naive dispatcher. */
export const run = (schedule: events.Schedule): callers.Callers => {
  const timers = clock.createVirtual()
  const random = randoms.create(schedule.seed)
  const fail = (message: string): never => { throw new Error(message) }
  const side = callers.create({ timers, random: random.fork(), fail })
  const backend = backends.create({ timers, random: random.fork(), worker: 'naive', starts: [] })
  const port = create({ timers, backend, answered: side.answered, reserved: side.reserved })
  runs.submitAll(schedule, timers, side, () => port)
  timers.advance(runs.LIVENESS_MS)
  return side
}
