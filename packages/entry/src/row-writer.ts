import type * as platform from '@mustarddeck/platform'

/** Largest number of rows in one transaction. */
const MAX_ROWS = 64

export type Written = { kind: 'written', version: number } | { kind: 'conflict' | 'unavailable' | 'uncertain' }

interface Pending {
  key: string
  version: number
  value: unknown
  resolve: (result: Written) => void
}

/** Writes single rows, each on condition of its version, with many rows in one transaction. */
export interface RowWriter {
  write (key: string, version: number, value: unknown): Promise<Written>
}

/** While one transaction is under way, further writes gather for the next one. */
export const create = (table: platform.Table): RowWriter => {
  let queue: Pending[] = []
  let running = false

  /** Takes rows with distinct keys, since a transaction writes a row once. */
  const take = (): Pending[] => {
    const keys = new Set<string>()
    const batch = queue.filter(({ key }) => keys.size < MAX_ROWS && keys.size < keys.add(key).size)
    const taken = new Set(batch)
    queue = queue.filter((pending) => !taken.has(pending))
    return batch
  }
  const settle = (batch: Pending[], failure: platform.StoreError): void => {
    for (const pending of batch) {
      if (failure.kind !== 'conflict') pending.resolve({ kind: failure.kind })
      else if (failure.keys.includes(pending.key)) pending.resolve({ kind: 'conflict' })
      else queue.unshift(pending)
    }
  }
  const run = async (): Promise<void> => {
    running = true
    while (queue.length > 0) {
      const batch = take()
      const result = await table.transact({
        conditions: batch.map(({ key, version }) => ({ key, version })),
        writes: batch.map(({ key, value }) => ({ key, value }))
      })
      if (result.kind === 'ok') {
        batch.forEach((pending, at) => pending.resolve({ kind: 'written', version: result.value[at] ?? 0 }))
      } else {
        settle(batch, result.error)
      }
    }
    running = false
  }
  return {
    write: (key, version, value) => new Promise((resolve) => {
      queue.push({ key, version, value, resolve })
      // Requests that arrive in the same turn of the event loop share the first transaction.
      if (!running) {
        running = true
        queueMicrotask(() => { run() })
      }
    })
  }
}
