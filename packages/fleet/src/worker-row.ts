import type * as runs from '@mustarddeck/runs'
import * as validation from './validation.ts'

/**
 * Time in ms by which a worker's start may lie ahead of this process's clock. A start far ahead would shut out the true
 * worker, as that of an earlier incarnation.
 */
const MAX_AHEAD_MS = 86_400_000

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Parses the worker row that an agent stores, at `nowMs` in Unix time; returns undefined if it has another format. */
export const parse = (text: string, nowMs: number): runs.Worker | undefined => {
  const worker = parseJson(text)
  if (!validation.isWorker(worker) || worker.bornMs > nowMs + MAX_AHEAD_MS) return undefined
  // Only known fields are kept: others may be nested too deeply to be encoded.
  const { id, bornMs, service, zone, labels, leaving, capacity: { millicores, memoryMb, accelerators } } = worker
  return { id, bornMs, service, zone, capacity: { millicores, memoryMb, accelerators }, labels, leaving }
}
