import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'

/** Approximate bytes of a job's record without its tasks, and of a task's record without its result. */
const JOB_BYTES = 240
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

interface Owner {
  fenced: boolean
  /** Highest retired block. */
  retired: number
  /** True when records were dropped without the owner's word. */
  dropped: boolean
  blocks: Map<number, Map<types.JobId, JobRecord>>
}

export type StartAdmission = { kind: 'recorded' } | { kind: 'rejected', reason: messages.RejectionReason }

/** Start records, fences and retired blocks of one agent. Fences and retired marks are never forgotten. */
export interface Journal {
  /** Records the start of a task unless it may not start. `registered`: this agent has registered its membership. */
  record (start: messages.Start, registered: boolean): StartAdmission
  /** Keeps the outcome of a recorded task. */
  end (job: types.JobId, index: number, outcome: messages.TaskEnd): void
  /** Removes the record of a task that the backend server has certainly not started. */
  remove (job: types.JobId, index: number): void
  /** Returns true if the incarnation was not fenced before. */
  fence (incarnation: types.Incarnation): boolean
  isFenced (incarnation: types.Incarnation): boolean
  /** Drops the records of all blocks up to and including this one. */
  retire (incarnation: types.Incarnation, block: number): void
  /** Fences the incarnation and drops its records without the owner's word. */
  drop (incarnation: types.Incarnation): void
  find (jobs: types.JobId[]): messages.JobRecord[]
  state (incarnation: types.Incarnation): { retired: number, dropped: boolean }
  /** Incarnations of which records are held. */
  owners (): types.Incarnation[]
  bytes (): number
}

const reject = (reason: messages.RejectionReason): StartAdmission => ({ kind: 'rejected', reason })

/** `maxBytes` bounds records and outcomes; at the limit no further start is recorded. */
export const create = ({ maxBytes }: { maxBytes: number }): Journal => {
  const owners = new Map<types.Incarnation, Owner>()
  let bytes = 0

  const ownerOf = (incarnation: types.Incarnation): Owner => {
    let owner = owners.get(incarnation)
    if (!owner) {
      owner = { fenced: false, retired: 0, dropped: false, blocks: new Map() }
      owners.set(incarnation, owner)
    }
    return owner
  }
  const jobOf = (job: types.JobId): JobRecord | undefined => {
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
  const dropBlocks = (owner: Owner, last: number): void => {
    for (const [number, block] of owner.blocks) {
      if (number > last) continue
      bytes -= sizeOfBlock(block)
      owner.blocks.delete(number)
    }
  }
  const refusal = (id: types.ParsedJobId, start: messages.Start, registered: boolean) => {
    const owner = owners.get(id.incarnation)
    if (owner?.fenced) return reject('fenced')
    if (owner && id.block <= owner.retired) return reject('retired')
    if (id.view.kind === 'registered' && !registered) return reject('unregistered')
    if (owner?.blocks.get(id.block)?.get(start.job)?.tasks.has(start.index)) return reject('duplicate')
    if (bytes >= maxBytes) return reject('memory-limit')
    return undefined
  }
  const insert = (id: types.ParsedJobId, start: messages.Start): void => {
    const { blocks } = ownerOf(id.incarnation)
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
    const record = jobOf(job)
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
    const owner = ownerOf(incarnation)
    const isNew = !owner.fenced
    owner.fenced = true
    return isNew
  }
  return {
    record: (start, registered) => {
      const id = types.parseJobId(start.job)
      if (!id) return reject('retired')
      const refused = refusal(id, start, registered)
      if (!refused) insert(id, start)
      return refused ?? { kind: 'recorded' }
    },
    end: (job, index, outcome) => {
      const task = jobOf(job)?.tasks.get(index)
      if (!task || task.outcome) return
      task.outcome = outcome
      bytes += sizeOfTask(task) - TASK_BYTES
    },
    remove,
    fence,
    isFenced: (incarnation) => owners.get(incarnation)?.fenced ?? false,
    retire: (incarnation, block) => {
      const owner = ownerOf(incarnation)
      owner.retired = Math.max(owner.retired, block)
      dropBlocks(owner, owner.retired)
    },
    drop: (incarnation) => {
      fence(incarnation)
      const owner = ownerOf(incarnation)
      owner.dropped = true
      dropBlocks(owner, Infinity)
    },
    find: (jobs) => jobs.flatMap((job) => {
      const record = jobOf(job)
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
