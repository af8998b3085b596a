import * as types from '@mustarddeck/types'
import * as blocks from './block.ts'

/** Largest number of ids in one block. */
export const MAX_BLOCK_IDS = 4096
/** Number of ids in a block that the entry uses for submissions without an id. */
const OWN_BLOCK_IDS = 4096
/** Approximate memory of a block without its jobs and its refusals, which take one byte per id. */
const BLOCK_BYTES = 400

/** The part of a job that the ledger uses. */
export interface TrackedJob {
  id: types.JobId
  /** Approximate memory of the job in bytes. */
  bytes: number
  outcome?: types.Outcome
}

/**
 * State of an id. `open`: a submission is accepted; `closed`: the block's lifetime is over; `retired`: outcomes are no
 * longer kept; `unissued`: never issued, but may be later; `unowned`: malformed, or issued by another process.
 */
export type Lookup<Job> =
  | { kind: 'job', job: Job }
  | { kind: 'refused', reason: types.RefusalReason }
  | { kind: 'open' }
  | { kind: 'closed' }
  | { kind: 'retired' }
  | { kind: 'unissued' }
  | { kind: 'unowned' }

/** A reserved block with the ids `<prefix>.0` to `<prefix>.<count - 1>`. */
export interface IssuedBlock {
  prefix: string
  count: number
}

/** Progress of retirement of one incarnation's blocks. */
export interface Retirement {
  incarnation: types.Incarnation
  /** Every block up to and including this one is retired. */
  block: number
}

export interface Settings {
  /** Memory limit for jobs, outcomes and blocks in bytes. */
  maxBytes: number
  /** Time for which submissions under a block's ids are accepted. */
  blockLifetimeMs: number
  /** Time after the end of a block's lifetime for which its outcomes are kept. */
  blockRetentionMs: number
}

/** Id blocks and jobs of all incarnations of one entry process. Times are monotonic ms. */
export interface Ledger<Job extends TrackedJob> {
  /** The incarnation under which ids are currently issued. */
  incarnation (): types.Incarnation
  /** All incarnations of the process. */
  incarnations (): types.Incarnation[]
  /** Issues new ids under this incarnation. Jobs and outcomes of earlier ones are kept. */
  startIncarnation (incarnation: types.Incarnation): void
  /** Reserves a block of at most `MAX_BLOCK_IDS` ids; undefined at the memory limit. */
  reserve (count: number, view: types.MembershipView, now: number): IssuedBlock | undefined
  /** Allocates an id for a submission without one; undefined at the memory limit. */
  allocate (view: types.MembershipView, now: number): types.JobId | undefined
  lookup (id: types.JobId, now: number): Lookup<Job>
  /** Adds a job under an id whose lookup was `open`. */
  add (job: Job): void
  /** Sets `job.bytes` and updates the total. */
  resize (job: Job, bytes: number): void
  /** Refuses an id for good, so that it never runs. */
  refuse (id: types.JobId, reason: types.RefusalReason): void
  /** Jobs without an outcome in blocks that are due to retire. They keep their block and later ones from retiring. */
  overdueJobs (now: number): Job[]
  /** Retires due blocks whose jobs all have an outcome. Returns the incarnations with newly retired blocks. */
  retireBlocks (now: number): Retirement[]
  /** Highest retired block number of the incarnation; 0 if there is none. */
  lastRetiredBlock (incarnation: types.Incarnation): number
  jobs (): Iterable<Job>
  /** True at the memory limit. */
  isFull (): boolean
  /** Approximate memory of jobs, outcomes and blocks in bytes. */
  bytes (): number
}

/** Blocks of one incarnation. */
interface OwnerBlocks<Job> {
  blocks: Map<number, blocks.Block<Job>>
  lastRetired: number
}

const isSameView = (a: types.MembershipView, b: types.MembershipView): boolean =>
  types.formatView(a) === types.formatView(b)

/** Creates a ledger that issues ids under the given incarnation. */
export const create = <Job extends TrackedJob> (
  { settings, incarnation }: { settings: Settings, incarnation: types.Incarnation }
): Ledger<Job> => {
  const owners = new Map<types.Incarnation, OwnerBlocks<Job>>([[incarnation, { blocks: new Map(), lastRetired: 0 }]])
  let currentIncarnation = incarnation
  let lastBlockNumber = 0
  let bytes = 0
  let allocation: { block: blocks.Block<Job>, nextSequence: number } | undefined

  const openBlock = (count: number, view: types.MembershipView, now: number): blocks.Block<Job> | undefined => {
    if (bytes >= settings.maxBytes) return undefined
    const closesAt = now + settings.blockLifetimeMs
    const block: blocks.Block<Job> = {
      number: ++lastBlockNumber, view, count, closesAt, retiresAt: closesAt + settings.blockRetentionMs, jobs: new Map()
    }
    owners.get(currentIncarnation)!.blocks.set(block.number, block)
    bytes += BLOCK_BYTES + count
    return block
  }
  const findBlock = (id: types.ParsedJobId): blocks.Block<Job> | undefined => {
    const block = owners.get(id.incarnation)?.blocks.get(id.block)
    return block && isSameView(block.view, id.view) && id.sequence < block.count ? block : undefined
  }
  const isUsable = (block: blocks.Block<Job>, nextSequence: number, view: types.MembershipView, now: number): boolean =>
    nextSequence < block.count && now < block.closesAt && isSameView(block.view, view)

  const allocate = (view: types.MembershipView, now: number): types.JobId | undefined => {
    if (!allocation || !isUsable(allocation.block, allocation.nextSequence, view, now)) {
      const block = openBlock(OWN_BLOCK_IDS, view, now)
      allocation = block && { block, nextSequence: 0 }
    }
    return allocation && types.formatJobId({
      incarnation: currentIncarnation, view, block: allocation.block.number, sequence: allocation.nextSequence++
    })
  }
  const lookup = (jobId: types.JobId, now: number): Lookup<Job> => {
    const id = types.parseJobId(jobId)
    const owner = id && owners.get(id.incarnation)
    if (!id || !owner) return { kind: 'unowned' }
    if (id.block <= owner.lastRetired) return { kind: 'retired' }
    const block = findBlock(id)
    if (!block) return { kind: 'unissued' }
    const job = block.jobs.get(id.sequence)
    if (job) return { kind: 'job', job }
    const reason = blocks.refusalOf(block, id.sequence)
    if (reason) return { kind: 'refused', reason }
    return { kind: now < block.closesAt ? 'open' : 'closed' }
  }
  const isRetirable = (block: blocks.Block<Job>, now: number): boolean => {
    if (now < block.retiresAt) return false
    for (const job of block.jobs.values()) if (!job.outcome) return false
    return true
  }
  const retireBlock = (owner: OwnerBlocks<Job>, block: blocks.Block<Job>): void => {
    owner.blocks.delete(block.number)
    owner.lastRetired = block.number
    bytes -= BLOCK_BYTES + block.count
    for (const job of block.jobs.values()) bytes -= job.bytes
    if (allocation?.block === block) allocation = undefined
  }
  /** Retires in order of block number, which is the map's order: all blocks up to `lastRetired` count as retired. */
  const retireBlocksOf = (owner: OwnerBlocks<Job>, now: number): boolean => {
    const previous = owner.lastRetired
    for (const block of owner.blocks.values()) {
      if (!isRetirable(block, now)) break
      retireBlock(owner, block)
    }
    return owner.lastRetired > previous
  }
  return {
    incarnation: () => currentIncarnation,
    incarnations: () => [...owners.keys()],
    startIncarnation: (newIncarnation) => {
      currentIncarnation = newIncarnation
      allocation = undefined
      owners.set(newIncarnation, { blocks: new Map(), lastRetired: 0 })
    },
    reserve: (count, view, now) => {
      const block = openBlock(Math.min(count, MAX_BLOCK_IDS), view, now)
      return block && { prefix: types.formatBlock(currentIncarnation, view, block.number), count: block.count }
    },
    allocate,
    lookup,
    add: (job) => {
      const id = types.parseJobId(job.id)!
      findBlock(id)!.jobs.set(id.sequence, job)
      bytes += job.bytes
    },
    resize: (job, size) => {
      bytes += size - job.bytes
      job.bytes = size
    },
    refuse: (jobId, reason) => {
      const id = types.parseJobId(jobId)!
      const block = findBlock(id)
      if (block) blocks.storeRefusal(block, id.sequence, reason)
    },
    overdueJobs: (now) => [...owners.values()]
      .flatMap(({ blocks }) => [...blocks.values()])
      .filter((block) => now >= block.retiresAt)
      .flatMap((block) => [...block.jobs.values()].filter((job) => !job.outcome)),
    retireBlocks: (now) => [...owners]
      .filter(([, owner]) => retireBlocksOf(owner, now))
      .map(([owner, { lastRetired }]) => ({ incarnation: owner, block: lastRetired })),
    lastRetiredBlock: (owner) => owners.get(owner)?.lastRetired ?? 0,
    jobs: function * () {
      for (const owner of owners.values()) for (const block of owner.blocks.values()) yield * block.jobs.values()
    },
    isFull: () => bytes >= settings.maxBytes,
    bytes: () => bytes
  }
}
