import type * as platform from '@mustarddeck/platform'

/** Maximum number of rows in one transaction. */
const MAX_BATCH_ROWS = 64

export type WriteResult = { kind: 'written', version: number } | { kind: 'conflict' | 'unavailable' | 'uncertain' }

interface PendingWrite {
  key: string
  version: number
  value: unknown
  resolve: (result: WriteResult) => void
}

/** Writes rows with optimistic version checks and batches concurrent writes into one transaction. */
export interface RowWriter {
  write (key: string, version: number, value: unknown): Promise<WriteResult>
}

/** Runs one transaction at a time; writes that arrive meanwhile are queued for the next one. */
export const create = (table: platform.Table): RowWriter => {
  let queue: PendingWrite[] = []
  let isWriting = false

  /** Removes a batch with distinct keys from the queue: a transaction may write a row only once. */
  const takeBatch = (): PendingWrite[] => {
    const keys = new Set<string>()
    const batch = queue.filter(({ key }) => keys.size < MAX_BATCH_ROWS && keys.size < keys.add(key).size)
    const batchSet = new Set(batch)
    queue = queue.filter((pending) => !batchSet.has(pending))
    return batch
  }
  const handleFailure = (batch: PendingWrite[], failure: platform.StoreError): void => {
    for (const pending of batch) {
      if (failure.kind !== 'conflict') pending.resolve({ kind: failure.kind })
      else if (failure.keys.includes(pending.key)) pending.resolve({ kind: 'conflict' })
      else queue.unshift(pending)
    }
  }
  const writeQueue = async (): Promise<void> => {
    isWriting = true
    while (queue.length > 0) {
      const batch = takeBatch()
      const result = await table.transact({
        conditions: batch.map(({ key, version }) => ({ key, version })),
        writes: batch.map(({ key, value }) => ({ key, value }))
      })
      if (result.kind === 'ok') {
        batch.forEach((pending, index) => pending.resolve({ kind: 'written', version: result.value[index] ?? 0 }))
      } else {
        handleFailure(batch, result.error)
      }
    }
    isWriting = false
  }
  return {
    write: (key, version, value) => new Promise((resolve) => {
      queue.push({ key, version, value, resolve })
      // A microtask delay lets writes from the same event loop iteration share the first transaction.
      if (!isWriting) {
        isWriting = true
        queueMicrotask(() => { writeQueue() })
      }
    })
  }
}
