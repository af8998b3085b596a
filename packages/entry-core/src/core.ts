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
import * as membershipTrackers from './membership-tracker.ts'
import * as owners from './owner.ts'
import * as ownedJobs from './owned-jobs.ts'
import * as routings from './routing.ts'
import * as handovers from './handovers.ts'
import * as waiterRegistries from './waiters.ts'

/** Interval of the periodic checks that need no exact timing. */
const CHECK_MS = 50
/** Interval at which id blocks are retired. */
const RETIRE_MS = 1000
/** A gap of this length between inputs means that this process was paused, so its peers' silence proves nothing. */
const PAUSE_MS = 1500
const INCARNATION_LENGTH = 16

/** Creates the core with a new incarnation and without links. */
export const create = ({ settings, placement, random }: {
  settings: core.Settings
  placement: placements.Placement
  random: randoms.Random
}): core.EntryCore => {
  const context = contexts.create(settings)
  const newIncarnation = (): types.Incarnation => random.text(INCARNATION_LENGTH) as types.Incarnation
  const processIncarnation = newIncarnation()
  const ledger = ledgers.create<jobs.Job>({ settings, incarnation: processIncarnation })
  const waiters = waiterRegistries.create()
  const entries = entryPeers.create()
  const agents = agentPeers.create()
  const memberships = membershipTrackers.create()
  const fences = new Set<types.Incarnation>()
  let draining = false
  let drained = false
  let nextCheckAt = 0
  let nextRetireAt = 0
  let lastInputAt = 0

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
        routing.recovered(job, outcome, digest)
      }
    }
  })
  const owned = ownedJobs.create({
    context, ledger, placement, waiters, agents, onFenced: (incarnation) => recordFence(incarnation)
  })
  const handover = handovers.create({ context, ledger, entries })
  const owner = owners.create({ context, ledger, owned, waiters, handover, isDraining: () => draining })
  const routing = routings.create({ context, entries, waiters, recovery: () => recovery })

  const identity = (): messages.Message =>
    ({ kind: 'identity', incarnations: [...ledger.incarnations(), ...handover.incarnations()], draining })
  const announceIdentity = (): void => {
    for (const { link } of [...entries.all(), ...agents.all()]) context.send(link, identity())
  }
  const recordFence = (incarnation: types.Incarnation): void => {
    if (fences.has(incarnation) || !ledger.incarnations().includes(incarnation)) return
    fences.add(incarnation)
    context.log('fenced', { incarnation })
    if (incarnation === ledger.incarnation()) {
      ledger.startIncarnation(newIncarnation())
      announceIdentity()
    }
    owned.handleFence(incarnation)
  }
  const links = agentLinks.create({
    context, agents, memberships, placement, owned, waiters, recovery, onFenced: recordFence
  })

  const handle = (operation: owners.Operation, waiter: waiterRegistries.Waiter, waitMs: number): void => {
    if (owner.owns(waiter.job)) owner.handle(operation, waiter, waitMs)
    else routing.handle(operation, waiter, waitMs)
  }
  const callerWaiter = (job: types.JobId, request: types.RequestId, digest?: types.Digest): waiterRegistries.Waiter =>
    ({ job, request, digest, reply: (outcome) => context.emit({ kind: 'answer', request, outcome }) })

  const submit = (request: types.RequestId, submission: types.Submission, waitMs: number): void => {
    const job = submission.id ?? ledger.allocate(links.view(), context.now())
    if (job) return handle({ kind: 'submit', submission }, callerWaiter(job, request, submission.digest), waitMs)
    const retryAfterMs = settings.retryAfterMs
    const outcome: types.Outcome = { kind: 'not-run', reason: 'memory-limit', final: true, retryAfterMs }
    context.emit({ kind: 'answer', request, outcome })
  }
  const reserve = (request: types.RequestId, count: number): void => {
    const block = draining ? undefined : ledger.reserve(count, links.view(), context.now())
    if (block) {
      const reservation = { ...block, first: 0, lifetimeMs: settings.blockLifetimeMs }
      return context.emit({ kind: 'reserved', request, reservation })
    }
    const reason = draining ? 'draining' : 'memory-limit'
    context.emit({ kind: 'reserve-refused', request, reason, retryAfterMs: settings.retryAfterMs })
  }

  const handleForwarded = (
    link: types.LinkId, requestNumber: number, job: types.JobId, operation: owners.Operation, waitMs: number
  ): void => {
    const reply = (outcome: types.Outcome): void =>
      context.send(link, { kind: 'forwarded', request: requestNumber, outcome })
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
        peer.ownedIncarnations = new Set(message.incarnations)
        peer.draining = message.draining
        return routing.ownerUp(message.incarnations)
      case 'forward': {
        const { submission } = message
        if (!submission.id) return
        return handleForwarded(link, message.request, submission.id, { kind: 'submit', submission }, message.waitMs)
      }
      case 'inquire': return handleForwarded(link, message.request, message.job, { kind: 'inquire' }, message.waitMs)
      case 'cancel-job': return handleForwarded(link, message.request, message.job, { kind: 'cancel' }, message.waitMs)
      case 'forwarded': return routing.handleReply(link, message)
      case 'handover':
        if (draining || !handover.receive(link, message)) return
        context.send(link, { kind: 'handover-acknowledged' })
        announceIdentity()
        return routing.handoverReceived(owner)
      case 'handover-acknowledged': return handover.acknowledged(link)
    }
  }
  const receive = (link: types.LinkId, message: messages.Message): void => {
    const agent = agents.get(link)
    if (agent) return links.receive(agent, message)
    const entry = entries.get(link)
    if (!entry) return
    entry.lastMessageAt = context.now()
    receiveFromEntry(entry, message)
  }

  const entryDown = (link: types.LinkId): void => {
    if (!entries.down(link, context.now())) return
    waiters.removeByLink(link)
    routing.entryDown(link)
  }
  const linkUp = (link: types.LinkId, hello: messages.Hello): void => {
    if (hello.role === 'agent') links.up(link, hello)
    else {
      const replacedPeer = entries.byProcess(hello.incarnation)
      if (replacedPeer) {
        entryDown(replacedPeer.link)
        context.emit({ kind: 'close', link: replacedPeer.link, reason: 'replaced' })
      }
      entries.up(link, hello, context.now())
      routing.ownerUp([hello.incarnation])
    }
    context.send(link, identity())
  }

  const retire = (): void => {
    nextRetireAt = context.now() + RETIRE_MS
    owned.expireRetiring()
    const retirements = ledger.retireBlocks(context.now())
    for (const incarnation of handover.expire()) retirements.push({ incarnation, block: Number.MAX_SAFE_INTEGER })
    for (const { incarnation, block } of retirements) {
      for (const { link } of agents.all()) context.send(link, { kind: 'retire', incarnation, block })
    }
  }
  const expireWaiters = (): void => {
    for (const { job, reply } of waiters.removeExpired(context.now())) {
      const isOwned = ledger.lookup(job, context.now()).kind === 'job'
      reply(isOwned
        ? { kind: 'pending', job }
        : { kind: 'unknown', job, reason: 'owner-unreachable', retryAfterMs: settings.retryAfterMs })
    }
  }
  const timer = (): void => {
    expireWaiters()
    owned.expireQueued()
    recovery.timer(context.now())
    if (context.now() < nextCheckAt) return
    nextCheckAt = context.now() + CHECK_MS
    links.timer()
    routing.timer()
    if (context.now() >= nextRetireAt) retire()
  }
  const checkDrain = (): void => {
    if (!draining || drained || owned.openCount() > 0 || waiters.size() > 0 || !handover.handOver()) return
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
      case 'abandoned': return waiters.removeByRequest(input.request)
      case 'membership':
        // A fence stored before an agent's departure must be recorded before the agent's tasks are marked lost.
        for (const incarnation of input.membership.fences) recordFence(incarnation)
        if (memberships.update(input.membership)) links.membershipChanged()
        return recovery.membership(input.membership, context.now())
      case 'fence-stored':
        return recovery.fenceStored(input.incarnation, input.membership, context.now())
      case 'rules': return placement.configure(input.rules)
      case 'drain':
        if (draining) return
        draining = true
        context.log('drain', { jobs: owned.openCount() })
        return announceIdentity()
      case 'timer': return timer()
    }
  }
  const detectPause = (now: number): void => {
    if (now - lastInputAt >= PAUSE_MS) for (const peer of entries.all()) peer.lastMessageAt = now
    lastInputAt = now
  }
  return {
    handle: (input, now) => {
      const effects = context.beginInput(now)
      detectPause(now)
      step(input)
      owned.dispatch()
      checkDrain()
      return effects
    },
    deadline: () => {
      const times = [waiters.nextDeadline(), placement.deadline(), recovery.deadline(), nextRetireAt]
      if (agents.absent().length > 0 || draining || routing.pendingCount() > 0) times.push(nextCheckAt)
      return Math.min(...times.map((time) => time ?? Infinity))
    },
    demand: (link) => placement.demand(link),
    status: () => ({
      incarnation: ledger.incarnation(),
      draining,
      jobs: owned.openCount(),
      waitingTasks: placement.waiting(),
      runningTasks: owned.inProgressCount(),
      backlog: placement.backlog(),
      agents: agents.size(),
      entries: entries.size(),
      bytes: ledger.bytes() + handover.bytes()
    })
  }
}
