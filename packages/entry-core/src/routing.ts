import type * as messages from '@mustarddeck/messages'
import type * as recoveries from '@mustarddeck/recovery'
import * as types from '@mustarddeck/types'
import type * as contexts from './context.ts'
import type * as entryPeers from './entries.ts'
import type * as owners from './owner.ts'
import type * as waiterRegistries from './waiters.ts'

/** How long the forwarding entry waits beyond the request's own wait before it replies by itself. */
const FORWARD_MARGIN_MS = 250
/** Longest time between two messages of a healthy peer. */
const HEARTBEAT_INTERVAL_MS = 1000

/** Routes requests for jobs of other owners: to the owner's entry while it is linked, otherwise to the recovery. */
export interface Routing {
  handle (operation: owners.Operation, waiter: waiterRegistries.Waiter, waitMs: number): void
  handleReply (link: types.LinkId, message: messages.Forwarded): void
  /** Reroutes the requests that were forwarded over a link that is now down. */
  entryDown (link: types.LinkId): void
  /** Forwards requests in recovery to the entry that now answers for these incarnations. */
  ownerUp (incarnations: Iterable<types.Incarnation>): void
  /** Handles requests locally whose owner's jobs were handed over to this process. */
  handoverReceived (owner: owners.Owner): void
  /** Replies with an outcome from the recovery; `digest` is that of the job's records. */
  recovered (job: types.JobId, outcome: types.Outcome, digest: types.Digest | undefined): void
  pendingCount (): number
  /** Starts recovery for requests that were forwarded to an unresponsive entry. */
  timer (): void
}

interface RoutedRequest {
  number: number
  operation: owners.Operation
  waiter: waiterRegistries.Waiter
  deadline: number
  /** Link on which the request was forwarded; absent during recovery. */
  link?: types.LinkId
}

/** Fills in task names from the submission: agents' records have no names of tasks that never started. */
const withTaskNames = (outcome: types.Outcome, operation: owners.Operation): types.Outcome => {
  if (outcome.kind !== 'failed' || operation.kind !== 'submit') return outcome
  const names = operation.submission.tasks.map(({ name }) => name)
  return { ...outcome, tasks: outcome.tasks.map((task, index) => ({ ...task, name: names[index] ?? task.name })) }
}

export const create = ({ context, entries, waiters, recovery }: {
  context: contexts.Context
  entries: entryPeers.Entries
  waiters: waiterRegistries.WaiterRegistry
  recovery: () => recoveries.Recovery
}): Routing => {
  const requests = new Map<number, RoutedRequest>()
  const recoveringByJob = new Map<types.JobId, Set<RoutedRequest>>()
  let lastRequestNumber = 0

  const finish = ({ waiter }: RoutedRequest, outcome: types.Outcome): void => {
    waiters.remove(waiter)
    waiter.reply(outcome)
  }
  const removeRequest = (routed: RoutedRequest): void => {
    requests.delete(routed.number)
    const recoveringRequests = recoveringByJob.get(routed.waiter.job)
    recoveringRequests?.delete(routed)
    if (recoveringRequests?.size === 0) recoveringByJob.delete(routed.waiter.job)
  }
  const toMessage = ({ number, operation, waiter, deadline }: RoutedRequest): messages.Message => {
    const waitMs = Math.max(0, deadline - FORWARD_MARGIN_MS - context.now())
    const common = { request: number, waitMs }
    switch (operation.kind) {
      case 'submit': return { kind: 'forward', ...common, submission: { ...operation.submission, id: waiter.job } }
      case 'inquire': return { kind: 'inquire', ...common, job: waiter.job }
      case 'cancel': return { kind: 'cancel-job', ...common, job: waiter.job }
    }
  }
  const recover = (routed: RoutedRequest, owner: types.Incarnation): void => {
    const { waiter: { job }, operation } = routed
    routed.link = undefined
    const recoveringRequests = recoveringByJob.get(job) ?? new Set()
    recoveringByJob.set(job, recoveringRequests.add(routed))
    const names = operation.kind === 'submit' ? operation.submission.tasks.map(({ name }) => name) : undefined
    context.log('recover', { job, owner })
    const peer = entries.byOwner(owner)
    const lostAt = peer ? peer.lastMessageAt + HEARTBEAT_INTERVAL_MS : entries.linkLostAt(owner)
    recovery().request({ job, names }, lostAt, context.now())
  }
  /**
   * Detects a peer whose machine failed before its link times out, which would be too late for a waiting caller.
   */
  const isUnresponsive = (peer: entryPeers.EntryPeer): boolean =>
    context.now() - peer.lastMessageAt >= HEARTBEAT_INTERVAL_MS + context.settings.suspectAfterMs
  const route = (routed: RoutedRequest): void => {
    const { job } = routed.waiter
    const owner = types.parseJobId(job)!.incarnation
    const peer = entries.byOwner(owner)
    if (!peer || isUnresponsive(peer)) return recover(routed, owner)
    routed.link = peer.link
    context.log('forward', { job, entry: peer.name })
    context.send(peer.link, toMessage(routed))
  }
  return {
    handle: (operation, waiter, waitMs) => {
      const deadline = context.now() + waitMs + FORWARD_MARGIN_MS
      const routed: RoutedRequest = { number: ++lastRequestNumber, operation, waiter, deadline }
      requests.set(routed.number, routed)
      waiter.onRemoved = () => removeRequest(routed)
      waiters.add(waiter, deadline)
      route(routed)
    },
    handleReply: (link, message) => {
      const routed = requests.get(message.request)
      if (routed?.link === link) finish(routed, message.outcome)
    },
    entryDown: (link) => {
      for (const routed of [...requests.values()]) if (routed.link === link) route(routed)
    },
    ownerUp: (incarnations) => {
      for (const incarnation of incarnations) {
        for (const job of recovery().ownerUp(incarnation)) {
          const jobRequests = [...recoveringByJob.get(job) ?? []]
          recoveringByJob.delete(job)
          for (const routed of jobRequests) route(routed)
        }
      }
    },
    handoverReceived: (owner) => {
      for (const { operation, waiter, deadline } of [...requests.values()]) {
        if (!owner.owns(waiter.job)) continue
        waiters.remove(waiter)
        waiter.onRemoved = undefined
        owner.handle(operation, waiter, deadline - FORWARD_MARGIN_MS - context.now())
      }
    },
    recovered: (job, outcome, digest) => {
      for (const routed of [...recoveringByJob.get(job) ?? []]) {
        const isConflict = digest !== undefined && routed.waiter.digest !== undefined && routed.waiter.digest !== digest
        finish(routed, isConflict ? { kind: 'conflict', job } : withTaskNames(outcome, routed.operation))
      }
    },
    pendingCount: () => requests.size,
    timer: () => {
      for (const routed of [...requests.values()]) {
        const peer = routed.link === undefined ? undefined : entries.get(routed.link)
        if (peer && isUnresponsive(peer)) recover(routed, types.parseJobId(routed.waiter.job)!.incarnation)
      }
    }
  }
}
