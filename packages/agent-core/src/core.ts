import * as journals from '@mustarddeck/journal'
import type * as messages from '@mustarddeck/messages'
import * as slotDivision from '@mustarddeck/slots'
import * as types from '@mustarddeck/types'
import type * as core from './interface.ts'
import * as orphanOwners from './orphans.ts'
import * as entryPeers from './peers.ts'
import * as runningTasks from './running.ts'

/** Interval of the checks for owners without a link. */
const ORPHAN_CHECK_MS = 1000

type Stage = 'active' | 'leaving' | 'left'

/** Creates the core of an active agent without links or records. */
export const create = ({ settings }: { settings: core.Settings }): core.AgentCore => {
  const journal = journals.create({ maxBytes: settings.maxBytes })
  const slots = slotDivision.create({ slots: settings.slots })
  const peers = entryPeers.create()
  const running = runningTasks.create(settings.resources)
  const orphans = orphanOwners.create({
    fenceAfterMs: settings.orphanAfterMs, retentionMs: settings.orphanRetentionMs
  })
  /** Links that received a record of a running task and must be notified of its end. */
  const watchers = new Map<types.JobId, Set<types.LinkId>>()
  let registered = false
  let stage: Stage = 'active'
  let nextOrphanCheckAt = ORPHAN_CHECK_MS
  /** Time until which a leaving agent waits for owners without a link. */
  let graceEndsAt: number | undefined
  let effects: core.Effect[] = []

  const send = (link: types.LinkId, message: messages.Message): void => {
    effects.push({ kind: 'send', link, message })
  }
  const log = (event: string, fields: Record<string, string | number | boolean>): void => {
    effects.push({ kind: 'decision', event, fields })
  }
  const sendMoves = (moves: slotDivision.SlotMessage[]): void => {
    for (const { link, ...message } of moves) send(link, message)
  }

  const fence = (incarnation: types.Incarnation): void => {
    if (!journal.fence(incarnation)) return
    log('fence', { incarnation })
    const owner = peers.byOwner(incarnation)
    if (owner) send(owner.link, { kind: 'fenced', incarnation })
  }

  const releaseSlot = (link: types.LinkId, now: number): boolean => {
    const { renewed, moves } = slots.end(link, now)
    sendMoves(moves)
    return renewed
  }

  const reject = (link: types.LinkId, start: messages.Start, reason: messages.RejectionReason): void => {
    const { job, index, attempt } = start
    log('reject', { job, index, reason })
    send(link, { kind: 'rejected', job, index, attempt, reason })
  }

  const startTask = (link: types.LinkId, start: messages.Start, now: number): void => {
    if (stage !== 'active') return reject(link, start, 'leaving')
    if (!slots.start(link)) return reject(link, start, 'no-slot')
    const reason = running.fits(start.resources) ? recordStart(start) : 'no-resources'
    if (!reason) {
      running.add({ start, link })
      effects.push({ kind: 'execute', start })
      return
    }
    reject(link, start, reason)
    if (releaseSlot(link, now)) send(link, { kind: 'grant', slots: 1 })
  }
  const recordStart = (start: messages.Start): messages.RejectionReason | undefined => {
    const admission = journal.record(start, registered)
    return admission.kind === 'rejected' ? admission.reason : undefined
  }

  const notifyWatchers = (job: types.JobId, index: number, outcome?: messages.TaskEnd): void => {
    const links = watchers.get(job)
    if (!links) return
    for (const link of links) if (peers.get(link)) send(link, { kind: 'record-update', job, index, outcome })
    const [record] = journal.find([job])
    if (!record || record.tasks.every((task) => task.outcome)) watchers.delete(job)
  }

  const endTask = (job: types.JobId, index: number, execution: core.Execution, now: number): void => {
    const task = running.remove(job, index)
    if (!task) return
    const outcome = execution.kind === 'not-started' ? undefined : execution
    if (outcome) journal.end(job, index, outcome)
    else journal.remove(job, index)
    const owner = peers.byOwner(types.parseJobId(job)!.incarnation)
    const isSlotKept = releaseSlot(task.link, now)
    const renewed = isSlotKept && owner?.link === task.link
    if (owner) reportEnd(owner.link, task.start, outcome, renewed)
    if (isSlotKept && !(renewed && outcome)) send(task.link, { kind: 'grant', slots: 1 })
    notifyWatchers(job, index, outcome)
  }
  const reportEnd = (
    link: types.LinkId, start: messages.Start, outcome: messages.TaskEnd | undefined, renewed: boolean
  ): void => {
    const { job, index, attempt } = start
    if (outcome) send(link, { kind: 'finished', job, index, attempt, outcome, renewed })
    else reject(link, start, 'backend-unreachable')
  }

  const fenceAndSendRecords = (link: types.LinkId, { incarnation, jobs }: messages.Recover): void => {
    fence(incarnation)
    const records = journal.find(jobs)
    for (const { job, tasks } of records) {
      if (tasks.some((task) => !task.outcome)) addWatcher(job, link)
    }
    send(link, { kind: 'records', incarnation, ...journal.state(incarnation), jobs, records })
  }
  const sendResumed = (link: types.LinkId, jobs: types.JobId[]): void => {
    const owners = new Set(jobs.flatMap((job) => types.parseJobId(job)?.incarnation ?? []))
    const dropped = [...owners].filter((owner) => journal.state(owner).dropped)
    send(link, { kind: 'resumed', jobs, dropped, records: journal.find(jobs) })
  }
  const addWatcher = (job: types.JobId, link: types.LinkId): void => {
    const links = watchers.get(job) ?? new Set()
    watchers.set(job, links.add(link))
  }

  const reportFences = (peer: entryPeers.EntryPeer): void => {
    for (const incarnation of peer.ownedIncarnations) {
      if (journal.isFenced(incarnation)) send(peer.link, { kind: 'fenced', incarnation })
    }
  }

  const leave = (now: number): void => {
    if (stage !== 'active') return
    stage = 'leaving'
    graceEndsAt = now + settings.leaveGraceMs
    slots.close()
    log('leave', { running: running.size() })
    for (const peer of peers.all()) announceLeave(peer)
  }
  const announceLeave = (peer: entryPeers.EntryPeer): void => {
    peer.leaveAcknowledged = false
    send(peer.link, { kind: 'leaving', drained: running.size() === 0 })
  }
  const checkLeave = (now: number): void => {
    if (graceEndsAt !== undefined && now >= graceEndsAt) graceEndsAt = undefined
    if (stage !== 'leaving' || running.size() > 0) return
    for (const peer of peers.all()) if (!peer.leaveAcknowledged) return
    const hasAbsentOwner = journal.owners().some((owner) => !peers.byOwner(owner))
    if (hasAbsentOwner && graceEndsAt !== undefined) return
    stage = 'left'
    effects.push({ kind: 'left' })
  }

  const receive = (link: types.LinkId, message: messages.Message, now: number): void => {
    const peer = peers.get(link)
    if (!peer) return
    switch (message.kind) {
      case 'start': return startTask(link, message, now)
      case 'identity':
        peer.ownedIncarnations = new Set(message.incarnations)
        return reportFences(peer)
      case 'demand': return sendMoves(slots.demand(link, message.waiting, now))
      case 'heartbeat':
        if (message.waiting) sendMoves(slots.demand(link, message.waiting, now))
        return
      case 'returned': return sendMoves(slots.returned(link, message.slots, now))
      case 'cancel-tasks': return abortTasks(message.job, message.indexes)
      case 'retire':
        if (peer.ownedIncarnations.has(message.incarnation)) journal.retire(message.incarnation, message.block)
        return
      case 'recover': return fenceAndSendRecords(link, message)
      case 'resume':
        return sendResumed(link, message.jobs)
      case 'departed':
        if (message.incarnation === settings.incarnation) leave(now)
        return
      case 'leaving-acknowledged':
        peer.leaveAcknowledged = running.size() === 0
    }
  }
  const abortTasks = (job: types.JobId, indexes: number[]): void => {
    for (const index of indexes) {
      if (running.has(job, index)) effects.push({ kind: 'abort', job, index })
    }
  }

  const linkUp = (link: types.LinkId, hello: messages.Hello, now: number): void => {
    if (hello.role !== 'entry') {
      effects.push({ kind: 'close', link, reason: 'an agent accepts links to entries only' })
      return
    }
    const replacedPeer = peers.byProcess(hello.incarnation)
    if (replacedPeer) {
      linkDown(replacedPeer.link, now)
      effects.push({ kind: 'close', link: replacedPeer.link, reason: 'replaced' })
    }
    const peer = peers.add(link, hello)
    reportFences(peer)
    if (stage !== 'active') return announceLeave(peer)
    if (registered) send(link, { kind: 'registered' })
    sendMoves(slots.connected(link, now))
  }
  const linkDown = (link: types.LinkId, now: number): void => {
    if (peers.remove(link)) sendMoves(slots.disconnected(link, now))
  }

  const register = (fences: types.Incarnation[]): void => {
    for (const incarnation of fences) fence(incarnation)
    registered = true
    for (const peer of peers.all()) send(peer.link, { kind: 'registered' })
  }

  const checkOrphans = (now: number): void => {
    if (now < nextOrphanCheckAt) return
    nextOrphanCheckAt = now + ORPHAN_CHECK_MS
    const isLinked = (owner: types.Incarnation): boolean => peers.byOwner(owner) !== undefined
    for (const { incarnation, action } of orphans.check(journal.owners(), isLinked, now)) {
      fence(incarnation)
      if (action === 'fence') continue
      log('drop-records', { incarnation })
      journal.drop(incarnation)
    }
  }

  const step = (input: core.Input, now: number): void => {
    switch (input.kind) {
      case 'link-up': return linkUp(input.link, input.hello, now)
      case 'link-down': return linkDown(input.link, now)
      case 'message': return receive(input.link, input.message, now)
      case 'executed':
        endTask(input.job, input.index, input.execution, now)
        if (stage === 'leaving' && running.size() === 0) {
          for (const peer of peers.all()) announceLeave(peer)
        }
        return
      case 'registered': return register(input.fences)
      case 'leave': return leave(now)
      case 'timer':
        checkOrphans(now)
        sendMoves(slots.timer(now))
    }
  }
  return {
    handle: (input, now) => {
      effects = []
      step(input, now)
      checkLeave(now)
      return effects
    },
    deadline: () => Math.min(nextOrphanCheckAt, slots.deadline() ?? Infinity, graceEndsAt ?? Infinity),
    running: () => running.size(),
    bytes: () => journal.bytes()
  }
}
