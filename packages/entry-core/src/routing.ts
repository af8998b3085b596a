import type * as messages from '@mustarddeck/messages'
import type * as recoveries from '@mustarddeck/recovery'
import * as types from '@mustarddeck/types'
import type * as contexts from './context.ts'
import type * as entryPeers from './entries.ts'
import type * as owners from './owner.ts'
import type * as waiting from './waiters.ts'

/** Time in ms after a forwarded request's own wait at which the forwarding entry answers by itself. */
const FORWARD_MARGIN_MS = 250
/** Longest time in ms between two messages of a peer that is well: the interval of heartbeats. */
const HEARTBEAT_INTERVAL_MS = 1000

/** Requests for jobs of other owners: forwarded while the owner is linked, else given to the recovery. */
export interface Routing {
  handle (operation: owners.Operation, waiter: waiting.Waiter, waitMs: number): void
  forwarded (link: types.LinkId, message: messages.Forwarded): void
  /** The link to an entry is down: its requests take another route. */
  entryDown (link: types.LinkId): void
  /** An entry answers for these incarnations from now on. */
  ownerUp (incarnations: Iterable<types.Incarnation>): void
  /** This process now answers for further incarnations: their requests are handled here. */
  inherited (owner: owners.Owner): void
  /** The recovery has an outcome. */
  decided (job: types.JobId, outcome: types.Outcome, digest: types.Digest | undefined): void
  pending (): number
  /** Gives requests that were forwarded to a silent entry to the recovery. */
  timer (): void
}

interface Routed {
  number: number
  operation: owners.Operation
  waiter: waiting.Waiter
  deadline: number
  /** The link that the request was forwarded over; absent during recovery. */
  link?: types.LinkId
}

/** Records do not hold the names of tasks that never started; a submission of the same content does. */
const withNames = (outcome: types.Outcome, operation: owners.Operation): types.Outcome => {
  if (outcome.kind !== 'failed' || operation.kind !== 'submit') return outcome
  const names = operation.submission.tasks.map(({ name }) => name)
  return { ...outcome, tasks: outcome.tasks.map((task, index) => ({ ...task, name: names[index] ?? task.name })) }
}

export const create = ({ context, entries, waiters, recovery }: {
  context: contexts.Context
  entries: entryPeers.Entries
  waiters: waiting.Waiters
  recovery: () => recoveries.Recovery
}): Routing => {
  const requests = new Map<number, Routed>()
  const recovering = new Map<types.JobId, Set<Routed>>()
  let lastNumber = 0

  const finish = ({ waiter }: Routed, outcome: types.Outcome): void => {
    waiters.remove(waiter)
    waiter.reply(outcome)
  }
  const forget = (routed: Routed): void => {
    requests.delete(routed.number)
    const others = recovering.get(routed.waiter.job)
    others?.delete(routed)
    if (others?.size === 0) recovering.delete(routed.waiter.job)
  }
  const messageOf = ({ number, operation, waiter, deadline }: Routed): messages.Message => {
    const waitMs = Math.max(0, deadline - FORWARD_MARGIN_MS - context.now())
    const common = { request: number, waitMs }
    switch (operation.kind) {
      case 'submit': return { kind: 'forward', ...common, submission: { ...operation.submission, id: waiter.job } }
      case 'inquire': return { kind: 'inquire', ...common, job: waiter.job }
      case 'cancel': return { kind: 'cancel-job', ...common, job: waiter.job }
    }
  }
  const recover = (routed: Routed, owner: types.Incarnation): void => {
    const { waiter: { job }, operation } = routed
    routed.link = undefined
    const others = recovering.get(job) ?? new Set()
    recovering.set(job, others.add(routed))
    const names = operation.kind === 'submit' ? operation.submission.tasks.map(({ name }) => name) : undefined
    context.log('recover', { job, owner })
    const peer = entries.ofOwner(owner)
    const lostAt = peer ? peer.heardAt + HEARTBEAT_INTERVAL_MS : entries.lostAt(owner)
    recovery().request({ job, names }, lostAt, context.now())
  }
  /**
   * A peer whose machine died leaves a link that breaks only by its timeout, which is too late for a caller who waits.
   */
  const isSilent = (peer: entryPeers.EntryPeer): boolean =>
    context.now() - peer.heardAt >= HEARTBEAT_INTERVAL_MS + context.settings.suspectAfterMs
  const route = (routed: Routed): void => {
    const { job } = routed.waiter
    const owner = types.parseJobId(job)!.incarnation
    const peer = entries.ofOwner(owner)
    if (!peer || isSilent(peer)) return recover(routed, owner)
    routed.link = peer.link
    context.log('forward', { job, entry: peer.name })
    context.send(peer.link, messageOf(routed))
  }
  return {
    handle: (operation, waiter, waitMs) => {
      const deadline = context.now() + waitMs + FORWARD_MARGIN_MS
      const routed: Routed = { number: ++lastNumber, operation, waiter, deadline }
      requests.set(routed.number, routed)
      waiter.removed = () => forget(routed)
      waiters.add(waiter, deadline)
      route(routed)
    },
    forwarded: (link, message) => {
      const routed = requests.get(message.request)
      if (routed?.link === link) finish(routed, message.outcome)
    },
    entryDown: (link) => {
      for (const routed of [...requests.values()]) if (routed.link === link) route(routed)
    },
    ownerUp: (incarnations) => {
      for (const incarnation of incarnations) {
        for (const job of recovery().ownerUp(incarnation)) {
          const routeds = [...recovering.get(job) ?? []]
          recovering.delete(job)
          for (const routed of routeds) route(routed)
        }
      }
    },
    inherited: (owner) => {
      for (const { operation, waiter, deadline } of [...requests.values()]) {
        if (!owner.owns(waiter.job)) continue
        waiters.remove(waiter)
        waiter.removed = undefined
        owner.handle(operation, waiter, deadline - FORWARD_MARGIN_MS - context.now())
      }
    },
    decided: (job, outcome, digest) => {
      for (const routed of [...recovering.get(job) ?? []]) {
        const isOther = digest !== undefined && routed.waiter.digest !== undefined && routed.waiter.digest !== digest
        finish(routed, isOther ? { kind: 'conflict', job } : withNames(outcome, routed.operation))
      }
    },
    pending: () => requests.size,
    timer: () => {
      for (const routed of [...requests.values()]) {
        const peer = routed.link === undefined ? undefined : entries.get(routed.link)
        if (peer && isSilent(peer)) recover(routed, types.parseJobId(routed.waiter.job)!.incarnation)
      }
    }
  }
}
