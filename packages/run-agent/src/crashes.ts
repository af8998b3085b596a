import type * as runs from '@mustarddeck/runs'
import type * as runLedger from './run-ledger.ts'

/** The worker as last known before it crashed; `listedAt` is when it last answered a list call. */
export interface LastKnown {
  worker: runs.Worker | undefined
  bornMs: number | undefined
  listedAt: number
}

/**
 * Returns the crash to report for each run on a worker that crashed or can't be reached. A worker that has announced
 * that it leaves has not crashed.
 */
export const attribute = (
  ledger: runLedger.RunLedger, { worker, bornMs, listedAt }: LastKnown
): Map<runLedger.Run, runs.Crash> => {
  if (!worker || worker.leaving) return new Map()
  const onWorker = [...ledger.all()].filter(({ entry }) => entry !== undefined)
  const hasSurvivedStart = ({ startConfirmedAt }: runLedger.Run): boolean =>
    startConfirmedAt !== undefined && startConfirmedAt <= listedAt
  const haveAllSurvived = onWorker.every(hasSurvivedStart)
  const suspicionOf = (run: runLedger.Run): runs.Suspicion => {
    if (onWorker.length === 1) return 'alone'
    return haveAllSurvived || !hasSurvivedStart(run) ? 'possible' : 'beside'
  }
  return new Map(onWorker.map((run) => [
    run, { worker: worker.id, bornMs: bornMs ?? worker.bornMs, suspicion: suspicionOf(run) }
  ]))
}
