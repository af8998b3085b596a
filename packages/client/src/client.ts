import * as errors from '@mustarddeck/errors'
import * as types from '@mustarddeck/types'
import type * as clock from '@mustarddeck/clock'
import type * as random from '@mustarddeck/random'
import * as entryList from './entries.ts'
import * as idBlocks from './id-blocks.ts'
import * as http from './http.ts'

export interface Settings {
  /** Base URLs of entries or of the load balancer before them; at least one. */
  entries: string[]
  timers: clock.Timers
  random: random.Random
  /** Ids per reservation. */
  blockIds?: number
  /** Longest time in ms that one request waits before it is repeated. */
  waitMs?: number
}

export interface Job {
  team: string
  type: string
  tasks: { name: string, payload: unknown }[]
  idempotent?: boolean
  /** Longest time in ms in the queue before the job is refused as not run. */
  maxWaitMs?: number
}

export interface Options {
  /** Time in ms after which `submit` gives up waiting for a final outcome. */
  deadlineMs?: number
  /** Submit again under a new id when the job is refused for overload, a quota or its time in the queue. */
  retryRefused?: boolean
}

export type Failure =
  /** The request is wrong; nothing was run. */
  | { kind: 'invalid', reason: string, message: string }
  /** No final outcome came in time. The job may run; ask for its id again, or cancel it. */
  | { kind: 'undecided', job?: types.JobId, last?: types.Outcome }

export interface Client {
  /** Submits until a final outcome arrives, through any entry, under one id. */
  submit (job: Job, options?: Options): Promise<errors.Result<types.Outcome, Failure>>
  inquire (job: types.JobId, waitMs?: number): Promise<errors.Result<types.Outcome, Failure>>
  cancel (job: types.JobId, waitMs?: number): Promise<errors.Result<types.Outcome, Failure>>
  close (): void
}

const BLOCK_IDS = 1000
const WAIT_MS = 5000
const DEADLINE_MS = 120_000
const FIRST_BACKOFF_MS = 20
const MAX_BACKOFF_MS = 1000
/** Unknown outcomes of one job after which another entry is asked. */
const UNKNOWNS_PER_ENTRY = 4

/** The owner of the id takes no new jobs under it; a new id from another block will do. */
const OWNER_REASONS: ReadonlySet<string> = new Set(['block-closed', 'owner-fenced', 'owner-lost', 'draining'])
const LOAD_REASONS: ReadonlySet<string> = new Set(['overload', 'quota', 'queue-time', 'memory-limit'])

export const create = (settings: Settings): Client => {
  errors.invariant(settings.entries.length > 0, 'a client needs the address of an entry')
  const { timers, random, waitMs = WAIT_MS } = settings
  const calls = http.create()
  const entries = entryList.create(settings.entries.map((url) => url.replace(/\/+$/, '')), random)
  const ids = idBlocks.create({ http: calls, entries, time: timers, count: settings.blockIds ?? BLOCK_IDS })

  const sleep = (delayMs: number): Promise<void> => new Promise((resolve) => { timers.after(delayMs, resolve) })
  const backoff = (failures: number): Promise<void> =>
    sleep(Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(failures, 10)) * (0.5 + random.float() / 2))

  /** One request to the entry in use; undefined when another entry must be asked. */
  const ask = async (
    method: 'GET' | 'POST' | 'DELETE', path: string, job: types.JobId, askWaitMs: number, json?: unknown
  ): Promise<types.Outcome | http.Invalid | undefined> => {
    const address = entries.current()
    const answer = await calls.call(method, `${address}${path}?waitMs=${askWaitMs}`, askWaitMs, json)
    entries.heard(address, answer)
    if (answer.kind === 'no-answer' || answer.body.kind === 'reserved') return undefined
    const { body } = answer
    if (body.kind === 'invalid') return body
    // An outcome of another job is not the answer to this request.
    if (body.job !== undefined && body.job !== job) return undefined
    if (body.kind === 'not-run' && !body.final) entries.leave(address)
    return body
  }

  const renewable = (outcome: types.Outcome, retryRefused: boolean): boolean =>
    outcome.kind === 'not-run' && outcome.final &&
    (OWNER_REASONS.has(outcome.reason) || (retryRefused && LOAD_REASONS.has(outcome.reason)))

  const submit = async (job: Job, options: Options = {}): Promise<errors.Result<types.Outcome, Failure>> => {
    const end = timers.monotonic() + (options.deadlineMs ?? DEADLINE_MS)
    let id: types.JobId | undefined
    let last: types.Outcome | undefined
    let unknowns = 0
    for (let failures = 0; ;) {
      const leftMs = end - timers.monotonic()
      if (leftMs <= 0) return errors.error({ kind: 'undecided', job: id, last })
      id ??= await ids.next()
      if (id === undefined) {
        await backoff(failures++)
        continue
      }
      const askWaitMs = Math.max(1, Math.floor(Math.min(waitMs, leftMs)))
      const outcome = await ask('POST', '/v1/jobs', id, askWaitMs, { ...job, id })
      if (outcome?.kind === 'invalid') return errors.error(outcome)
      if (!outcome) {
        await backoff(failures++)
        continue
      }
      last = outcome
      if (outcome.kind === 'pending') failures = 0
      else if (outcome.kind === 'conflict') return errors.ok(outcome)
      else if (renewable(outcome, options.retryRefused ?? false)) {
        ids.leave(id)
        id = undefined
        await pause(outcome, failures++)
      } else if (types.isFinal(outcome)) return errors.ok(outcome)
      else {
        // The entry that does not know yet is finding out; another one would begin anew.
        if (outcome.kind === 'unknown' && ++unknowns % UNKNOWNS_PER_ENTRY === 0) entries.leave(entries.current())
        await pause(outcome, failures++)
      }
    }
  }
  const pause = async (outcome: types.Outcome, failures: number): Promise<void> => {
    const advisedMs = 'retryAfterMs' in outcome ? outcome.retryAfterMs : undefined
    if (advisedMs === undefined) return backoff(failures)
    return sleep(advisedMs * (0.5 + random.float() / 2))
  }

  const once = async (
    method: 'GET' | 'DELETE', job: types.JobId, onceWaitMs: number
  ): Promise<errors.Result<types.Outcome, Failure>> => {
    for (let failures = 0; failures < settings.entries.length + 1; failures++) {
      const outcome = await ask(method, `/v1/jobs/${job}`, job, onceWaitMs)
      if (outcome?.kind === 'invalid') return errors.error(outcome)
      if (outcome) return errors.ok(outcome)
      await backoff(failures)
    }
    return errors.error({ kind: 'undecided', job })
  }
  return {
    submit,
    inquire: (job, onceWaitMs = 0) => once('GET', job, onceWaitMs),
    cancel: (job, onceWaitMs = WAIT_MS) => once('DELETE', job, onceWaitMs),
    close: () => calls.close()
  }
}
