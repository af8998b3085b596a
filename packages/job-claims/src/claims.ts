import type * as clock from '@mustarddeck/clock'
import type * as jobDispatcher from '@mustarddeck/job-dispatcher'
import type * as runs from '@mustarddeck/runs'
import * as endedJobs from './ended-jobs.ts'
import * as inquiries from './inquiries.ts'
import type * as interfaces from './interface.ts'
import * as joins from './joins.ts'
import * as membership from './members.ts'
import * as registries from './registry.ts'

/** Delay in ms before a job that another entry may still run is claimed again. */
const RETRY_MS = 50
/** Time in ms before the caller's deadline at which it is answered, so that the answer still arrives in time. */
const ANSWER_MARGIN_MS = 40
/** Time in ms by which an entry gives up its jobs before others may take them over. */
const RELINQUISH_MARGIN_MS = 200
/** `Retry-After`, in ms, for callers of an entry that leaves. */
const RETRY_AFTER_MS = 1000

/** A job whose claim this entry does not hold yet. */
interface Claim extends interfaces.Claimant {
  job: jobDispatcher.Job
  submittedAt: number
  callers: Array<{ answer: jobDispatcher.Answer, deadline: number }>
  /** Holder that certainly no longer runs the job. */
  former: interfaces.Former | undefined
  /** Entry that claims the job at the same time and goes first. */
  yieldedTo: interfaces.Incarnation | undefined
  /** Entry that was last found to hold the job. */
  holder: interfaces.Incarnation | undefined
  /** Link to the registrar that was asked last. */
  asked: number | undefined
  /** Monotonic ms since which the holder has given no sign of life; undefined while it replies. */
  silentSince: number | undefined
  /** Leaves the job that was joined. */
  leave: (() => void) | undefined
  cancelRetry: clock.Cancellation
  cancelDeadline: clock.Cancellation
  ended: boolean
}

export const create = (options: interfaces.Options): interfaces.Claims => {
  const { timers, log, incarnation, address, jobs, lapseAfterMs, silentLapseMs, send } = options
  const members = membership.create({ timers, address, lapseAfterMs })
  const mayRun = (entry: interfaces.Incarnation): boolean =>
    entry === incarnation || members.linkTo(entry) !== undefined || members.mayStillRun(entry)
  const registry = registries.create(mayRun)
  const inquiry = inquiries.create({ timers, send })
  const joined = joins.create({ timers, send })
  const joinedCallers = joins.createJoinedCallers()
  const ended = endedJobs.create()
  const claims = new Map<runs.JobKey, Claim>()
  let lastClaim = 0
  /** Jobs whose claim was given up while tasks of them may still be on a worker. */
  const relinquished = new Set<runs.JobKey>()

  const announceHeld = (link: number | undefined, keys: runs.JobKey[]): void => {
    if (link !== undefined && keys.length > 0) send(link, { kind: 'held', keys, claim: lastClaim })
  }
  /** Keys of the jobs for which others have to ask this entry. */
  const claimedKeys = (): runs.JobKey[] => jobs.heldKeys().filter((key) => !relinquished.has(key))
  /** Removes the claim and returns its callers. */
  const end = (claim: Claim): Claim['callers'] => {
    claim.ended = true
    claim.cancelRetry()
    claim.cancelDeadline()
    claim.leave?.()
    claims.delete(claim.job.key)
    return claim.callers.splice(0)
  }
  const answerAll = (claim: Claim, outcome: jobDispatcher.Outcome): void => {
    for (const { answer } of end(claim)) answer(outcome)
  }
  const answerUnclaimed = (claim: Claim, reason: 'patience' | 'leaving'): void => {
    const { key } = claim.job
    log.warn('claim-unsettled', { job: key, reason, holder: claim.holder })
    answerAll(claim, { kind: 'unknown', reason })
  }
  const grant = (claim: Claim): void => {
    const { job } = claim
    const now = timers.monotonic()
    const waitedMs = Math.round(now - claim.submittedAt)
    relinquished.delete(job.key)
    registry.record(job.key, claim)
    // The registrar may have become so while others were asked.
    const registrar = members.registrar(job.key)
    if (registrar === undefined || registrar !== claim.asked) {
      announceHeld(registrar ?? members.deputy(job.key), [job.key])
    }
    if (claim.holder !== undefined) log.info('claim-taken-over', { job: job.key, former: claim.former?.incarnation, waitedMs })
    for (const { answer, deadline } of end(claim)) {
      jobs.submit({ ...job, callerTimeoutMs: Math.max(1, Math.round(deadline - now)) }, answer)
    }
  }

  const retryLater = (claim: Claim): void => {
    claim.cancelRetry()
    claim.cancelRetry = timers.after(RETRY_MS, () => claimAgain(claim))
  }
  const claimAgain = (claim: Claim): void => {
    if (claim.ended) return
    const { job: { key }, former } = claim
    if (members.isWaitingForLinks()) return retryLater(claim)
    const registrar = members.registrar(key)
    const isSettled = members.isSettled(key)
    const others = members.links()
    claim.asked = registrar
    const question = { key, claim: claim.claim, ...(former && { former }) }
    // This entry's own registry counts if it is the registrar, or if it was until lately.
    const holder = registrar === undefined || !isSettled ? registry.claim(key, claim, former) : undefined
    if (holder !== undefined || others.length === 0) return decide(claim, holder)
    if (!isSettled) return inquiry.ask(others, question, (finding) => onFinding(claim, finding))
    if (registrar === undefined) return decide(claim, undefined)
    inquiry.ask([registrar], question, (finding) => {
      if (claim.ended) return
      if (finding.kind !== 'unanswered') return onFinding(claim, finding)
      const rest = members.links().filter((link) => link !== registrar)
      log.info('registrar-silent', { job: key, asked: rest.length })
      // This entry may be the deputy, which knows of the jobs that the registrar itself holds.
      const known = registry.claim(key, claim, former)
      if (known !== undefined || rest.length === 0) return decide(claim, known)
      inquiry.ask(rest, question, (second) => onFinding(claim, second))
    })
  }
  const onFinding = (claim: Claim, finding: inquiries.Finding): void => {
    if (finding.kind === 'link-lost') claimAgain(claim)
    else decide(claim, finding.kind === 'held' ? finding.holder : undefined)
  }
  /** The registrar that knew of the holder may be gone, or be the holder itself. */
  const lastHolder = ({ holder, former }: Claim): interfaces.Incarnation | undefined =>
    holder !== undefined && holder !== former?.incarnation && mayRun(holder) ? holder : undefined
  const decide = (claim: Claim, found: interfaces.Incarnation | undefined): void => {
    if (claim.ended) return
    const holder = found ?? claim.yieldedTo ?? lastHolder(claim)
    claim.yieldedTo = undefined
    if (holder === undefined || holder === incarnation) return grant(claim)
    if (claim.holder !== holder) claim.silentSince = undefined
    claim.holder = holder
    const link = members.linkTo(holder)
    if (link === undefined) return retryLater(claim)
    const { key } = claim.job
    log.info('job-held', { job: key, holder: members.get(link)?.address })
    const timeoutMs = Math.max(1, ...claim.callers.map(({ deadline }) => deadline - timers.monotonic()))
    claim.leave = joined.join(link, key, timeoutMs, {
      joined: () => { claim.silentSince = undefined },
      settled: (result) => {
        claim.leave = undefined
        onJoinResult(claim, holder, result)
      }
    })
  }
  const onJoinResult = (claim: Claim, holder: interfaces.Incarnation, result: joins.JoinResult): void => {
    if (claim.ended) return
    if (result.kind !== 'silent') claim.silentSince = undefined
    switch (result.kind) {
      case 'ended': return answerAll(claim, result.outcome)
      case 'busy': return retryLater(claim)
      case 'free':
        claim.former = { incarnation: holder, before: result.before }
        return claimAgain(claim)
      case 'silent': {
        const now = timers.monotonic()
        claim.silentSince ??= now
        // Its agents have stopped what it ordered.
        if (now - claim.silentSince >= silentLapseMs) {
          claim.former = { incarnation: holder, before: Number.MAX_SAFE_INTEGER }
        }
        return retryLater(claim)
      }
    }
  }

  const submit = (job: jobDispatcher.Job, answer: jobDispatcher.Answer): void => {
    const { key } = job
    const outcome = ended.get(key)
    if (outcome) {
      log.info('job-repeated', { job: key, outcome: outcome.kind })
      return answer(outcome)
    }
    if (jobs.holds(key) && !relinquished.has(key)) return jobs.submit(job, answer)
    const now = timers.monotonic()
    const caller = { answer, deadline: now + job.callerTimeoutMs }
    const existing = claims.get(key)
    if (existing) {
      existing.callers.push(caller)
      return
    }
    const claim: Claim = {
      incarnation,
      claim: ++lastClaim,
      job,
      submittedAt: now,
      callers: [caller],
      former: undefined,
      yieldedTo: undefined,
      holder: undefined,
      asked: undefined,
      silentSince: undefined,
      leave: undefined,
      cancelRetry: () => {},
      cancelDeadline: () => {},
      ended: false
    }
    claims.set(key, claim)
    claimAgain(claim)
    if (claim.ended) return
    const answerWithinMs = Math.max(0, job.callerTimeoutMs - ANSWER_MARGIN_MS)
    claim.cancelDeadline = timers.after(answerWithinMs, () => answerUnclaimed(claim, 'patience'))
  }

  /** Returns this entry's incarnation if it holds the job or is about to; gives way to an entry that goes first. */
  const ownHold = (key: runs.JobKey, other: interfaces.Incarnation): interfaces.Incarnation | undefined => {
    if (ended.get(key) || jobs.holds(key)) return incarnation
    const claim = claims.get(key)
    if (!claim || claim.leave) return undefined
    if (incarnation < other) return incarnation
    claim.yieldedTo = other
    return undefined
  }
  const onClaim = (link: number, { request, key, claim, former }: interfaces.ClaimMessage & { kind: 'claim' }): void => {
    const claimant = members.get(link)?.incarnation
    if (claimant === undefined) return
    const holder = ownHold(key, claimant) ?? registry.claim(key, { incarnation: claimant, claim }, former)
    send(link, { kind: 'claim-reply', request, ...(holder !== undefined && { holder }) })
  }
  const joinStateOf = (
    link: number, { request, key, timeoutMs }: interfaces.ClaimMessage & { kind: 'join' }
  ): interfaces.JoinState => {
    const outcome = ended.get(key)
    if (outcome) return { kind: 'ended', outcome }
    const answer: jobDispatcher.Answer = (outcome) => {
      joinedCallers.remove(link, request)
      send(link, { kind: 'join-state', request, state: { kind: 'ended', outcome } })
    }
    if (jobs.join(key, answer, timeoutMs)) {
      joinedCallers.add(link, request, key, answer)
      return { kind: 'joined' }
    }
    const isClaiming = claims.get(key)?.leave !== undefined
    return isClaiming || ownHold(key, members.get(link)?.incarnation ?? '')
      ? { kind: 'busy' }
      : { kind: 'free', before: lastClaim + 1 }
  }
  const relinquish = (key: runs.JobKey): void => {
    for (const former of relinquished) if (!jobs.holds(former)) relinquished.delete(former)
    relinquished.add(key)
    jobs.relinquish(key)
  }
  const onHeld = (link: number, { keys, claim }: interfaces.ClaimMessage & { kind: 'held' }): void => {
    const other = members.get(link)?.incarnation
    if (other === undefined) return
    for (const key of keys) {
      registry.record(key, { incarnation: other, claim })
      // Both entries learn of it; one of them ends the job.
      if (!jobs.holds(key) || other > incarnation) continue
      log.warn('job-held-twice', { job: key, holder: members.get(link)?.address })
      relinquish(key)
    }
  }
  const cancel = (key: runs.JobKey): boolean => {
    ended.addCancelled(key)
    const claim = claims.get(key)
    if (!claim || claim.holder !== undefined) return false
    answerAll(claim, { kind: 'cancelled' })
    return true
  }
  return {
    submit,
    abandon: (key, answer) => {
      const claim = claims.get(key)
      if (!claim?.callers.some((caller) => caller.answer === answer)) return jobs.abandon(key, answer)
      claim.callers = claim.callers.filter((caller) => caller.answer !== answer)
      if (claim.callers.length === 0) end(claim)
    },
    cancel,
    jobEnded: ended.add,
    entryUp: (link, entry, entryAddress) => {
      members.up(link, entry, entryAddress)
      for (const claim of claims.values()) if (claim.holder === entry) claim.silentSince = undefined
      announceHeld(link, claimedKeys())
      const cancelled = ended.cancelled()
      if (cancelled.length > 0) send(link, { kind: 'cancelled', keys: cancelled })
    },
    entryDown: (link) => {
      const lost = members.down(link)
      inquiry.linkDown(link)
      joined.linkDown(link)
      for (const { key, answer } of joinedCallers.removeLink(link)) jobs.abandon(key, answer)
      if (!lost) return
      // The jobs that the lost entry was the registrar of have another one now.
      const keysByLink = new Map<number, runs.JobKey[]>()
      for (const key of claimedKeys()) {
        const registrar = members.registrar(key)
        if (registrar === undefined) registry.record(key, { incarnation, claim: lastClaim })
        const link = registrar ?? members.deputy(key)
        if (link !== undefined) keysByLink.set(link, [...keysByLink.get(link) ?? [], key])
      }
      for (const [target, keys] of keysByLink) announceHeld(target, keys)
    },
    receive: (link, message) => {
      switch (message.kind) {
        case 'claim': return onClaim(link, message)
        case 'claim-reply': return inquiry.reply(link, message.request, message.holder)
        case 'join':
          return send(link, { kind: 'join-state', request: message.request, state: joinStateOf(link, message) })
        case 'join-state': return joined.reply(link, message.request, message.state)
        case 'held': return onHeld(link, message)
        case 'cancelled':
          for (const key of message.keys) if (!jobs.cancel(key)) cancel(key)
          return
        case 'leave': {
          const caller = joinedCallers.remove(link, message.request)
          if (caller) jobs.abandon(caller.key, caller.answer)
        }
      }
    },
    suspended: (gapMs) => {
      if (!members.suspended() || gapMs < silentLapseMs - RELINQUISH_MARGIN_MS) return
      for (const key of jobs.heldKeys()) relinquish(key)
    },
    leave: () => {
      for (const claim of [...claims.values()]) {
        if (claim.holder !== undefined) answerUnclaimed(claim, 'leaving')
        else answerAll(claim, { kind: 'not-run', reason: 'draining', retryAfterMs: RETRY_AFTER_MS })
      }
    }
  }
}
