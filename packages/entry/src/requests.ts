import type * as core from '@mustarddeck/entry-core'
import type * as types from '@mustarddeck/types'

/** A refused reservation of ids; nothing is reserved. */
export type Refusal = Omit<Extract<core.Effect, { kind: 'reserve-refused' }>, 'request'>
export type ReservationAnswer = { kind: 'reserved', reservation: core.Reservation } | Refusal

/** Callers' requests to the decision code. Undefined stands for a caller whose connection closed first. */
export interface Requests {
  submit (submission: types.Submission, waitMs: number, closed?: AbortSignal): Promise<types.Outcome | undefined>
  inquire (job: types.JobId, waitMs: number, closed?: AbortSignal): Promise<types.Outcome | undefined>
  cancel (job: types.JobId, waitMs: number, closed?: AbortSignal): Promise<types.Outcome | undefined>
  reserve (count: number, closed?: AbortSignal): Promise<ReservationAnswer | undefined>
  /** Gives an answer of the decision code to the request that it names. */
  answered (effect: Answer): void
  /** Number of requests without an answer. */
  open (): number
}

export type Answer = Extract<core.Effect, { kind: 'answer' | 'reserved' | 'reserve-refused' }>

const RETRY_AFTER_MS = 1000

/** Each request has an id of its own that is never used again, and its answer is taken once. */
export const create = (input: (input: core.Input) => void): Requests => {
  const waiting = new Map<types.RequestId, (effect: Answer | undefined) => void>()
  let last = 0

  const ask = async (make: (request: types.RequestId) => core.Input, closed?: AbortSignal) => {
    if (closed?.aborted) return undefined
    const request = `${++last}` as types.RequestId
    let abandon: (() => void) | undefined
    const effect = await new Promise<Answer | undefined>((resolve) => {
      waiting.set(request, resolve)
      abandon = () => {
        waiting.delete(request)
        input({ kind: 'abandoned', request })
        resolve(undefined)
      }
      closed?.addEventListener('abort', abandon, { once: true })
      input(make(request))
    })
    if (abandon) closed?.removeEventListener('abort', abandon)
    return effect
  }
  /** An outcome of another job, which only a faulty peer can send, is not given to the caller. */
  const outcome = async (
    make: (request: types.RequestId) => core.Input, closed?: AbortSignal, job?: types.JobId
  ): Promise<types.Outcome | undefined> => {
    const effect = await ask(make, closed)
    if (effect?.kind !== 'answer') return undefined
    if (job === undefined || effect.outcome.job === undefined || effect.outcome.job === job) return effect.outcome
    return { kind: 'unknown', job, reason: 'owner-unreachable', retryAfterMs: RETRY_AFTER_MS }
  }
  return {
    submit: (submission, waitMs, closed) =>
      outcome((request) => ({ kind: 'submit', request, submission, waitMs }), closed, submission.id),
    inquire: (job, waitMs, closed) => outcome((request) => ({ kind: 'inquire', request, job, waitMs }), closed, job),
    cancel: (job, waitMs, closed) => outcome((request) => ({ kind: 'cancel', request, job, waitMs }), closed, job),
    reserve: async (count, closed) => {
      const effect = await ask((request) => ({ kind: 'reserve', request, count }), closed)
      if (effect?.kind === 'reserved') return { kind: 'reserved', reservation: effect.reservation }
      return effect?.kind === 'reserve-refused' ? effect : undefined
    },
    answered: (effect) => {
      const resolve = waiting.get(effect.request)
      waiting.delete(effect.request)
      resolve?.(effect)
    },
    open: () => waiting.size
  }
}
