import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'
import * as evidences from './evidence.ts'
import type * as recovery from './interface.ts'

/** Interval at which the fence transaction is retried while the store is unavailable. */
const STORE_RETRY_MS = 500
/** Time from the start of a fence until an undecided job is answered as `unknown`. */
const DECISION_TIMEOUT_MS = 2000
/** Time for which a case without new requests is kept. */
const CASE_RETENTION_MS = 60_000

/** Recovery of one job. */
interface JobCase {
  id: types.ParsedJobId
  evidence: evidences.Evidence
  /** Agent incarnations that have sent their records of this job. */
  answered: Set<types.Incarnation>
  /** True while a request waits for an outcome. */
  hasWaiter: boolean
  /** Time at which the job is answered as `unknown` if no outcome follows by then. */
  answerBy: number
}

/** Recovery of the jobs of one owner incarnation. */
export interface OwnerCase {
  request (request: recovery.Request, now: number): void
  jobs (): types.JobId[]
  agentUp (agent: recovery.Agent): void
  records (agent: recovery.Agent, message: messages.Records, now: number): void
  recordUpdate (job: types.JobId, index: number, outcome: messages.TaskEnd | undefined, now: number): void
  fenceStored (membership: types.Membership | undefined, now: number): void
  membership (membership: types.Membership, now: number): void
  /** Returns false when the case can be removed. */
  timer (now: number): boolean
  deadline (): number
}

export const create = ({ incarnation, fenceAt, settings, output, agents }: {
  incarnation: types.Incarnation
  fenceAt: number
  settings: recovery.Settings
  output: recovery.Output
  agents: () => Iterable<recovery.Agent>
}): OwnerCase => {
  const cases = new Map<types.JobId, JobCase>()
  let isFencing = false
  let isStoring = false
  let storeRetryAt = Infinity
  /** Membership that the fence transaction read, current at that time. */
  let provenMembership: types.Membership | undefined
  let latestMembership: types.Membership | undefined
  /** Agents that were members in any read that included the fence. */
  const listedWithFence = new Set<types.Incarnation>()
  let lastRetiredBlock = 0
  let haveRecordsDropped = false
  let lastRequestAt = fenceAt

  const requestRecords = (agent: recovery.Agent, jobs: types.JobId[]): void => {
    output.send(agent.link, { kind: 'recover', incarnation, jobs })
  }
  const storeFence = (): void => {
    if (isStoring || provenMembership) return
    isStoring = true
    storeRetryAt = Infinity
    output.storeFence(incarnation)
  }
  const startFencing = (): void => {
    isFencing = true
    storeFence()
    const jobs = [...cases.keys()]
    for (const agent of agents()) requestRecords(agent, jobs)
  }

  const hasAllAnswers = (job: JobCase): boolean =>
    provenMembership !== undefined && provenMembership.members.every((member) => job.answered.has(member.incarnation))

  /** An agent departed after the id block was opened: the owner may have used it, and its records are gone. */
  const hasLostAgent = ({ view }: types.ParsedJobId): boolean => view.kind === 'registered' &&
    [provenMembership, latestMembership].some((membership) => membership && membership.departures > view.departures)
  const isListed = (agent: types.Incarnation): boolean =>
    latestMembership === undefined || latestMembership.members.some((member) => member.incarnation === agent)
  const isLinked = (agent: types.Incarnation): boolean =>
    [...agents()].some(({ incarnation }) => incarnation === agent)
  /** All agents that have not answered, or that run a task of the job, are neither members nor linked. */
  const lacksOnlyLostAgents = (job: JobCase): boolean => {
    if (!provenMembership || !hasLostAgent(job.id)) return false
    const unansweredAgents = provenMembership.members
      .map(({ incarnation }) => incarnation).filter((agent) => !job.answered.has(agent))
    return [...unansweredAgents, ...job.evidence.runningOn()].every((agent) => !isListed(agent) && !isLinked(agent))
  }

  /**
   * The agent was a member after the fence was stored. The owner may mark tasks as lost if their agent departed before
   * the fence, so records of such an agent must not decide an outcome.
   */
  const isOrWasListed = (agent: types.Incarnation): boolean => {
    const isProven = provenMembership?.members.some(({ incarnation }) => incarnation === agent) ?? false
    return isProven || (provenMembership !== undefined && listedWithFence.has(agent))
  }

  /** The final outcome if the records and memberships read so far prove one. */
  const finalOutcome = (jobId: types.JobId, job: JobCase): types.Outcome | undefined => {
    const recordedOutcome = job.evidence.recordedOutcome(isOrWasListed)
    if (recordedOutcome) return recordedOutcome
    if (job.id.block <= lastRetiredBlock || lacksOnlyLostAgents(job)) return { kind: 'expired', job: jobId }
    if (!hasAllAnswers(job) || job.evidence.runningOn().length > 0) return undefined
    if (haveRecordsDropped || hasLostAgent(job.id)) return { kind: 'expired', job: jobId }
    if (job.id.view.kind === 'unregistered') return undefined
    if (!job.evidence.isEmpty()) return job.evidence.failedOutcome()
    return { kind: 'not-run', job: jobId, reason: 'owner-lost', final: true }
  }
  const uncertaintyReason = (job: JobCase): types.UncertaintyReason => {
    if (!provenMembership) return 'store-unavailable'
    return hasAllAnswers(job) && job.evidence.isEmpty() ? 'unregistered-view' : 'agent-unreachable'
  }
  /** True while a linked agent runs a task of the job, so an outcome will follow. */
  const isInProgress = (job: JobCase): boolean => job.evidence.runningOn().some(isLinked)

  const evaluate = (jobId: types.JobId, job: JobCase, now: number): void => {
    if (!job.hasWaiter) return
    let outcome = finalOutcome(jobId, job)
    if (!outcome && now >= job.answerBy && !isInProgress(job)) {
      outcome = { kind: 'unknown', job: jobId, reason: uncertaintyReason(job), retryAfterMs: settings.retryAfterMs }
    }
    if (!outcome) return
    job.hasWaiter = false
    output.decided(jobId, outcome, job.evidence.digest())
  }
  const evaluateAll = (now: number): void => {
    for (const [jobId, job] of cases) evaluate(jobId, job, now)
  }

  const openCase = (request: recovery.Request, now: number): JobCase => {
    const job: JobCase = {
      id: types.parseJobId(request.job)!,
      evidence: evidences.create(request.job, request.names),
      answered: new Set(),
      hasWaiter: true,
      answerBy: Math.max(fenceAt, now) + DECISION_TIMEOUT_MS
    }
    cases.set(request.job, job)
    if (isFencing) for (const agent of agents()) requestRecords(agent, [request.job])
    return job
  }
  const reopenCase = (job: JobCase, now: number): void => {
    if (!job.hasWaiter) job.answerBy = now + settings.suspectAfterMs
    job.hasWaiter = true
  }
  return {
    request: (request, now) => {
      lastRequestAt = now
      const existing = cases.get(request.job)
      if (existing) reopenCase(existing, now)
      evaluate(request.job, existing ?? openCase(request, now), now)
    },
    jobs: () => [...cases].filter(([, job]) => job.hasWaiter).map(([jobId]) => jobId),
    agentUp: (agent) => {
      if (isFencing) requestRecords(agent, [...cases.keys()])
    },
    records: (agent, message, now) => {
      lastRetiredBlock = Math.max(lastRetiredBlock, message.retired)
      haveRecordsDropped ||= message.dropped
      const records = new Map(message.records.map((record) => [record.job, record]))
      for (const jobId of message.jobs) {
        const job = cases.get(jobId)
        job?.answered.add(agent.incarnation)
        job?.evidence.addRecord(agent.incarnation, records.get(jobId))
      }
      evaluateAll(now)
    },
    recordUpdate: (jobId, index, outcome, now) => {
      const job = cases.get(jobId)
      if (!job) return
      job.evidence.updateTask(index, outcome)
      evaluate(jobId, job, now)
    },
    fenceStored: (membership, now) => {
      isStoring = false
      provenMembership ??= membership
      if (!provenMembership) storeRetryAt = now + STORE_RETRY_MS
      evaluateAll(now)
    },
    membership: (membership, now) => {
      if (membership.fences.includes(incarnation)) {
        for (const member of membership.members) listedWithFence.add(member.incarnation)
      }
      if (latestMembership && membership.departures < latestMembership.departures) return
      latestMembership = membership
      evaluateAll(now)
    },
    timer: (now) => {
      if (!isFencing && now >= fenceAt) startFencing()
      if (isFencing && now >= storeRetryAt) storeFence()
      evaluateAll(now)
      return now < lastRequestAt + CASE_RETENTION_MS || [...cases.values()].some((job) => job.hasWaiter)
    },
    deadline: () => {
      let next = isFencing ? storeRetryAt : fenceAt
      for (const job of cases.values()) if (job.hasWaiter && !isInProgress(job)) next = Math.min(next, job.answerBy)
      return Math.min(next, lastRequestAt + CASE_RETENTION_MS)
    }
  }
}
