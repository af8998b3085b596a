import type * as runs from '@mustarddeck/runs'

/** Parses the worker row that an agent stores; returns undefined if the text has another format. */
export const parse = (text: string): runs.Worker | undefined => {
  try {
    const worker = JSON.parse(text) as runs.Worker
    return typeof worker.id === 'string' && typeof worker.bornMs === 'number' && Array.isArray(worker.labels) &&
      typeof worker.capacity.millicores === 'number' && typeof worker.capacity.memoryMb === 'number'
      ? worker
      : undefined
  } catch {
    return undefined
  }
}
