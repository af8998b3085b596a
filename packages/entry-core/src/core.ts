import * as ledgers from '@mustarddeck/ledger'
import type * as messages from '@mustarddeck/messages'
import type * as placements from '@mustarddeck/placement'
import type * as randoms from '@mustarddeck/random'
import * as recoveries from '@mustarddeck/recovery'
import * as types from '@mustarddeck/types'
import * as agentLinks from './agent-links.ts'
import * as agentPeers from './agents.ts'
import * as contexts from './context.ts'
import * as entryPeers from './entries.ts'
import type * as core from './interface.ts'
import type * as jobs from './job.ts'
import * as knownMemberships from './memberships.ts'
import * as owners from './owner.ts'
import * as ownedJobs from './owned-jobs.ts'
import * as routings from './routing.ts'
import * as successions from './succession.ts'
import * as waiting from './waiters.ts'

/** Interval in ms of the checks that need no exact time. */
const CHECK_MS = 50
/** Interval in ms at which blocks are retired. */
const RETIRE_MS = 1000
const INCARNATION_LENGTH = 16

export const create = ({ settings, placement, random }: {
  settings: core.Settings
  placement: placements.Placement
  random: randoms.Random
}): core.EntryCore => {
  const context = contexts.create(settings)
  const newIncarnation = (): types.Incarnation => random.text(INCARNATION_LENGTH) as types.Incarnation
  const process = newIncarnation()
  const ledger = ledgers.create<jobs.Job>({ settings, incarnation: process })
  const waiters = waiting.create()
  const entries = entryPeers.create()
  const agents = agentPeers.create()
  const memberships = knownMemberships.create()
  const fences = new Set<types.Incarnation>()
  let draining = false
  let drained = false
  let checkAt = 0
  let retireAt = 0

  const recovery = recoveries.create({
    settings,
    output: {
      send: context.send,
      storeFence: (incarnation) => {
        context.log('fence', { owner: incarnation })
        context.emit({ kind: 'store-fence', incarnation })
      },
      decided: (job, outcome, digest) => {
        context.log('recovered', { job, outcome: outcome.kind })
        routing.decided(job, outcome, digest)
      }
    }
  })
  const owned = ownedJobs.create({
    context, ledger, placement, waiters, agents, fenced: (incarnation) => learnFence(incarnation)
  })
  const succession = successions.create({ context, ledger, entries })
  const owner = owners.create({ context, ledger, owned, waiters, succession, isDraining: () => draining })
  const routing = routings.create({ context, entries, waiters, recovery: () => recovery })

  const identity = (): messages.Message =>
    ({ kind: 'identity', incarnations: [...ledger.incarnations(), ...succession.incarnations()], draining })
  const announceIdentity = (): void => {
    for (const { link } of [...entries.all(), ...agents.all()]) context.send(link, identity())
  }
  const learnFence = (incarnation: types.Incarnation): void => {
    if (fences.has(incarnation) || !ledger.incarnations().includes(incarnation)) return
    fences.add(incarnation)
    context.log('fenced', { incarnation })
    if (incarnation === ledger.incarnation()) {
      ledger.renew(newIncarnation())
      announceIdentity()
    }
    owned.fenced(incarnation)
  }
  const links = agentLinks.create({
    context, agents, memberships, placement, owned, waiters, recovery, fenced: learnFence
  })

  const handle = (operation: owners.Operation, waiter: waiting.Waiter, waitMs: number): void => {
    if (owner.owns(waiter.job)) owner.handle(operation, waiter, waitMs)
    else routing.handle(operation, waiter, waitMs)
  }
  const callerWaiter = (job: types.JobId, request: types.RequestId, digest?: types.Digest): waiting.Waiter =>
    ({ job, request, digest, reply: (outcome) => context.emit({ kind: 'answer', request, outcome }) })

  const submit = (request: types.RequestId, submission: types.Submission, waitMs: number): void => {
    const job = submission.id ?? ledger.allocate(links.view(), context.now())
    if (job) return handle({ kind: 'submit', submission }, callerWaiter(job, request, submission.digest), waitMs)
    const retryAfterMs = settings.retryAfterMs
    const outcome: types.Outcome = { kind: 'not-run', reason: 'memory-limit', final: true, retryAfterMs }
    context.emit({ kind: 'answer', request, outcome })
  }
  const reserve = (request: types.RequestId, count: number): void => {
    const issue = draining ? undefined : ledger.reserve(count, links.view(), context.now())
    if (issue) {
      const reservation = { ...issue, first: 0, lifetimeMs: settings.blockLifetimeMs }
      return context.emit({ kind: 'reserved', request, reservation })
    }
    const reason = draining ? 'draining' : 'memory-limit'
    context.emit({ kind: 'reserve-refused', request, reason, retryAfterMs: settings.retryAfterMs })
  }

  const receiveRequest = (
    link: types.LinkId, number: number, job: types.JobId, operation: owners.Operation, waitMs: number
  ): void => {
    const reply = (outcome: types.Outcome): void =>
      context.send(link, { kind: 'forwarded', request: number, outcome })
    if (!types.parseJobId(job) || !owner.owns(job)) {
      return reply({ kind: 'unknown', job, reason: 'owner-unreachable', retryAfterMs: settings.retryAfterMs })
    }
    const digest = operation.kind === 'submit' ? operation.submission.digest : undefined
    owner.handle(operation, { job, link, digest, reply }, waitMs)
  }
  const receiveFromEntry = (peer: entryPeers.EntryPeer, message: messages.Message): void => {
    const { link } = peer
    switch (message.kind) {
      case 'identity':
        peer.owned = new Set(message.incarnations)
        peer.draining = message.draining
        return routing.ownerUp(message.incarnations)
      case 'forward': {
        const { submission } = message
        if (!submission.id) return
        return receiveRequest(link, message.request, submission.id, { kind: 'submit', submission }, message.waitMs)
      }
      case 'inquire': return receiveRequest(link, message.request, message.job, { kind: 'inquire' }, message.waitMs)
      case 'cancel-job': return receiveRequest(link, message.request, message.job, { kind: 'cancel' }, message.waitMs)
      case 'forwarded': return routing.forwarded(link, message)
      case 'handover':
        if (draining || !succession.receive(link, message)) return
        context.send(link, { kind: 'handover-acknowledged' })
        announceIdentity()
        return routing.inherited(owner)
      case 'handover-acknowledged': return succession.acknowledged(link)
    }
  }
  const receive = (link: types.LinkId, message: messages.Message): void => {
    const agent = agents.get(link)
    if (agent) return links.receive(agent, message)
    const entry = entries.get(link)
    if (entry) receiveFromEntry(entry, message)
  }

  const entryDown = (link: types.LinkId): void => {
    if (!entries.down(link, context.now())) return
    waiters.dropLink(link)
    routing.entryDown(link)
  }
  const linkUp = (link: types.LinkId, hello: messages.Hello): void => {
    if (hello.role === 'agent') links.up(link, hello)
    else {
      const old = entries.ofProcess(hello.incarnation)
      if (old) {
        entryDown(old.link)
        context.emit({ kind: 'close', link: old.link, reason: 'replaced' })
      }
      entries.up(link, hello)
      routing.ownerUp([hello.incarnation])
    }
    context.send(link, identity())
  }

  const retire = (): void => {
    retireAt = context.now() + RETIRE_MS
    owned.expireOverdue()
    const retirements = ledger.retire(context.now())
    for (const incarnation of succession.expire()) retirements.push({ incarnation, block: Number.MAX_SAFE_INTEGER })
    for (const { incarnation, block } of retirements) {
      for (const { link } of agents.all()) context.send(link, { kind: 'retire', incarnation, block })
    }
  }
  const expireWaiters = (): void => {
    for (const { job, reply } of waiters.due(context.now())) {
      const isOwn = ledger.lookup(job, context.now()).kind === 'job'
      reply(isOwn
        ? { kind: 'pending', job }
        : { kind: 'unknown', job, reason: 'owner-unreachable', retryAfterMs: settings.retryAfterMs })
    }
  }
  const timer = (): void => {
    expireWaiters()
    owned.expireWaiting()
    recovery.timer(context.now())
    if (context.now() < checkAt) return
    checkAt = context.now() + CHECK_MS
    links.timer()
    if (context.now() >= retireAt) retire()
  }
  const checkDrain = (): void => {
    if (!draining || drained || owned.open() > 0 || waiters.size() > 0 || !succession.handOver()) return
    drained = true
    context.emit({ kind: 'drained' })
  }

  const step = (input: core.Input): void => {
    switch (input.kind) {
      case 'link-up': return linkUp(input.link, input.hello)
      case 'link-down':
        links.down(input.link)
        return entryDown(input.link)
      case 'message': return receive(input.link, input.message)
      case 'submit': return submit(input.request, input.submission, input.waitMs)
      case 'inquire': return handle({ kind: 'inquire' }, callerWaiter(input.job, input.request), input.waitMs)
      case 'cancel': return handle({ kind: 'cancel' }, callerWaiter(input.job, input.request), input.waitMs)
      case 'reserve': return reserve(input.request, input.count)
      case 'abandoned': return waiters.abandon(input.request)
      case 'membership':
        // A fence that precedes an agent's departure must be known before the agent's tasks are given up.
        for (const incarnation of input.membership.fences) learnFence(incarnation)
        if (memberships.update(input.membership)) links.membershipChanged()
        return recovery.membership(input.membership, context.now())
      case 'fence-stored':
        return recovery.fenceStored(input.incarnation, input.membership, context.now())
      case 'rules': return placement.configure(input.rules)
      case 'drain':
        if (draining) return
        draining = true
        context.log('drain', { jobs: owned.open() })
        return announceIdentity()
      case 'timer': return timer()
    }
  }
  return {
    handle: (input, now) => {
      const effects = context.begin(now)
      step(input)
      owned.dispatch()
      checkDrain()
      return effects
    },
    deadline: () => {
      const times = [waiters.deadline(), placement.deadline(), recovery.deadline(), retireAt]
      if (agents.absent().length > 0 || draining) times.push(checkAt)
      return Math.min(...times.map((time) => time ?? Infinity))
    },
    demand: (link) => placement.demand(link),
    status: () => ({
      incarnation: ledger.incarnation(),
      draining,
      jobs: owned.open(),
      waitingTasks: placement.waiting(),
      runningTasks: owned.inProgress(),
      backlog: placement.backlog(),
      agents: agents.size(),
      entries: entries.size(),
      bytes: ledger.bytes() + succession.bytes()
    })
  }
}
