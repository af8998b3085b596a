import type * as ledgers from '@mustarddeck/ledger'
import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'
import type * as contexts from './context.ts'
import type * as entryPeers from './entries.ts'
import type * as jobs from './job.ts'

/** Number of outcomes in one handover message. */
const HANDOVER_CHUNK = 500
/** Time in ms that a successor has to acknowledge a handover. */
const HANDOVER_TIMEOUT_MS = 2000
/** Approximate bytes of an inherited outcome without its content. */
const OUTCOME_BYTES = 200

interface Inherited {
  retired: number
  outcomes: Map<types.JobId, { digest: types.Digest, outcome: types.Outcome }>
  bytes: number
  expiresAt: number
  expired: boolean
}

/** Handing over of outcomes by an entry that leaves, and answers for the entries that handed theirs over. */
export interface Succession {
  inherits (job: types.JobId): boolean
  outcome (job: types.JobId, digest: types.Digest | undefined): types.Outcome
  incarnations (): types.Incarnation[]
  /** Offers everything to one peer after the other. Returns true when this process may exit. */
  handOver (): boolean
  acknowledged (link: types.LinkId): void
  /** Returns true when a predecessor has handed over everything. */
  receive (link: types.LinkId, message: messages.Handover): boolean
  /** Drops inherited outcomes after their retention and returns the incarnations concerned. */
  expire (): types.Incarnation[]
  bytes (): number
}

export const create = ({ context, ledger, entries }: {
  context: contexts.Context
  ledger: ledgers.Ledger<jobs.Job>
  entries: entryPeers.Entries
}): Succession => {
  const inherited = new Map<types.Incarnation, Inherited>()
  const incoming = new Map<types.LinkId, messages.Handover[]>()
  const offered = new Set<types.Incarnation>()
  let offer: { link: types.LinkId, until: number } | undefined
  let done = false
  let bytes = 0

  const ownedBy = (job: types.JobId): Inherited | undefined => {
    const id = types.parseJobId(job)
    return id && inherited.get(id.incarnation)
  }

  const known = (): messages.Handover['jobs'] => {
    const list: messages.Handover['jobs'] = []
    for (const { id, digest, outcome } of ledger.jobs()) if (outcome) list.push({ job: id, digest, outcome })
    for (const { outcomes } of inherited.values()) {
      for (const [job, { digest, outcome }] of outcomes) list.push({ job, digest, outcome })
    }
    return list
  }
  const retiredOf = (incarnation: types.Incarnation): number =>
    inherited.get(incarnation)?.retired ?? ledger.retired(incarnation)

  const send = (link: types.LinkId): void => {
    const incarnations = [...ledger.incarnations(), ...inherited.keys()]
    const retired = incarnations.map(retiredOf)
    const list = known()
    for (let start = 0; start === 0 || start < list.length; start += HANDOVER_CHUNK) {
      const complete = start + HANDOVER_CHUNK >= list.length
      const chunk = list.slice(start, start + HANDOVER_CHUNK)
      context.send(link, { kind: 'handover', incarnations, retired, jobs: chunk, complete })
    }
  }
  const offerTo = (peer: entryPeers.EntryPeer): void => {
    offered.add(peer.incarnation)
    offer = { link: peer.link, until: context.now() + HANDOVER_TIMEOUT_MS }
    context.log('handover', { successor: peer.name })
    send(peer.link)
  }
  const isOfferOpen = (): boolean =>
    offer !== undefined && context.now() < offer.until && entries.get(offer.link) !== undefined

  const adopt = (handovers: messages.Handover[]): void => {
    const { incarnations, retired } = handovers[0]!
    const { blockLifetimeMs, blockRetentionMs } = context.settings
    const expiresAt = context.now() + blockLifetimeMs + blockRetentionMs
    incarnations.forEach((incarnation, index) => inherited.set(incarnation, {
      retired: retired[index] ?? 0, outcomes: new Map(), bytes: 0, expiresAt, expired: false
    }))
    for (const { job, digest, outcome } of handovers.flatMap((handover) => handover.jobs)) {
      const owner = ownedBy(job)
      if (!owner) continue
      owner.outcomes.set(job, { digest, outcome })
      owner.bytes += OUTCOME_BYTES + types.sizeOf(outcome)
    }
    bytes = [...inherited.values()].reduce((sum, owner) => sum + owner.bytes, 0)
  }
  const expireOwner = (owner: Inherited): void => {
    bytes -= owner.bytes
    Object.assign(owner, { expired: true, retired: Number.MAX_SAFE_INTEGER, outcomes: new Map(), bytes: 0 })
  }
  return {
    inherits: (job) => ownedBy(job) !== undefined,
    outcome: (job, digest) => {
      const owner = ownedBy(job)!
      const entry = owner.outcomes.get(job)
      if (entry) return digest !== undefined && digest !== entry.digest ? { kind: 'conflict', job } : entry.outcome
      if (types.parseJobId(job)!.block <= owner.retired) return { kind: 'expired', job }
      return { kind: 'not-run', job, reason: 'draining', final: true }
    },
    incarnations: () => [...inherited.keys()],
    handOver: () => {
      if (done) return true
      if (isOfferOpen()) return false
      const successor = [...entries.all()].find((peer) => !peer.draining && !offered.has(peer.incarnation))
      if (!successor) return true
      offerTo(successor)
      return false
    },
    acknowledged: (link) => { done ||= offer?.link === link },
    receive: (link, message) => {
      const messagesSoFar = [...incoming.get(link) ?? [], message]
      incoming.set(link, messagesSoFar)
      if (!message.complete) return false
      incoming.delete(link)
      if (ledger.isFull()) return false
      adopt(messagesSoFar)
      return true
    },
    expire: () => {
      const over = [...inherited].filter(([, owner]) => !owner.expired && context.now() >= owner.expiresAt)
      for (const [, owner] of over) expireOwner(owner)
      return over.map(([incarnation]) => incarnation)
    },
    bytes: () => bytes
  }
}
