import type * as clock from '@mustarddeck/clock'
import type * as entryCore from '@mustarddeck/entry-core'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import type * as backend from './backend.ts'

/** What one submission asks for; the token marks everything that stems from it. */
export interface Content {
  token: string
  tasks: Array<{ name: types.TaskName, runMs: number }>
  idempotent: boolean
}

export interface Job {
  number: number
  content: Content
  /** Known from a reservation, or from the first answer. */
  id?: types.JobId
  requests: Request[]
}

/** One HTTP request of a caller and every answer to it. */
export interface Request {
  id: types.RequestId
  kind: 'submit' | 'inquire' | 'cancel'
  /** Process and life of it that received the request. */
  entry: string
  job: Job
  /** What a `submit` asked for. */
  content?: Content
  withId: boolean
  at: number
  abandoned: boolean
  /** The entry's code has seen the request. */
  received: boolean
  /** Made after all faults had ended. */
  healed: boolean
  answers: Array<{ outcome: types.Outcome, at: number }>
}

/** An entry process as callers reach it. */
export interface Port {
  /** Name and life. */
  label: string
  accepts (): boolean
  input (input: entryCore.Input): void
}

export interface Callers {
  jobs: Job[]
  requests: Request[]
  /** Makes a job with an id from a block of `issuer`, then submits it to `target`. Without an issuer it has no id. */
  submit (work: { runMs: number[], idempotent: boolean }, issuer: Port | undefined, target: Port, waitMs: number): void
  resubmit (job: Job, target: Port, waitMs: number): Request | undefined
  /** Submits other content under the id of the job. */
  conflict (job: Job, target: Port): void
  inquire (job: Job, target: Port): void
  cancel (job: Job, target: Port): void
  abandon (job: Job, portOf: (label: string) => Port | undefined): void
  received (request: types.RequestId): void
  answered (request: types.RequestId, outcome: types.Outcome): void
  reserved (request: types.RequestId, reservation: entryCore.Reservation): void
  /** Time at which the first id of the block was reserved. */
  reservedAt (prefix: string): number | undefined
}

export const TEAM = 'team' as types.TeamName
export const TASK_TYPE = 'check' as types.TaskTypeName
const BLOCK_IDS = 4

export const create = ({ timers, random, fail }: {
  timers: clock.Timers, random: random.Random, fail: (message: string) => void
}): Callers => {
  const jobs: Job[] = []
  const requests: Request[] = []
  const byId = new Map<types.RequestId, Request>()
  const reservations = new Map<types.RequestId, { issuer: string, start: (id: types.JobId) => void }>()
  /** Unused ids by label of the entry that gave them. */
  const pools = new Map<string, types.JobId[]>()
  const blocks = new Map<string, number>()
  let serial = 0

  const nextRequest = (): types.RequestId => `q${++serial}` as types.RequestId
  const delayMs = (): number => 0.1 + random.exponential(random.float() < 0.05 ? 100 : 1)
  const newContent = (runMs: number[], idempotent: boolean): Content => {
    const token = `c${++serial}`
    const tasks = runMs.map((ms, index) => ({ name: `${token}-${index}` as types.TaskName, runMs: ms }))
    return { token, tasks, idempotent }
  }
  const submissionOf = (content: Content, id: types.JobId | undefined): types.Submission => ({
    ...(id ? { id } : {}),
    team: TEAM,
    type: TASK_TYPE,
    tasks: content.tasks.map(({ name, runMs }): types.Task => {
      const payload: backend.Payload = { token: content.token, runMs }
      return { name, payload }
    }),
    idempotent: content.idempotent,
    digest: `digest-${content.token}` as types.Digest
  })
  const post = (
    job: Job, kind: Request['kind'], target: Port, content: Content | undefined,
    input: (id: types.RequestId) => entryCore.Input
  ): Request => {
    const request: Request = {
      id: nextRequest(),
      kind,
      entry: target.label,
      job,
      content,
      withId: job.id !== undefined,
      at: timers.monotonic(),
      abandoned: false,
      received: false,
      healed: false,
      answers: []
    }
    byId.set(request.id, request)
    requests.push(request)
    job.requests.push(request)
    const message = input(request.id)
    timers.after(delayMs(), () => { if (target.accepts()) target.input(message) })
    return request
  }
  const send = (job: Job, content: Content, target: Port, waitMs: number): Request =>
    post(job, 'submit', target, content, (request) =>
      ({ kind: 'submit', request, submission: submissionOf(content, job.id), waitMs }))

  const submit: Callers['submit'] = ({ runMs, idempotent }, issuer, target, waitMs) => {
    const job: Job = { number: jobs.length, content: newContent(runMs, idempotent), requests: [] }
    jobs.push(job)
    const start = (id: types.JobId | undefined): void => {
      job.id = id
      send(job, job.content, target, waitMs)
    }
    if (!issuer) return start(undefined)
    const pooled = pools.get(issuer.label)?.shift()
    if (pooled) return start(pooled)
    const request = nextRequest()
    reservations.set(request, { issuer: issuer.label, start })
    timers.after(delayMs(), () => {
      if (issuer.accepts()) issuer.input({ kind: 'reserve', request, count: BLOCK_IDS })
    })
  }
  return {
    jobs,
    requests,
    submit,
    resubmit: (job, target, waitMs) => job.id ? send(job, job.content, target, waitMs) : undefined,
    conflict: (job, target) => {
      if (job.id) send(job, newContent(job.content.tasks.map(() => 50), true), target, 1000)
    },
    inquire: (job, target) => {
      const id = job.id
      if (id) post(job, 'inquire', target, undefined, (request) => ({ kind: 'inquire', request, job: id, waitMs: 1000 }))
    },
    cancel: (job, target) => {
      const id = job.id
      if (id) post(job, 'cancel', target, undefined, (request) => ({ kind: 'cancel', request, job: id, waitMs: 1000 }))
    },
    abandon: (job, portOf) => {
      const open = job.requests.filter((request) => request.answers.length === 0 && !request.abandoned)
      for (const request of open) {
        const port = portOf(request.entry)
        request.abandoned = true
        if (port) timers.after(delayMs() + 50, () => port.input({ kind: 'abandoned', request: request.id }))
      }
    },
    received: (id) => {
      const request = byId.get(id)
      if (request) request.received = true
    },
    answered: (id, outcome) => {
      const request = byId.get(id)
      if (!request) return fail(`an answer to the unknown request ${id}`)
      request.answers.push({ outcome: structuredClone(outcome), at: timers.monotonic() })
      if (!request.withId && 'job' in outcome && outcome.job) request.job.id ??= outcome.job
    },
    reserved: (id, { prefix, first, count }) => {
      const reservation = reservations.get(id)
      if (!reservation) return fail(`a reservation for the unknown request ${id}`)
      reservations.delete(id)
      if (!blocks.has(prefix)) blocks.set(prefix, timers.monotonic())
      const ids = Array.from({ length: count }, (_, offset) => `${prefix}.${first + offset}` as types.JobId)
      reservation.start(ids.shift()!)
      pools.set(reservation.issuer, ids)
    },
    reservedAt: (prefix) => blocks.get(prefix)
  }
}
