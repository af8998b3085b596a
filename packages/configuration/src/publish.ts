import * as declarations from '@mustarddeck/declarations'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import * as rows from './rows.ts'
import * as stores from './store.ts'

/** A set that an operator wants in force. */
export interface Proposal {
  declarations: declarations.Declarations
  /** Unique id of this change. */
  change: string
  operator: string
  note?: string
  /** Version that the operator's set was derived from; absent for the version in force when publishing begins. */
  base?: number
}

/** `merged`: changes that were published since the base are part of the version too. */
export type Published =
  | { kind: 'published', version: number, changes: declarations.Change[], merged: boolean }
  | { kind: 'unchanged', version: number }

/**
 * `clash`: these objects were changed in another way since the base. `invalid`: the set that the merge leads to has
 * problems. `unknown-base`: that version is not kept. In each of these cases, and with `unavailable`, nothing was
 * published by this change. After `uncertain` it may have been.
 */
export type PublishError =
  | { kind: 'clash', objects: declarations.ObjectKey[], version: number }
  | { kind: 'invalid', problems: declarations.Problem[] }
  | { kind: 'unknown-base', version: number }
  | { kind: 'unavailable', message: string }
  | { kind: 'uncertain', message: string }

export type PublishResult = errors.Result<Published, PublishError>

export interface Publisher {
  /** What `publish` would do now. It writes nothing. */
  plan (proposal: Pick<Proposal, 'declarations' | 'base'>): Promise<PublishResult>
  publish (proposal: Proposal): Promise<PublishResult>
}

interface Version {
  version: number
  declarations: declarations.Declarations
}

/** A refusal by the content of the sets, which no further attempt changes. */
type Refusal = Extract<PublishError, { kind: 'clash' | 'invalid' | 'unknown-base' }>
type Step<Value> = errors.Result<Value, platform.StoreError>

const NOTHING: Version = { version: 0, declarations: new Map() }
const STALE: Step<never> = errors.error({ kind: 'conflict', keys: [rows.CURRENT_KEY] })

const unusable = ({ version, digest }: rows.Publication): Step<never> =>
  errors.error({ kind: 'unavailable', message: `this program cannot interpret version ${version} (${digest})` })

/** Merges the proposed set with what was published since the base, and checks the result as a whole. */
const combine = (
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
  table: platform.Table, objects: platform.ObjectStore, retry: platform.Retry
}): Publisher => {
  const store = stores.createStore({ table, objects })

  /** The set of a publication. */
  const load = async (publication: rows.Publication | undefined): Promise<Step<Version>> => {
    if (!publication) return errors.ok(NOTHING)
    const content = await store.content(publication.digest)
    if (content.kind === 'error') return content
    if (content.value.kind === 'missing') return STALE
    if (content.value.kind === 'unusable') return unusable(publication)
    return errors.ok({ version: publication.version, declarations: content.value.declarations })
  }
  /**
   * Without writes, a transaction whose condition holds proves that the row was read fresh. A lost answer leaves
   * nothing in doubt; the proof is tried again like after a stale read.
   */
  const proveFresh = async <Value>(condition: platform.Condition, value: Value): Promise<Step<Value>> => {
    const proof = await table.transact({ conditions: [condition], writes: [] })
    if (proof.kind === 'ok') return errors.ok(value)
    return proof.error.kind === 'uncertain' ? STALE : proof
  }
  const proveCurrent = <Value>(row: number, value: Value): Promise<Step<Value>> =>
    proveFresh({ key: rows.CURRENT_KEY, version: row }, value)

  const freshVersion = (): Promise<Step<Version>> => platform.retry(retry, async () => {
    const current = await store.current()
    if (current.kind === 'error') return current
    const proof = await proveCurrent(current.value.row, undefined)
    return proof.kind === 'ok' ? load(current.value.publication) : proof
  })
  /** The value is undefined for a version that is not kept. */
  const keptVersion = (version: number): Promise<Step<Version | undefined>> => platform.retry(retry, async () => {
    if (version === 0) return errors.ok(NOTHING)
    const publication = await store.publication(version)
    if (publication.kind === 'error') return publication
    if (publication.value) return load(publication.value)
    return proveFresh({ key: rows.versionKey(version), version: 0 }, undefined)
  })
  const baseVersion = async (version: number | undefined): Promise<errors.Result<Version, PublishError>> => {
    const base = version === undefined ? await freshVersion() : await keptVersion(version)
    if (base.kind === 'error') return storeError(base.error)
    return base.value ? errors.ok(base.value) : errors.error({ kind: 'unknown-base', version: version ?? 0 })
  }
  /** An object that no row refers to yet has no effect, so that a lost answer leaves no doubt. */
  const storeContent = async (content: string): Promise<Step<void>> => {
    const key = rows.contentKey(declarations.digest(content))
    const put = await platform.retry(retry, () => objects.put(key, content))
    if (put.kind === 'ok' || put.error.kind !== 'uncertain') return put
    return errors.error({ kind: 'unavailable', message: put.error.message })
  }

  /**
   * One attempt on the newest version that is read. `doubtful` holds the versions whose writes got no answer. If the
   * row has reached such a version, the publication of that version tells whose write it was.
   */
  const attempt = async (proposal: Proposal, base: Version, doubtful: Set<number>): Promise<Step<PublishResult>> => {
    const read = await store.current()
    if (read.kind === 'error') return read
    const { row, publication } = read.value
    const reached = publication?.version ?? 0
    for (const version of [...doubtful].filter((one) => one <= reached)) {
      const written = await store.publication(version)
      if (written.kind === 'error') return written
      if (!written.value) return STALE
      if (written.value.change === proposal.change) return publishedBefore(proposal, base, written.value)
      doubtful.delete(version)
    }
    const current = await load(publication)
    if (current.kind === 'error') return current
    const merged = combine(base, proposal.declarations, current.value)
    if (merged.kind === 'error') return proveCurrent(row, merged)
    const changes = declarations.difference(current.value.declarations, merged.value)
    if (changes.length === 0) return proveCurrent(row, errors.ok({ kind: 'unchanged', version: reached }))
    const version = reached + 1
    const written = await write(proposal, { row, version, set: merged.value, changes })
    if (written.kind === 'ok') {
      return errors.ok(errors.ok({ kind: 'published', version, changes, merged: reached !== base.version }))
    }
    if (written.error.kind === 'uncertain') doubtful.add(version)
    return written
  }
  const write = async (proposal: Proposal, { row, version, set, changes }: {
    row: number, version: number, set: declarations.Declarations, changes: declarations.Change[]
  }): Promise<Step<unknown>> => {
    const content = declarations.serialize(set)
    const stored = await storeContent(content)
    if (stored.kind === 'error') return stored
    const value = publicationOf(proposal, version, declarations.digest(content), changes, retry.timers.now())
    const writes: platform.Write[] = [{ key: rows.CURRENT_KEY, value }, { key: rows.versionKey(version), value }]
    if (version > rows.MAX_HISTORY) writes.push({ key: rows.versionKey(version - rows.MAX_HISTORY), value: undefined })
    return table.transact({ conditions: [{ key: rows.CURRENT_KEY, version: row }], writes })
  }
  /** Result of an earlier write of this change, whose answer was lost. */
  const publishedBefore = async (
    { declarations: proposed }: Proposal, base: Version, publication: rows.Publication
  ): Promise<Step<PublishResult>> => {
    const written = await load(publication)
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
      if (current.kind === 'error') return storeError(current.error)
      const merged = combine(base.value, proposal.declarations, current.value)
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
      const doubtful = new Set<number>()
      const result = await platform.retry(retry, () => attempt(proposal, base.value, doubtful))
      return result.kind === 'ok' ? result.value : storeError(result.error)
    }
  }
}

const storeError = (error: platform.StoreError): errors.Result<never, PublishError> =>
  errors.error(error.kind === 'conflict' ? { kind: 'unavailable', message: 'the row changed meanwhile' } : error)
