import type * as core from '@mustarddeck/entry-core'
import type * as types from '@mustarddeck/types'

/** Refusal of an id reservation; no ids are reserved. */
export type Refusal = Omit<Extract<core.Effect, { kind: 'reserve-refused' }>, 'request'>
export type ReservationAnswer = { kind: 'reserved', reservation: core.Reservation } | Refusal

/** Passes callers' requests to the decision code. A result is undefined if the caller disconnected first. */
export interface Requests {
  submit (submission: types.Submission, waitMs: number, disconnected?: AbortSignal): Promise<types.Outcome | undefined>
  inquire (job: types.JobId, waitMs: number, disconnected?: AbortSignal): Promise<types.Outcome | undefined>
  cancel (job: types.JobId, waitMs: number, disconnected?: AbortSignal): Promise<types.Outcome | undefined>
  reserve (count: number, disconnected?: AbortSignal): Promise<ReservationAnswer | undefined>
  /** Resolves the request that an answer of the decision code belongs to. */
  handleAnswer (effect: Answer): void
  /** Returns the number of requests without an answer. */
  openCount (): number
}

export type Answer = Extract<core.Effect, { kind: 'answer' | 'reserved' | 'reserve-refused' }>

const RETRY_AFTER_MS = 1000

/** Gives every request a unique id; only the first answer to a request counts. */
export const create = (input: (input: core.Input) => void): Requests => {
  const pendingRequests = new Map<types.RequestId, (effect: Answer | undefined) => void>()
  let lastRequestNumber = 0

  const sendRequest = async (createInput: (request: types.RequestId) => core.Input, disconnected?: AbortSignal) => {
    if (disconnected?.aborted) return undefined
    const request = `${++lastRequestNumber}` as types.RequestId
    let abandon: (() => void) | undefined
    const effect = await new Promise<Answer | undefined>((resolve) => {
      pendingRequests.set(request, resolve)
      abandon = () => {
        pendingRequests.delete(request)
        input({ kind: 'abandoned', request })
        resolve(undefined)
      }
      disconnected?.addEventListener('abort', abandon, { once: true })
      input(createInput(request))
    })
    if (abandon) disconnected?.removeEventListener('abort', abandon)
    return effect
  }
  /** Returns `unknown` for an outcome that names another job, which only a faulty peer can send. */
  const requestOutcome = async (
    createInput: (request: types.RequestId) => core.Input, disconnected?: AbortSignal, job?: types.JobId
  ): Promise<types.Outcome | undefined> => {
    const effect = await sendRequest(createInput, disconnected)
    if (effect?.kind !== 'answer') return undefined
    if (job === undefined || effect.outcome.job === undefined || effect.outcome.job === job) return effect.outcome
    return { kind: 'unknown', job, reason: 'owner-unreachable', retryAfterMs: RETRY_AFTER_MS }
  }
  return {
    submit: (submission, waitMs, disconnected) =>
      requestOutcome((request) => ({ kind: 'submit', request, submission, waitMs }), disconnected, submission.id),
    inquire: (job, waitMs, disconnected) =>
      requestOutcome((request) => ({ kind: 'inquire', request, job, waitMs }), disconnected, job),
    cancel: (job, waitMs, disconnected) =>
      requestOutcome((request) => ({ kind: 'cancel', request, job, waitMs }), disconnected, job),
    reserve: async (count, disconnected) => {
      const effect = await sendRequest((request) => ({ kind: 'reserve', request, count }), disconnected)
      if (effect?.kind === 'reserved') return { kind: 'reserved', reservation: effect.reservation }
      return effect?.kind === 'reserve-refused' ? effect : undefined
    },
    handleAnswer: (effect) => {
      const resolve = pendingRequests.get(effect.request)
      pendingRequests.delete(effect.request)
      resolve?.(effect)
    },
    openCount: () => pendingRequests.size
  }
}
