import type * as types from '@mustarddeck/types'

/** Deadlines are rounded up to buckets of this width. */
const BUCKET_MS = 25

/** A request that waits for the outcome of a job and receives at most one reply. */
export interface Waiter {
  job: types.JobId
  /** Digest of the waiter's own submission; a job with another digest is a conflict. */
  digest?: types.Digest
  /** Request of a caller of this entry; absent for a request forwarded by another entry. */
  request?: types.RequestId
  /** Link on which a forwarded request arrived. */
  link?: types.LinkId
  reply (outcome: types.Outcome): void
  /** Called when the waiter is removed, whether or not a reply follows. */
  onRemoved? (): void
}

/** All waiters, indexed by job, by request and by deadline. Times are monotonic ms. */
export interface WaiterRegistry {
  add (waiter: Waiter, deadline: number): void
  remove (waiter: Waiter): void
  ofJob (job: types.JobId): Waiter[]
  /** Removes all waiters of the job and replies to each. */
  replyAll (job: types.JobId, outcome: types.Outcome): void
  /** Removes the waiter of a caller's request without a reply. */
  removeByRequest (request: types.RequestId): void
  /** Removes the waiters of requests forwarded over the link, without a reply. */
  removeByLink (link: types.LinkId): void
  /** Removes and returns the waiters whose deadline has passed. */
  removeExpired (now: number): Waiter[]
  /** Earliest time at which a waiter may expire; undefined if there is none. */
  nextDeadline (): number | undefined
  size (): number
}

export const create = (): WaiterRegistry => {
  const byJob = new Map<types.JobId, Set<Waiter>>()
  const byRequest = new Map<types.RequestId, Waiter>()
  const buckets = new Map<number, Set<Waiter>>()
  const bucketOf = new Map<Waiter, number>()
  /** Lower bound of the bucket numbers; that bucket itself may be empty by now. */
  let earliestBucket = Infinity

  const remove = (waiter: Waiter): void => {
    const bucket = bucketOf.get(waiter)
    if (bucket === undefined) return
    bucketOf.delete(waiter)
    removeFrom(buckets, bucket, waiter)
    removeFrom(byJob, waiter.job, waiter)
    if (waiter.request !== undefined) byRequest.delete(waiter.request)
    waiter.onRemoved?.()
  }
  const ofJob = (job: types.JobId): Waiter[] => [...byJob.get(job) ?? []]

  return {
    add: (waiter, deadline) => {
      const bucket = Math.ceil(deadline / BUCKET_MS)
      earliestBucket = Math.min(earliestBucket, bucket)
      bucketOf.set(waiter, bucket)
      addTo(buckets, bucket, waiter)
      addTo(byJob, waiter.job, waiter)
      if (waiter.request !== undefined) byRequest.set(waiter.request, waiter)
    },
    remove,
    ofJob,
    replyAll: (job, outcome) => {
      for (const waiter of ofJob(job)) {
        remove(waiter)
        waiter.reply(outcome)
      }
    },
    removeByRequest: (request) => {
      const waiter = byRequest.get(request)
      if (waiter) remove(waiter)
    },
    removeByLink: (link) => {
      for (const waiter of [...bucketOf.keys()]) if (waiter.link === link) remove(waiter)
    },
    removeExpired: (now) => {
      if (earliestBucket * BUCKET_MS > now) return []
      const expired: Waiter[] = []
      for (const [bucket, waiters] of buckets) if (bucket * BUCKET_MS <= now) expired.push(...waiters)
      for (const waiter of expired) remove(waiter)
      earliestBucket = Math.min(...buckets.keys())
      return expired
    },
    nextDeadline: () => earliestBucket === Infinity ? undefined : earliestBucket * BUCKET_MS,
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
