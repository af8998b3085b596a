import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import * as rows from './rows.ts'
import * as stores from './store.ts'

/** A set of declarations that an operator wants to publish. */
export interface Proposal {
  declarations: declarations.Declarations
  /** Unique id of this change. */
  change: string
  operator: string
  note?: string
  /** Version that the set is based on. Defaults to the version in force when publishing begins. */
  base?: number
}

/** `merged` is true if the version includes changes that were published since the base. */
export type Published =
  | { kind: 'published', version: number, changes: declarations.Change[], merged: boolean }
  | { kind: 'unchanged', version: number }

/**
 * `clash`: conflicting changes of these objects were published since the base. `invalid`: the merged set has problems.
 * `unknown-base`: that version isn't retained. In these cases, and with `unavailable`, the change was not published.
 * After `uncertain` it may have been.
 */
export type PublishError =
  | { kind: 'clash', objects: declarations.ObjectKey[], version: number }
  | { kind: 'invalid', problems: declarations.Problem[] }
  | { kind: 'unknown-base', version: number }
  | { kind: 'unavailable', message: string }
  | { kind: 'uncertain', message: string }

export type PublishResult = errors.Result<Published, PublishError>

export interface Publisher {
  /** Returns what `publish` would do, without writing anything. */
  plan (proposal: Pick<Proposal, 'declarations' | 'base'>): Promise<PublishResult>
  publish (proposal: Proposal): Promise<PublishResult>
}

interface Version {
  version: number
  declarations: declarations.Declarations
}

/** An error caused by the content of the sets, which a retry can't resolve. */
type Refusal = Extract<PublishError, { kind: 'clash' | 'invalid' | 'unknown-base' }>
type StoreResult<Value> = errors.Result<Value, platform.StoreError>

const EMPTY_VERSION: Version = { version: 0, declarations: new Map() }
const STALE_READ: StoreResult<never> = errors.error({ kind: 'conflict', keys: [rows.CURRENT_KEY] })

const unusable = ({ version, digest }: rows.Publication): StoreResult<never> =>
  errors.error({ kind: 'unavailable', message: `this program cannot interpret version ${version} (${digest})` })

/** Merges the proposed set with the changes published since the base, and validates the merged set as a whole. */
const mergeAndCheck = (
  base: Version, proposed: declarations.Declarations, current: Version
): errors.Result<declarations.Declarations, Refusal> => {
  const merged = declarations.merge(base.declarations, proposed, current.declarations)
  if (merged.kind === 'error') return errors.error({ kind: 'clash', objects: merged.error, version: current.version })
  const problems = declarations.check(merged.value)
  return problems.length > 0 ? errors.error({ kind: 'invalid', problems }) : merged
}

const publicationOf = (
  { change, operator, note }: Proposal, version: number, digest: string, changes: declarations.Change[], at: Date
): rows.Publication => ({
  version,
  digest,
  change,
  operator,
  at: at.toISOString(),
  ...note !== undefined && { note },
  changed: changes.length,
  objects: changes.slice(0, rows.MAX_NAMED_OBJECTS).map(({ object }) => object)
})

export const createPublisher = ({ table, objects, retry }: {
  table: platform.Table, objects: platform.ObjectStore, retry: platform.RetryOptions
}): Publisher => {
  const store = stores.createStore({ table, objects })

  /** Loads the set of a publication, or the empty version if nothing is published. */
  const loadVersion = async (publication: rows.Publication | undefined): Promise<StoreResult<Version>> => {
    if (!publication) return errors.ok(EMPTY_VERSION)
    const content = await store.content(publication.digest)
    if (content.kind === 'error') return content
    if (content.value.kind === 'missing') return STALE_READ
    if (content.value.kind === 'unusable') return unusable(publication)
    return errors.ok({ version: publication.version, declarations: content.value.declarations })
  }
  /**
   * Proves that a read was not stale, by a transaction without writes whose condition is the row's version. A lost
   * response is handled like a stale read, since the transaction has no effect.
   */
  const proveFresh = async <Value>(condition: platform.Condition, value: Value): Promise<StoreResult<Value>> => {
    const proof = await table.transact({ conditions: [condition], writes: [] })
    if (proof.kind === 'ok') return errors.ok(value)
    return proof.error.kind === 'uncertain' ? STALE_READ : proof
  }
  const proveCurrent = <Value>(row: number, value: Value): Promise<StoreResult<Value>> =>
    proveFresh({ key: rows.CURRENT_KEY, version: row }, value)

  const freshVersion = (): Promise<StoreResult<Version>> => platform.retry(retry, async () => {
    const current = await store.current()
    if (current.kind === 'error') return current
    const proof = await proveCurrent(current.value.row, undefined)
    return proof.kind === 'ok' ? loadVersion(current.value.publication) : proof
  })
  /** Returns undefined for a version that is not retained. */
  const retainedVersion = (
    version: number
  ): Promise<StoreResult<Version | undefined>> => platform.retry(retry, async () => {
    if (version === 0) return errors.ok(EMPTY_VERSION)
    const publication = await store.publication(version)
    if (publication.kind === 'error') return publication
    if (publication.value) return loadVersion(publication.value)
    return proveFresh({ key: rows.versionKey(version), version: 0 }, undefined)
  })
  const baseVersion = async (version: number | undefined): Promise<errors.Result<Version, PublishError>> => {
    const base = version === undefined ? await freshVersion() : await retainedVersion(version)
    if (base.kind === 'error') return toPublishError(base.error)
    return base.value ? errors.ok(base.value) : errors.error({ kind: 'unknown-base', version: version ?? 0 })
  }
  /** Stores the content. An object has no effect until a row refers to it, so a lost response isn't `uncertain`. */
  const storeContent = async (content: string): Promise<StoreResult<void>> => {
    const key = rows.contentKey(declarations.digest(content))
    const put = await platform.retry(retry, () => objects.put(key, content))
    if (put.kind === 'ok' || put.error.kind !== 'uncertain') return put
    return errors.error({ kind: 'unavailable', message: put.error.message })
  }

  /**
   * Attempts to publish on top of the version that it reads. `uncertain` holds the versions whose writes got no
   * response. Once the row has reached such a version, the publication of that version shows whose write it was.
   */
  const attempt = async (
    proposal: Proposal, base: Version, uncertain: Set<number>
  ): Promise<StoreResult<PublishResult>> => {
    const read = await store.current()
    if (read.kind === 'error') return read
    const { row, publication } = read.value
    const currentVersion = publication?.version ?? 0
    for (const version of [...uncertain].filter((one) => one <= currentVersion)) {
      const written = await store.publication(version)
      if (written.kind === 'error') return written
      if (!written.value) return STALE_READ
      if (written.value.change === proposal.change) return earlierResult(proposal, base, written.value)
      uncertain.delete(version)
    }
    const current = await loadVersion(publication)
    if (current.kind === 'error') return current
    const merged = mergeAndCheck(base, proposal.declarations, current.value)
    if (merged.kind === 'error') return proveCurrent(row, merged)
    const changes = declarations.difference(current.value.declarations, merged.value)
    if (changes.length === 0) return proveCurrent(row, errors.ok({ kind: 'unchanged', version: currentVersion }))
    const version = currentVersion + 1
    const written = await writeVersion(proposal, { row, version, set: merged.value, changes })
    if (written.kind === 'ok') {
      return errors.ok(errors.ok({ kind: 'published', version, changes, merged: currentVersion !== base.version }))
    }
    if (written.error.kind === 'uncertain') uncertain.add(version)
    return written
  }
  const writeVersion = async (proposal: Proposal, { row, version, set, changes }: {
    row: number, version: number, set: declarations.Declarations, changes: declarations.Change[]
  }): Promise<StoreResult<unknown>> => {
    const content = declarations.serialize(set)
    const stored = await storeContent(content)
    if (stored.kind === 'error') return stored
    const value = publicationOf(proposal, version, declarations.digest(content), changes, retry.timers.now())
    const writes: platform.Write[] = [{ key: rows.CURRENT_KEY, value }, { key: rows.versionKey(version), value }]
    if (version > rows.MAX_HISTORY) writes.push({ key: rows.versionKey(version - rows.MAX_HISTORY), value: undefined })
    return table.transact({ conditions: [{ key: rows.CURRENT_KEY, version: row }], writes })
  }
  /** Returns the result of an earlier write of this change whose response was lost. */
  const earlierResult = async (
    { declarations: proposed }: Proposal, base: Version, publication: rows.Publication
  ): Promise<StoreResult<PublishResult>> => {
    const written = await loadVersion(publication)
    if (written.kind === 'error') return written
    const changes = declarations.difference(base.declarations, proposed)
    const merged = declarations.difference(proposed, written.value.declarations).length > 0
    return errors.ok(errors.ok({ kind: 'published', version: publication.version, changes, merged }))
  }

  return {
    plan: async (proposal) => {
      const base = await baseVersion(proposal.base)
      if (base.kind === 'error') return base
      const current = await freshVersion()
      if (current.kind === 'error') return toPublishError(current.error)
      const merged = mergeAndCheck(base.value, proposal.declarations, current.value)
      if (merged.kind === 'error') return merged
      const changes = declarations.difference(current.value.declarations, merged.value)
      const { version } = current.value
      return errors.ok(changes.length === 0
        ? { kind: 'unchanged', version }
        : { kind: 'published', version: version + 1, changes, merged: version !== base.value.version })
    },
    publish: async (proposal) => {
      const base = await baseVersion(proposal.base)
      if (base.kind === 'error') return base
      const uncertain = new Set<number>()
      const result = await platform.retry(retry, () => attempt(proposal, base.value, uncertain))
      return result.kind === 'ok' ? result.value : toPublishError(result.error)
    }
  }
}

const toPublishError = (error: platform.StoreError): errors.Result<never, PublishError> =>
  errors.error(error.kind === 'conflict' ? { kind: 'unavailable', message: 'the row was changed concurrently' } : error)
