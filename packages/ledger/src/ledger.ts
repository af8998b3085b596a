import * as types from '@mustarddeck/types'
import * as blocks from './block.ts'

/** Largest number of ids in one block. */
export const MAX_BLOCK_IDS = 4096
/** Ids in a block from which the entry itself takes ids for submissions without one. */
const OWN_BLOCK_IDS = 4096
/** Approximate bytes of a block without its jobs; refusals take one byte per id. */
const BLOCK_BYTES = 400

/** What the ledger needs of a job. */
export interface Entry {
  id: types.JobId
  /** Approximate bytes held by the job now. */
  bytes: number
  outcome?: types.Outcome
}

/** State of an id at its owner. `unissued` ids were never given out and may be given out later. */
export type Lookup<Job> =
  | { kind: 'job', job: Job }
  | { kind: 'refused', reason: types.RefusalReason }
  | { kind: 'open' }
  | { kind: 'closed' }
  | { kind: 'retired' }
  | { kind: 'unissued' }
  | { kind: 'foreign' }

/** Ids `<prefix>.0` to `<prefix>.<count - 1>`. */
export interface Issue {
  prefix: string
  count: number
}

export interface Retirement {
  incarnation: types.Incarnation
  /** Every block up to and including this one is retired. */
  block: number
}

export interface Settings {
  maxBytes: number
  blockLifetimeMs: number
  blockRetentionMs: number
}

/** Id blocks and jobs of the owner incarnations that one entry process has had. */
export interface Ledger<Job extends Entry> {
  /** The incarnation under which ids are issued now. */
  incarnation (): types.Incarnation
  incarnations (): types.Incarnation[]
  /** Ids of earlier incarnations keep their outcomes; new ids carry this one. */
  renew (incarnation: types.Incarnation): void
  /** Undefined at the byte limit. */
  reserve (count: number, view: types.View, now: number): Issue | undefined
  /** An id for a submission without one; undefined at the byte limit. */
  allocate (view: types.View, now: number): types.JobId | undefined
  lookup (id: types.JobId, now: number): Lookup<Job>
  /** Adds a job under an id whose lookup was `open`. */
  add (job: Job): void
  /** Accounts for a change of `job.bytes`; `bytes` is the new value. */
  resize (job: Job, bytes: number): void
  /** Marks an id as finally refused, so that it never runs. */
  refuse (id: types.JobId, reason: types.RefusalReason): void
  /** Jobs without an outcome in blocks whose time is over; they keep their block and later ones from retiring. */
  overdue (now: number): Job[]
  /** Retires blocks whose time is over and whose jobs all have an outcome. */
  retire (now: number): Retirement[]
  retired (incarnation: types.Incarnation): number
  jobs (): Iterable<Job>
  isFull (): boolean
  bytes (): number
}

interface Owner<Job> {
  blocks: Map<number, blocks.Block<Job>>
  retired: number
}

const isSameView = (a: types.View, b: types.View): boolean => types.formatView(a) === types.formatView(b)

export const create = <Job extends Entry> (
  { settings, incarnation }: { settings: Settings, incarnation: types.Incarnation }
): Ledger<Job> => {
  const owners = new Map<types.Incarnation, Owner<Job>>([[incarnation, { blocks: new Map(), retired: 0 }]])
  let current = incarnation
  let lastBlock = 0
  let bytes = 0
  let own: { block: blocks.Block<Job>, next: number } | undefined

  const open = (count: number, view: types.View, now: number): blocks.Block<Job> | undefined => {
    if (bytes >= settings.maxBytes) return undefined
    const closesAt = now + settings.blockLifetimeMs
    const block: blocks.Block<Job> = {
      number: ++lastBlock, view, count, closesAt, retiresAt: closesAt + settings.blockRetentionMs, jobs: new Map()
    }
    owners.get(current)!.blocks.set(block.number, block)
    bytes += BLOCK_BYTES + count
    return block
  }
  const locate = (id: types.ParsedJobId): blocks.Block<Job> | undefined => {
    const block = owners.get(id.incarnation)?.blocks.get(id.block)
    return block && isSameView(block.view, id.view) && id.sequence < block.count ? block : undefined
  }
  const usable = (block: blocks.Block<Job>, next: number, view: types.View, now: number): boolean =>
    next < block.count && now < block.closesAt && isSameView(block.view, view)

  const allocate = (view: types.View, now: number): types.JobId | undefined => {
    if (!own || !usable(own.block, own.next, view, now)) {
      const block = open(OWN_BLOCK_IDS, view, now)
      own = block && { block, next: 0 }
    }
    return own && types.formatJobId({ incarnation: current, view, block: own.block.number, sequence: own.next++ })
  }
  const lookup = (text: types.JobId, now: number): Lookup<Job> => {
    const id = types.parseJobId(text)
    const owner = id && owners.get(id.incarnation)
    if (!id || !owner) return { kind: 'foreign' }
    if (id.block <= owner.retired) return { kind: 'retired' }
    const block = locate(id)
    if (!block) return { kind: 'unissued' }
    const job = block.jobs.get(id.sequence)
    if (job) return { kind: 'job', job }
    const reason = blocks.refusalOf(block, id.sequence)
    if (reason) return { kind: 'refused', reason }
    return { kind: now < block.closesAt ? 'open' : 'closed' }
  }
  const isOver = (block: blocks.Block<Job>, now: number): boolean => {
    if (now < block.retiresAt) return false
    for (const job of block.jobs.values()) if (!job.outcome) return false
    return true
  }
  const retireBlock = (owner: Owner<Job>, block: blocks.Block<Job>): void => {
    owner.blocks.delete(block.number)
    owner.retired = block.number
    bytes -= BLOCK_BYTES + block.count
    for (const job of block.jobs.values()) bytes -= job.bytes
    if (own?.block === block) own = undefined
  }
  /** Blocks retire in order of number, which is the order of the map, since the retired mark is the highest number. */
  const retireOwner = (owner: Owner<Job>, now: number): boolean => {
    const before = owner.retired
    for (const block of owner.blocks.values()) {
      if (!isOver(block, now)) break
      retireBlock(owner, block)
    }
    return owner.retired > before
  }
  return {
    incarnation: () => current,
    incarnations: () => [...owners.keys()],
    renew: (next) => {
      current = next
      own = undefined
      owners.set(next, { blocks: new Map(), retired: 0 })
    },
    reserve: (count, view, now) => {
      const block = open(Math.min(count, MAX_BLOCK_IDS), view, now)
      return block && { prefix: types.formatBlock(current, view, block.number), count: block.count }
    },
    allocate,
    lookup,
    add: (job) => {
      const id = types.parseJobId(job.id)!
      locate(id)!.jobs.set(id.sequence, job)
      bytes += job.bytes
    },
    resize: (job, size) => {
      bytes += size - job.bytes
      job.bytes = size
    },
    refuse: (text, reason) => {
      const id = types.parseJobId(text)!
      const block = locate(id)
      if (block) blocks.refuse(block, id.sequence, reason)
    },
    overdue: (now) => [...owners.values()]
      .flatMap(({ blocks }) => [...blocks.values()])
      .filter((block) => now >= block.retiresAt)
      .flatMap((block) => [...block.jobs.values()].filter((job) => !job.outcome)),
    retire: (now) => [...owners]
      .filter(([, owner]) => retireOwner(owner, now))
      .map(([owner, { retired }]) => ({ incarnation: owner, block: retired })),
    retired: (owner) => owners.get(owner)?.retired ?? 0,
    jobs: function * () {
      for (const owner of owners.values()) for (const block of owner.blocks.values()) yield * block.jobs.values()
    },
    isFull: () => bytes >= settings.maxBytes,
    bytes: () => bytes
  }
}
