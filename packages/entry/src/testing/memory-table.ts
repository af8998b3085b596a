import * as errors from '@mustarddeck/errors'
import type * as platform from '@mustarddeck/platform'

/** Fault injected into one transaction of a `MemoryTable`. */
export type Fault =
  /** Nothing is written, and the caller gets an error that says so. */
  | 'unavailable'
  /** The write takes effect, but the response is lost. */
  | 'answer-lost'
  /** The request is lost, so that nothing is written and no response arrives. */
  | 'request-lost'

/** In-memory table for tests, with fault injection and stale reads. */
export class MemoryTable implements platform.Table {
  readonly rows = new Map<string, platform.Row>()
  /** Faults of the next transactions, consumed in order. */
  readonly faults: Fault[] = []
  /** Number of upcoming reads that return no row. */
  staleReads = 0
  transactions = 0

  async read (key: string): Promise<errors.Result<platform.Row | undefined, platform.StoreError>> {
    if (this.staleReads > 0) {
      this.staleReads--
      return errors.ok(undefined)
    }
    return errors.ok(this.rows.get(key))
  }

  async list (prefix: string): Promise<errors.Result<platform.Row[], platform.StoreError>> {
    return errors.ok([...this.rows.values()].filter(({ key }) => key.startsWith(prefix)))
  }

  async transact (transaction: platform.Transaction): Promise<errors.Result<number[], platform.StoreError>> {
    this.transactions++
    const fault = this.faults.shift()
    if (fault === 'unavailable') return errors.error({ kind: 'unavailable', message: 'down' })
    if (fault === 'request-lost') return errors.error({ kind: 'uncertain', message: 'no answer' })
    const keys = transaction.conditions
      .filter(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version).map(({ key }) => key)
    if (keys.length > 0) return errors.error({ kind: 'conflict', keys })
    const versions = transaction.writes.map((write) => this.#write(write))
    return fault === 'answer-lost' ? errors.error({ kind: 'uncertain', message: 'no answer' }) : errors.ok(versions)
  }

  #write ({ key, value }: platform.Write): number {
    const version = (this.rows.get(key)?.version ?? 0) + 1
    if (value === undefined) this.rows.delete(key)
    else this.rows.set(key, { key, version, value })
    return value === undefined ? 0 : version
  }
}
