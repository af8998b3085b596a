import type * as ledgers from '@mustarddeck/ledger'
import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'
import type * as contexts from './context.ts'
import type * as entryPeers from './entries.ts'
import type * as jobs from './job.ts'

/** Largest number of outcomes in one handover message. */
const HANDOVER_CHUNK = 500
/** Time that a successor has to acknowledge a handover before another peer is tried. */
const HANDOVER_TIMEOUT_MS = 2000
/** Approximate memory of an inherited outcome without its content. */
const OUTCOME_BYTES = 200

/** An owner incarnation whose outcomes were handed over to this process. */
interface InheritedOwner {
  /** All id blocks up to and including this one are retired. */
  lastRetiredBlock: number
  outcomes: Map<types.JobId, { digest: types.Digest, outcome: types.Outcome }>
  bytes: number
  expiresAt: number
  expired: boolean
}

/** Hands the outcomes of a draining entry over to another entry, and answers for outcomes received that way. */
export interface Handovers {
  /** True if the job's owner handed its outcomes over to this process. */
  hasInherited (job: types.JobId): boolean
  outcome (job: types.JobId, digest: types.Digest | undefined): types.Outcome
  incarnations (): types.Incarnation[]
  /** Offers all outcomes to one peer after another. Returns true once one acknowledged or none is left. */
  handOver (): boolean
  acknowledged (link: types.LinkId): void
  /** Returns true when the message completes a handover that this process accepts. */
  receive (link: types.LinkId, message: messages.Handover): boolean
  /** Drops inherited outcomes after their retention and returns the owner incarnations concerned. */
  expire (): types.Incarnation[]
  /** Approximate memory of the inherited outcomes. */
  bytes (): number
}

export const create = ({ context, ledger, entries }: {
  context: contexts.Context
  ledger: ledgers.Ledger<jobs.Job>
  entries: entryPeers.Entries
}): Handovers => {
  const inheritedOwners = new Map<types.Incarnation, InheritedOwner>()
  const incoming = new Map<types.LinkId, messages.Handover[]>()
  const offeredTo = new Set<types.Incarnation>()
  let offer: { link: types.LinkId, until: number } | undefined
  let isHandedOver = false
  let bytes = 0

  const inheritedOwnerOf = (job: types.JobId): InheritedOwner | undefined => {
    const id = types.parseJobId(job)
    return id && inheritedOwners.get(id.incarnation)
  }

  const finalOutcomes = (): messages.Handover['jobs'] => {
    const list: messages.Handover['jobs'] = []
    for (const { id, digest, outcome } of ledger.jobs()) if (outcome) list.push({ job: id, digest, outcome })
    for (const { outcomes } of inheritedOwners.values()) {
      for (const [job, { digest, outcome }] of outcomes) list.push({ job, digest, outcome })
    }
    return list
  }
  const lastRetiredBlockOf = (incarnation: types.Incarnation): number =>
    inheritedOwners.get(incarnation)?.lastRetiredBlock ?? ledger.lastRetiredBlock(incarnation)

  const sendHandover = (link: types.LinkId): void => {
    const incarnations = [...ledger.incarnations(), ...inheritedOwners.keys()]
    const retired = incarnations.map(lastRetiredBlockOf)
    const list = finalOutcomes()
    for (let start = 0; start === 0 || start < list.length; start += HANDOVER_CHUNK) {
      const complete = start + HANDOVER_CHUNK >= list.length
      const chunk = list.slice(start, start + HANDOVER_CHUNK)
      context.send(link, { kind: 'handover', incarnations, retired, jobs: chunk, complete })
    }
  }
  const offerTo = (peer: entryPeers.EntryPeer): void => {
    offeredTo.add(peer.incarnation)
    offer = { link: peer.link, until: context.now() + HANDOVER_TIMEOUT_MS }
    context.log('handover', { successor: peer.name })
    sendHandover(peer.link)
  }
  const isOfferOpen = (): boolean =>
    offer !== undefined && context.now() < offer.until && entries.get(offer.link) !== undefined

  const takeOver = (handovers: messages.Handover[]): void => {
    const { incarnations, retired } = handovers[0]!
    const { blockLifetimeMs, blockRetentionMs } = context.settings
    const expiresAt = context.now() + blockLifetimeMs + blockRetentionMs
    incarnations.forEach((incarnation, index) => inheritedOwners.set(incarnation, {
      lastRetiredBlock: retired[index] ?? 0, outcomes: new Map(), bytes: 0, expiresAt, expired: false
    }))
    for (const { job, digest, outcome } of handovers.flatMap((handover) => handover.jobs)) {
      const owner = inheritedOwnerOf(job)
      if (!owner) continue
      owner.outcomes.set(job, { digest, outcome })
      owner.bytes += OUTCOME_BYTES + types.sizeOf(outcome)
    }
    bytes = [...inheritedOwners.values()].reduce((sum, owner) => sum + owner.bytes, 0)
  }
  const expireOwner = (owner: InheritedOwner): void => {
    bytes -= owner.bytes
    Object.assign(owner, { expired: true, lastRetiredBlock: Number.MAX_SAFE_INTEGER, outcomes: new Map(), bytes: 0 })
  }
  return {
    hasInherited: (job) => inheritedOwnerOf(job) !== undefined,
    outcome: (job, digest) => {
      const owner = inheritedOwnerOf(job)!
      const stored = owner.outcomes.get(job)
      if (stored) return digest !== undefined && digest !== stored.digest ? { kind: 'conflict', job } : stored.outcome
      if (types.parseJobId(job)!.block <= owner.lastRetiredBlock) return { kind: 'expired', job }
      return { kind: 'not-run', job, reason: 'draining', final: true }
    },
    incarnations: () => [...inheritedOwners.keys()],
    handOver: () => {
      if (isHandedOver) return true
      if (isOfferOpen()) return false
      const successor = [...entries.all()].find((peer) => !peer.draining && !offeredTo.has(peer.incarnation))
      if (!successor) return true
      offerTo(successor)
      return false
    },
    acknowledged: (link) => { isHandedOver ||= offer?.link === link },
    receive: (link, message) => {
      const received = [...incoming.get(link) ?? [], message]
      incoming.set(link, received)
      if (!message.complete) return false
      incoming.delete(link)
      if (ledger.isFull()) return false
      takeOver(received)
      return true
    },
    expire: () => {
      const expiredOwners = [...inheritedOwners]
        .filter(([, owner]) => !owner.expired && context.now() >= owner.expiresAt)
      for (const [, owner] of expiredOwners) expireOwner(owner)
      return expiredOwners.map(([incarnation]) => incarnation)
    },
    bytes: () => bytes
  }
}
