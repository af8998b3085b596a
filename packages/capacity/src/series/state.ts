import * as entryCores from '@mustarddeck/entry-core'
import * as errors from '@mustarddeck/errors'
import * as journals from '@mustarddeck/journal'
import type * as messages from '@mustarddeck/messages'
import * as placements from '@mustarddeck/placement'
import * as randoms from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as measure from '../measure.ts'
import * as regions from '../region.ts'
import type * as series from '../series.ts'

const LINK = 1 as types.LinkId
const SLOTS = 10_000
const RUN_MS = 100
/** Bytes of each task's result. */
const RESULT_BYTES = 64
const OWNER = 'ownerincarnation' as types.Incarnation

const result = (index: number): string => `${index}`.padEnd(RESULT_BYTES, 'x')

/** An entry that has run so many jobs to their end and keeps their outcomes. */
const entryAfter = (jobs: number, tasks: number): entryCores.EntryCore => {
  const random = randoms.create(1)
  const core = entryCores.create({
    settings: regions.entrySettings('entry'),
    placement: placements.create({ random }),
    random
  })
  const handle = (input: entryCores.Input): void => {
    for (const effect of core.handle(input, 0)) {
      if (effect.kind !== 'send' || effect.message.kind !== 'start') continue
      const { job, index, attempt } = effect.message
      const outcome: messages.TaskEnd = { kind: 'finished', result: result(index), runMs: RUN_MS }
      handle({ kind: 'message', link: LINK, message: { kind: 'finished', job, index, attempt, outcome, renewed: true } })
    }
  }
  handle({ kind: 'rules', rules: regions.RULES })
  handle({
    kind: 'link-up',
    link: LINK,
    hello: {
      kind: 'hello',
      version: 1,
      role: 'agent',
      name: 'worker',
      incarnation: 'agentincarnation' as types.Incarnation,
      failureDomain: regions.DOMAIN,
      registered: true,
      slots: SLOTS,
      resources: { cores: SLOTS, memoryMb: 1e9, accelerators: 0 },
      configuration: 1
    }
  })
  handle({ kind: 'message', link: LINK, message: { kind: 'grant', slots: SLOTS } })
  for (let job = 0; job < jobs; job++) {
    handle({
      kind: 'submit',
      request: `request-${job}` as types.RequestId,
      waitMs: 1000,
      submission: {
        team: regions.RULES.teams[0]!.name,
        type: regions.TYPE,
        tasks: Array.from({ length: tasks }, (_, index) => ({ name: `wire-${index}` as types.TaskName, payload: { index } })),
        idempotent: false,
        digest: `${job}`.padEnd(64, '0') as types.Digest
      }
    })
  }
  errors.invariant(core.status().jobs === 0, 'every job has an outcome')
  return core
}

/** Heap and accounted bytes of the outcomes that an entry keeps until their block retires. */
export const ledger = ({ jobs, tasks }: { jobs: number[], tasks: number[] }): series.Series[] => {
  const mechanism = 'ledger, entry-core (job)'
  const manyTasks = 1000
  const heap = (count: number, size: number): number => measure.heapBytes(() => entryAfter(count, size))
  return [
    {
      id: 'ledger-job',
      title: 'heap of an entry, ended jobs of one task',
      mechanism,
      x: 'jobs',
      y: 'bytes',
      points: jobs.map((count) => ({ x: count, y: heap(count, 1) }))
    },
    {
      id: 'ledger-task',
      title: `heap of an entry, ${manyTasks} ended jobs`,
      mechanism,
      x: 'tasks',
      y: 'bytes',
      points: tasks.map((size) => ({ x: size * manyTasks, y: heap(manyTasks, size) }))
    },
    {
      id: 'ledger-task-accounted',
      title: `accounted bytes of an entry, ${manyTasks} ended jobs`,
      mechanism,
      x: 'tasks',
      y: 'bytes',
      points: tasks.map((size) => ({ x: size * manyTasks, y: entryAfter(manyTasks, size).status().bytes }))
    }
  ]
}

const TASKS_PER_JOB = 4

/** Strings as they come out of a frame: without this, records of the measurement would share them. */
const fresh = <Text extends string>(text: Text): Text => Buffer.from(text).toString() as Text

const journalOf = (tasks: number): journals.Journal => {
  const journal = journals.create({ maxBytes: 4e9 })
  for (let task = 0; task < tasks; task++) {
    const index = task % TASKS_PER_JOB
    const number = Math.floor(task / TASKS_PER_JOB)
    const job = `${OWNER}.r0.${1 + Math.floor(number / 4096)}.${number % 4096}` as types.JobId
    journal.record({
      kind: 'start',
      job: fresh(job),
      index,
      attempt: 0,
      total: TASKS_PER_JOB,
      digest: fresh(`${number}`.padEnd(64, '0') as types.Digest),
      name: fresh(`wire-${index}` as types.TaskName),
      type: regions.TYPE,
      payload: { index },
      limitMs: 1000,
      resources: regions.RESOURCES
    }, true)
    journal.end(job, index, { kind: 'finished', result: fresh(result(index)), runMs: RUN_MS })
  }
  return journal
}

/** Heap and accounted bytes of the records that an agent keeps until their block retires. */
export const journal = (sizes: number[]): series.Series[] => [
  {
    id: 'journal-task',
    title: `heap of an agent's start records, jobs with ${TASKS_PER_JOB} tasks on it`,
    mechanism: 'journal',
    x: 'tasks',
    y: 'bytes',
    points: sizes.map((tasks) => ({ x: tasks, y: measure.heapBytes(() => journalOf(tasks)) }))
  },
  {
    id: 'journal-task-accounted',
    title: "accounted bytes of an agent's start records",
    mechanism: 'journal',
    x: 'tasks',
    y: 'bytes',
    points: sizes.map((tasks) => ({ x: tasks, y: journalOf(tasks).bytes() }))
  }
]
