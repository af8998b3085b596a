import * as errors from '@mustarddeck/errors'
import * as types from '@mustarddeck/types'
import type * as clock from '@mustarddeck/clock'
import type * as random from '@mustarddeck/random'
import * as entryList from './entries.ts'
import * as idBlocks from './id-blocks.ts'
import * as http from './http.ts'

export interface Settings {
  /** Base URLs of entries or of the load balancer in front of them; at least one. */
  entries: string[]
  timers: clock.Timers
  random: random.Random
  /** Number of ids to reserve at a time. */
  blockIds?: number
  /** Time in ms that an entry may hold one request open while the outcome is pending; then the request is repeated. */
  waitMs?: number
}

export interface Job {
  team: string
  type: string
  tasks: { name: string, payload: unknown }[]
  idempotent?: boolean
  /** Maximum time in ms in the queue, after which the job is refused as `not-run`. */
  maxWaitMs?: number
}

export interface Options {
  /** Time in ms after which `submit` gives up waiting for a final outcome. */
  deadlineMs?: number
  /** Submit again under a new id when the job is refused because of overload, a quota, its queue time or memory. */
  retryRefused?: boolean
}

export type Failure =
  /** The request is invalid; nothing was run. */
  | { kind: 'invalid', reason: string, message: string }
  /** No final outcome arrived in time. The job may be running: inquire its id again, or cancel it. */
  | { kind: 'undecided', job?: types.JobId, last?: types.Outcome }

export interface Client {
  /** Submits the job through any entry, repeatedly under the same id, until a final outcome arrives. */
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
/** Number of `unknown` outcomes of one job after which the client switches to another entry. */
const UNKNOWNS_PER_ENTRY = 4

/** Reasons for which the owner accepts no new job under the id; the job can be submitted under an id of a new block. */
const OWNER_REASONS: ReadonlySet<string> = new Set(['block-closed', 'owner-fenced', 'owner-lost', 'draining'])
/** Reasons for which a job is refused under load; resubmitted under a new id only with `retryRefused`. */
const LOAD_REASONS: ReadonlySet<string> = new Set(['overload', 'quota', 'queue-time', 'memory-limit'])

export const create = (settings: Settings): Client => {
  errors.invariant(settings.entries.length > 0, 'the client needs the address of at least one entry')
  const { timers, random, waitMs = WAIT_MS } = settings
  const httpClient = http.create()
  const entries = entryList.create(settings.entries.map((url) => url.replace(/\/+$/, '')), random)
  const ids = idBlocks.create({ http: httpClient, entries, time: timers, count: settings.blockIds ?? BLOCK_IDS })

  const sleep = (delayMs: number): Promise<void> => new Promise((resolve) => { timers.after(delayMs, resolve) })
  const backoff = (failures: number): Promise<void> =>
    sleep(Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(failures, 10)) * (0.5 + random.float() / 2))

  /** Sends one request to the current entry; returns undefined without a usable answer, in which case to retry. */
  const sendRequest = async (
    method: 'GET' | 'POST' | 'DELETE', path: string, job: types.JobId, requestWaitMs: number, json?: unknown
  ): Promise<types.Outcome | http.Invalid | undefined> => {
    const address = entries.current()
    const answer = await httpClient.call(method, `${address}${path}?waitMs=${requestWaitMs}`, requestWaitMs, json)
    entries.recordAnswer(address, answer)
    if (answer.kind === 'no-answer' || answer.body.kind === 'reserved') return undefined
    const { body } = answer
    if (body.kind === 'invalid') return body
    // Ignore an outcome that belongs to another job.
    if (body.job !== undefined && body.job !== job) return undefined
    if (body.kind === 'not-run' && !body.final) entries.switchFrom(address)
    return body
  }

  const isRetriableUnderNewId = (outcome: types.Outcome, retryRefused: boolean): boolean =>
    outcome.kind === 'not-run' && outcome.final &&
    (OWNER_REASONS.has(outcome.reason) || (retryRefused && LOAD_REASONS.has(outcome.reason)))

  const submit = async (job: Job, options: Options = {}): Promise<errors.Result<types.Outcome, Failure>> => {
    const deadline = timers.monotonic() + (options.deadlineMs ?? DEADLINE_MS)
    let id: types.JobId | undefined
    let lastOutcome: types.Outcome | undefined
    let unknownCount = 0
    for (let failures = 0; ;) {
      const remainingMs = deadline - timers.monotonic()
      if (remainingMs <= 0) return errors.error({ kind: 'undecided', job: id, last: lastOutcome })
      id ??= await ids.next()
      if (id === undefined) {
        await backoff(failures++)
        continue
      }
      const requestWaitMs = Math.max(1, Math.floor(Math.min(waitMs, remainingMs)))
      const outcome = await sendRequest('POST', '/v1/jobs', id, requestWaitMs, { ...job, id })
      if (outcome?.kind === 'invalid') return errors.error(outcome)
      if (!outcome) {
        await backoff(failures++)
        continue
      }
      lastOutcome = outcome
      if (outcome.kind === 'pending') failures = 0
      else if (outcome.kind === 'conflict') return errors.ok(outcome)
      else if (isRetriableUnderNewId(outcome, options.retryRefused ?? false)) {
        ids.discardBlockOf(id)
        id = undefined
        await waitBeforeRetry(outcome, failures++)
      } else if (types.isFinal(outcome)) return errors.ok(outcome)
      else {
        // This entry is already determining the outcome; another entry would have to start over.
        if (outcome.kind === 'unknown' && ++unknownCount % UNKNOWNS_PER_ENTRY === 0) entries.switchFrom(entries.current())
        await waitBeforeRetry(outcome, failures++)
      }
    }
  }
  const waitBeforeRetry = async (outcome: types.Outcome, failures: number): Promise<void> => {
    const advisedMs = 'retryAfterMs' in outcome ? outcome.retryAfterMs : undefined
    if (advisedMs === undefined) return backoff(failures)
    return sleep(advisedMs * (0.5 + random.float() / 2))
  }

  const requestOutcome = async (
    method: 'GET' | 'DELETE', job: types.JobId, requestWaitMs: number
  ): Promise<errors.Result<types.Outcome, Failure>> => {
    for (let failures = 0; failures < settings.entries.length + 1; failures++) {
      const outcome = await sendRequest(method, `/v1/jobs/${job}`, job, requestWaitMs)
      if (outcome?.kind === 'invalid') return errors.error(outcome)
      if (outcome) return errors.ok(outcome)
      await backoff(failures)
    }
    return errors.error({ kind: 'undecided', job })
  }
  return {
    submit,
    inquire: (job, requestWaitMs = 0) => requestOutcome('GET', job, requestWaitMs),
    cancel: (job, requestWaitMs = WAIT_MS) => requestOutcome('DELETE', job, requestWaitMs),
    close: () => httpClient.close()
  }
}
