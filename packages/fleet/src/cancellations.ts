import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'
import type * as messages from './messages.ts'

/** Time in ms to wait for replies of the other entries. */
const TIMEOUT_MS = 400

/** `unknown-job`: no entry has the job. `unconfirmed`: not all entries replied, and those that did don't have it. */
export type CancelOutcome = 'cancelled' | 'unknown-job' | 'unconfirmed'

export interface Options {
  timers: clock.Timers
  log: log.Log
  send (link: number, message: messages.Message): void
  /** Returns one link to each other entry. */
  others (): number[]
}

/** Cancels jobs that other entries may hold. */
export interface Cancellations {
  /** Asks all other entries to cancel the job. */
  ask (key: runs.JobKey): Promise<CancelOutcome>
  onReply (request: number, known: boolean): void
}

interface Cancellation {
  /** Number of entries that haven't replied. */
  unanswered: number
  finish (outcome: CancelOutcome): void
}

export const create = ({ timers, log, send, others }: Options): Cancellations => {
  const pending = new Map<number, Cancellation>()
  let nextRequest = 1

  return {
    ask: (key) => new Promise((resolve) => {
      const links = others()
      if (links.length === 0) return resolve('unknown-job')
      const request = nextRequest++
      const finish = (outcome: CancelOutcome): void => {
        pending.delete(request)
        cancelTimer()
        if (outcome === 'unconfirmed') log.warn('cancel-unconfirmed', { job: key })
        resolve(outcome)
      }
      const cancelTimer = timers.after(TIMEOUT_MS, () => finish('unconfirmed'))
      pending.set(request, { unanswered: links.length, finish })
      for (const link of links) send(link, { kind: 'cancel', request, key })
    }),
    onReply: (request, known) => {
      const cancellation = pending.get(request)
      if (!cancellation) return
      cancellation.unanswered--
      if (known) cancellation.finish('cancelled')
      else if (cancellation.unanswered === 0) cancellation.finish('unknown-job')
    }
  }
}
