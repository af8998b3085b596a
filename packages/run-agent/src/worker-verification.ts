import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'

/** Delay in ms before a worker that gave no usable answer is asked again. */
const RETRY_MS = 60
/** Maximum number of announced workers that are verified at a time; the first ones are evicted. */
const MAX_CANDIDATES = 8

/** When the worker was asked, in monotonic ms, and with which fencing token. */
export interface Inquiry {
  askedAt: number
  tokenUsed: number
}

/** The worker's answer to a call that names the announced id; `unclear` if there was none that tells. */
export type Verdict =
  | { kind: 'confirmed', listing: runs.Listing, inquiry: Inquiry }
  | { kind: 'denied' }
  | { kind: 'unclear' }

/**
 * Verifies which worker runs on the agent's machine. Announcements and stored rows may come from another writer, so
 * they name only candidates. Invariant: a worker is confirmed only after it has answered a call that is addressed to
 * the announced id, and its answer has shown the announced start. Runs of its predecessor have ended by then.
 */
export interface WorkerVerification {
  /** Asks whether the worker runs here, until it confirms or denies it. */
  add (worker: runs.Worker): void
  stop (): void
}

export interface Options {
  timers: clock.Timers
  log: log.Log
  ask (worker: runs.Worker): Promise<Verdict>
  onConfirmed (worker: runs.Worker, verdict: Verdict & { kind: 'confirmed' }): void
}

export const create = ({ timers, log, ask, onConfirmed }: Options): WorkerVerification => {
  /** Workers that have neither been confirmed nor denied, by id and start. */
  const candidates = new Map<string, runs.Worker>()

  const verify = async (key: string): Promise<void> => {
    const asked = candidates.get(key)
    if (!asked) return
    const verdict = await ask(asked)
    const worker = candidates.get(key)
    if (!worker) return
    if (verdict.kind === 'unclear') {
      timers.after(RETRY_MS, () => verify(key))
      return
    }
    candidates.delete(key)
    if (verdict.kind === 'confirmed') onConfirmed(worker, verdict)
    else log.warn('worker-denied', { worker: worker.id, bornMs: worker.bornMs })
  }
  return {
    add: (worker) => {
      const key = `${worker.id} ${worker.bornMs}`
      const known = candidates.get(key)
      // A worker that leaves does not come back in this incarnation; the announcement was delayed.
      candidates.set(key, { ...worker, leaving: worker.leaving || known?.leaving === true })
      if (known) return
      const [first] = candidates.keys()
      if (candidates.size > MAX_CANDIDATES && first !== undefined) candidates.delete(first)
      verify(key)
    },
    stop: () => candidates.clear()
  }
}
