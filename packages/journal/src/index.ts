import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'

/** Approximate memory of a job record without its tasks. */
const JOB_BYTES = 240
/** Approximate memory of a task record without its result. */
const TASK_BYTES = 160

interface TaskRecord {
  name: types.TaskName
  outcome?: messages.TaskEnd
}

interface JobRecord {
  total: number
  digest: types.Digest
  tasks: Map<number, TaskRecord>
}

/** What the journal keeps for one incarnation of an entry that owns jobs. */
interface OwnerRecords {
  fenced: boolean
  /** Number of the highest retired id block; all blocks up to it are retired. */
  retired: number
  /** True if records were dropped without the owner having retired them. */
  dropped: boolean
  blocks: Map<number, Map<types.JobId, JobRecord>>
}

export type StartAdmission = { kind: 'recorded' } | { kind: 'rejected', reason: messages.RejectionReason }

/**
 * Start records, fences and retired id blocks of one agent. Fences and retired block numbers are kept for the lifetime
 * of the journal, also after the records are dropped.
 */
export interface Journal {
  /**
   * Records the start of a task, or rejects it if it must not start.
   * @param registered whether this agent has registered its membership
   */
  record (start: messages.Start, registered: boolean): StartAdmission
  /** Stores the first outcome of a recorded task. */
  end (job: types.JobId, index: number, outcome: messages.TaskEnd): void
  /** Removes the record of a task that the backend server is known not to have started. */
  remove (job: types.JobId, index: number): void
  /** Returns true if the incarnation was not fenced before. */
  fence (incarnation: types.Incarnation): boolean
  isFenced (incarnation: types.Incarnation): boolean
  /** Retires all blocks up to and including this one: drops their records and rejects further starts from them. */
  retire (incarnation: types.Incarnation, block: number): void
  /** Fences the incarnation and drops all its records although the owner has not retired them. */
  drop (incarnation: types.Incarnation): void
  /** Returns the records of those of the given jobs that have any. */
  find (jobs: types.JobId[]): messages.JobRecord[]
  state (incarnation: types.Incarnation): { retired: number, dropped: boolean }
  /** Incarnations of entries for which the journal holds records. */
  owners (): types.Incarnation[]
  /** Approximate memory of all records and outcomes. */
  bytes (): number
}

const reject = (reason: messages.RejectionReason): StartAdmission => ({ kind: 'rejected', reason })

/** Rejects further starts once records and outcomes take `maxBytes` or more. */
export const create = ({ maxBytes }: { maxBytes: number }): Journal => {
  const owners = new Map<types.Incarnation, OwnerRecords>()
  let bytes = 0

  const getOrCreateOwner = (incarnation: types.Incarnation): OwnerRecords => {
    let owner = owners.get(incarnation)
    if (!owner) {
      owner = { fenced: false, retired: 0, dropped: false, blocks: new Map() }
      owners.set(incarnation, owner)
    }
    return owner
  }
  const findJob = (job: types.JobId): JobRecord | undefined => {
    const id = types.parseJobId(job)
    return id && owners.get(id.incarnation)?.blocks.get(id.block)?.get(job)
  }
  const sizeOfBlock = (block: Map<types.JobId, JobRecord>): number => {
    let sum = 0
    for (const job of block.values()) {
      sum += JOB_BYTES
      for (const task of job.tasks.values()) sum += sizeOfTask(task)
    }
    return sum
  }
  const dropBlocks = (owner: OwnerRecords, lastBlock: number): void => {
    for (const [blockNumber, block] of owner.blocks) {
      if (blockNumber > lastBlock) continue
      bytes -= sizeOfBlock(block)
      owner.blocks.delete(blockNumber)
    }
  }
  const rejectionOf = (id: types.ParsedJobId, start: messages.Start, registered: boolean) => {
    const owner = owners.get(id.incarnation)
    if (owner?.fenced) return reject('fenced')
    if (owner && id.block <= owner.retired) return reject('retired')
    if (id.view.kind === 'registered' && !registered) return reject('unregistered')
    if (owner?.blocks.get(id.block)?.get(start.job)?.tasks.has(start.index)) return reject('duplicate')
    if (bytes >= maxBytes) return reject('memory-limit')
    return undefined
  }
  const insert = (id: types.ParsedJobId, start: messages.Start): void => {
    const { blocks } = getOrCreateOwner(id.incarnation)
    const block = blocks.get(id.block) ?? new Map<types.JobId, JobRecord>()
    blocks.set(id.block, block)
    let job = block.get(start.job)
    if (!job) {
      job = { total: start.total, digest: start.digest, tasks: new Map() }
      block.set(start.job, job)
      bytes += JOB_BYTES
    }
    job.tasks.set(start.index, { name: start.name })
    bytes += TASK_BYTES
  }
  const remove = (job: types.JobId, index: number): void => {
    const record = findJob(job)
    const task = record?.tasks.get(index)
    if (!record || !task) return
    bytes -= sizeOfTask(task)
    record.tasks.delete(index)
    if (record.tasks.size > 0) return
    const id = types.parseJobId(job)!
    owners.get(id.incarnation)!.blocks.get(id.block)!.delete(job)
    bytes -= JOB_BYTES
  }
  const fence = (incarnation: types.Incarnation): boolean => {
    const owner = getOrCreateOwner(incarnation)
    const isNew = !owner.fenced
    owner.fenced = true
    return isNew
  }
  return {
    record: (start, registered) => {
      const id = types.parseJobId(start.job)
      if (!id) return reject('retired')
      const rejection = rejectionOf(id, start, registered)
      if (!rejection) insert(id, start)
      return rejection ?? { kind: 'recorded' }
    },
    end: (job, index, outcome) => {
      const task = findJob(job)?.tasks.get(index)
      if (!task || task.outcome) return
      task.outcome = outcome
      bytes += sizeOfTask(task) - TASK_BYTES
    },
    remove,
    fence,
    isFenced: (incarnation) => owners.get(incarnation)?.fenced ?? false,
    retire: (incarnation, block) => {
      const owner = getOrCreateOwner(incarnation)
      owner.retired = Math.max(owner.retired, block)
      dropBlocks(owner, owner.retired)
    },
    drop: (incarnation) => {
      fence(incarnation)
      const owner = getOrCreateOwner(incarnation)
      owner.dropped = true
      dropBlocks(owner, Infinity)
    },
    find: (jobs) => jobs.flatMap((job) => {
      const record = findJob(job)
      return record ? [{ job, total: record.total, digest: record.digest, tasks: listTasks(record) }] : []
    }),
    state: (incarnation) => {
      const owner = owners.get(incarnation)
      return { retired: owner?.retired ?? 0, dropped: owner?.dropped ?? false }
    },
    owners: () => [...owners].filter(([, owner]) => owner.blocks.size > 0).map(([incarnation]) => incarnation),
    bytes: () => bytes
  }
}

const sizeOfTask = (task: TaskRecord): number => {
  if (!task.outcome) return TASK_BYTES
  return TASK_BYTES + (task.outcome.kind === 'finished' ? types.sizeOf(task.outcome.result) : 0)
}

const listTasks = (record: JobRecord): messages.TaskRecord[] =>
  [...record.tasks].map(([index, task]) => ({ index, name: task.name, outcome: task.outcome }))
