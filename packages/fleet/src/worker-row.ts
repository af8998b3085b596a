import type * as runs from '@mustarddeck/runs'

/** Decodes the row that an agent keeps of its worker; undefined for a text that this product has not written. */
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
