import type * as types from '@mustarddeck/types'

/** Width in ms of the buckets that deadlines are rounded up to. */
const BUCKET_MS = 25

/** Somebody who waits for the outcome of a job; gets exactly one outcome. */
export interface Waiter {
  job: types.JobId
  /** Digest of the waiter's own submission, to be compared with that of the job. */
  digest?: types.Digest
  /** The request of a caller here; absent for a request that another entry forwarded. */
  request?: types.RequestId
  /** The link that a forwarded request came over. */
  link?: types.LinkId
  reply (outcome: types.Outcome): void
  /** Called when the waiter is removed, before a reply or without one. */
  removed? (): void
}

/** The waiters of all jobs, with a deadline each. */
export interface Waiters {
  add (waiter: Waiter, deadline: number): void
  remove (waiter: Waiter): void
  of (job: types.JobId): Waiter[]
  /** Replies to all waiters of the job and removes them. */
  settle (job: types.JobId, outcome: types.Outcome): void
  abandon (request: types.RequestId): void
  dropLink (link: types.LinkId): void
  /** Removes and returns the waiters whose deadline has passed. */
  due (now: number): Waiter[]
  deadline (): number | undefined
  size (): number
}

export const create = (): Waiters => {
  const byJob = new Map<types.JobId, Set<Waiter>>()
  const byRequest = new Map<types.RequestId, Waiter>()
  const buckets = new Map<number, Set<Waiter>>()
  const bucketOf = new Map<Waiter, number>()
  /** No bucket is earlier; the bucket itself may be gone. */
  let earliest = Infinity

  const remove = (waiter: Waiter): void => {
    const bucket = bucketOf.get(waiter)
    if (bucket === undefined) return
    bucketOf.delete(waiter)
    removeFrom(buckets, bucket, waiter)
    removeFrom(byJob, waiter.job, waiter)
    if (waiter.request !== undefined) byRequest.delete(waiter.request)
    waiter.removed?.()
  }
  const of = (job: types.JobId): Waiter[] => [...byJob.get(job) ?? []]

  return {
    add: (waiter, deadline) => {
      const bucket = Math.ceil(deadline / BUCKET_MS)
      earliest = Math.min(earliest, bucket)
      bucketOf.set(waiter, bucket)
      addTo(buckets, bucket, waiter)
      addTo(byJob, waiter.job, waiter)
      if (waiter.request !== undefined) byRequest.set(waiter.request, waiter)
    },
    remove,
    of,
    settle: (job, outcome) => {
      for (const waiter of of(job)) {
        remove(waiter)
        waiter.reply(outcome)
      }
    },
    abandon: (request) => {
      const waiter = byRequest.get(request)
      if (waiter) remove(waiter)
    },
    dropLink: (link) => {
      for (const waiter of [...bucketOf.keys()]) if (waiter.link === link) remove(waiter)
    },
    due: (now) => {
      if (earliest * BUCKET_MS > now) return []
      const due: Waiter[] = []
      for (const [bucket, waiters] of buckets) if (bucket * BUCKET_MS <= now) due.push(...waiters)
      for (const waiter of due) remove(waiter)
      earliest = Math.min(...buckets.keys())
      return due
    },
    deadline: () => earliest === Infinity ? undefined : earliest * BUCKET_MS,
    size: () => bucketOf.size
  }
}

const addTo = <Key, Item>(sets: Map<Key, Set<Item>>, key: Key, item: Item): void => {
  const set = sets.get(key)
  if (set) set.add(item)
  else sets.set(key, new Set([item]))
}

const removeFrom = <Key, Item>(sets: Map<Key, Set<Item>>, key: Key, item: Item): void => {
  const set = sets.get(key)
  if (!set?.delete(item) || set.size > 0) return
  sets.delete(key)
}
