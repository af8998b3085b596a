import type * as messages from '@mustarddeck/messages'
import * as types from '@mustarddeck/types'
import * as evidences from './evidence.ts'
import type * as recovery from './interface.ts'

/** Interval in ms at which an unavailable store is tried again. */
const STORE_RETRY_MS = 500
/** Time in ms after the start of a fence after which an undecided job is answered as unknown for now. */
const DECISION_TIMEOUT_MS = 2000
/** Time in ms for which a case without new requests is kept. */
const CASE_RETENTION_MS = 60_000

interface JobCase {
  id: types.ParsedJobId
  evidence: evidences.Evidence
  /** Agent incarnations that answered for this job. */
  answered: Set<types.Incarnation>
  /** True while somebody waits for an outcome. */
  wanted: boolean
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
  /** Returns false when the case is over and can be forgotten. */
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
  let fencing = false
  let storing = false
  let storeRetryAt = Infinity
  /** The membership that the fence transaction proved to be current. */
  let proven: types.Membership | undefined
  let latest: types.Membership | undefined
  /** Agents that some read listed together with the fence. */
  const listedWithFence = new Set<types.Incarnation>()
  let retired = 0
  let dropped = false
  let idleSince = fenceAt

  const ask = (agent: recovery.Agent, jobs: types.JobId[]): void => {
    output.send(agent.link, { kind: 'recover', incarnation, jobs })
  }
  const storeFence = (): void => {
    if (storing || proven) return
    storing = true
    storeRetryAt = Infinity
    output.storeFence(incarnation)
  }
  const begin = (): void => {
    fencing = true
    storeFence()
    const jobs = [...cases.keys()]
    for (const agent of agents()) ask(agent, jobs)
  }

  const isCovered = (job: JobCase): boolean =>
    proven !== undefined && proven.members.every((member) => job.answered.has(member.incarnation))

  /** An agent departed after the block was opened: the owner may have used it, and its records are gone. */
  const hasLostAgent = ({ view }: types.ParsedJobId): boolean => view.kind === 'registered' &&
    [proven, latest].some((membership) => membership && membership.departures > view.departures)
  const isListed = (agent: types.Incarnation): boolean =>
    latest === undefined || latest.members.some((member) => member.incarnation === agent)
  const isLinked = (agent: types.Incarnation): boolean =>
    [...agents()].some(({ incarnation }) => incarnation === agent)
  /** Every agent that has not answered, or that runs a task, is no longer a member. */
  const waitsOnlyForLostAgents = (job: JobCase): boolean => {
    if (!proven || !hasLostAgent(job.id)) return false
    const awaited = proven.members.map(({ incarnation }) => incarnation).filter((agent) => !job.answered.has(agent))
    return [...awaited, ...job.evidence.runningOn()].every((agent) => !isListed(agent) && !isLinked(agent))
  }

  /**
   * The agent was a member after the fence. The owner may give up the tasks of an agent that departed before the fence,
   * so that this agent's records must not settle a job.
   */
  const isOrWasListed = (agent: types.Incarnation): boolean => {
    const isProven = proven?.members.some(({ incarnation }) => incarnation === agent) ?? false
    return isProven || (proven !== undefined && listedWithFence.has(agent))
  }

  /** The final outcome that follows from what is known, if any does. */
  const conclude = (name: types.JobId, job: JobCase): types.Outcome | undefined => {
    const settled = job.evidence.settled(isOrWasListed)
    if (settled) return settled
    if (job.id.block <= retired || waitsOnlyForLostAgents(job)) return { kind: 'expired', job: name }
    if (!isCovered(job) || job.evidence.runningOn().length > 0) return undefined
    if (dropped || hasLostAgent(job.id)) return { kind: 'expired', job: name }
    if (job.id.view.kind === 'unregistered') return undefined
    if (!job.evidence.isEmpty()) return job.evidence.failed()
    return { kind: 'not-run', job: name, reason: 'owner-lost', final: true }
  }
  const uncertainty = (job: JobCase): types.UncertaintyReason => {
    if (!proven) return 'store-unavailable'
    return isCovered(job) && job.evidence.isEmpty() ? 'unregistered-view' : 'agent-unreachable'
  }
  /** True while a linked agent runs a task of the job, so that an outcome will follow. */
  const isInProgress = (job: JobCase): boolean => job.evidence.runningOn().some(isLinked)

  const evaluate = (name: types.JobId, job: JobCase, now: number): void => {
    if (!job.wanted) return
    let outcome = conclude(name, job)
    if (!outcome && now >= job.answerBy && !isInProgress(job)) {
      outcome = { kind: 'unknown', job: name, reason: uncertainty(job), retryAfterMs: settings.retryAfterMs }
    }
    if (!outcome) return
    job.wanted = false
    output.decided(name, outcome, job.evidence.digest())
  }
  const evaluateAll = (now: number): void => {
    for (const [name, job] of cases) evaluate(name, job, now)
  }

  const open = (request: recovery.Request, now: number): JobCase => {
    const job: JobCase = {
      id: types.parseJobId(request.job)!,
      evidence: evidences.create(request.job, request.names),
      answered: new Set(),
      wanted: true,
      answerBy: Math.max(fenceAt, now) + DECISION_TIMEOUT_MS
    }
    cases.set(request.job, job)
    if (fencing) for (const agent of agents()) ask(agent, [request.job])
    return job
  }
  const reopen = (job: JobCase, now: number): void => {
    if (!job.wanted) job.answerBy = now + settings.suspectAfterMs
    job.wanted = true
  }
  return {
    request: (request, now) => {
      idleSince = now
      const known = cases.get(request.job)
      if (known) reopen(known, now)
      evaluate(request.job, known ?? open(request, now), now)
    },
    jobs: () => [...cases].filter(([, job]) => job.wanted).map(([name]) => name),
    agentUp: (agent) => {
      if (fencing) ask(agent, [...cases.keys()])
    },
    records: (agent, message, now) => {
      retired = Math.max(retired, message.retired)
      dropped ||= message.dropped
      const records = new Map(message.records.map((record) => [record.job, record]))
      for (const name of message.jobs) {
        const job = cases.get(name)
        job?.answered.add(agent.incarnation)
        job?.evidence.add(agent.incarnation, records.get(name))
      }
      evaluateAll(now)
    },
    recordUpdate: (name, index, outcome, now) => {
      const job = cases.get(name)
      if (!job) return
      job.evidence.update(index, outcome)
      evaluate(name, job, now)
    },
    fenceStored: (membership, now) => {
      storing = false
      proven ??= membership
      if (!proven) storeRetryAt = now + STORE_RETRY_MS
      evaluateAll(now)
    },
    membership: (membership, now) => {
      if (membership.fences.includes(incarnation)) {
        for (const member of membership.members) listedWithFence.add(member.incarnation)
      }
      if (latest && membership.departures < latest.departures) return
      latest = membership
      evaluateAll(now)
    },
    timer: (now) => {
      if (!fencing && now >= fenceAt) begin()
      if (fencing && now >= storeRetryAt) storeFence()
      evaluateAll(now)
      return now < idleSince + CASE_RETENTION_MS || [...cases.values()].some((job) => job.wanted)
    },
    deadline: () => {
      let at = fencing ? storeRetryAt : fenceAt
      for (const job of cases.values()) if (job.wanted && !isInProgress(job)) at = Math.min(at, job.answerBy)
      return Math.min(at, idleSince + CASE_RETENTION_MS)
    }
  }
}
