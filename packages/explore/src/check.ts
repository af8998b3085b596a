import * as types from '@mustarddeck/types'
import type * as backend from './fakes/backend.ts'
import type * as callers from './fakes/callers.ts'
import type * as processes from './processes.ts'
import type * as runs from './run.ts'

type Starts = Map<types.JobId, backend.Start[]>
type Report = (rule: string, detail: string) => void

/** Bound of the promise that a leaving backend server receives no new work. */
const LEAVE_MS = 2000
/** Time that a call may take between the agent's decision and the backend server. */
const CALL_MS = 100
/** Time within which a request of the healing phase is answered, if only as pending. */
const ANSWER_MS = 3500

/** A promise of the design that the run broke. */
export interface Violation {
  rule: string
  detail: string
}

interface Answer {
  request: callers.Request
  outcome: types.Outcome
  at: number
}

const groupStarts = (starts: backend.Start[]): Starts => {
  const groups: Starts = new Map()
  for (const start of starts) groups.set(start.job, [...groups.get(start.job) ?? [], start])
  return groups
}

const checkSingleStarts = (starts: Starts, report: Report): void => {
  for (const [job, list] of starts) {
    const seen = new Map<number, backend.Start>()
    for (const start of list) {
      const first = seen.get(start.index)
      if (first) {
        report('one start per task', `${job}/${start.index} started on ${first.worker} at ${first.at.toFixed(1)} ` +
          `and on ${start.worker} at ${start.at.toFixed(1)}`)
      }
      seen.set(start.index, start)
    }
    if (new Set(list.map((start) => start.token)).size > 1) report('one content per id', `${job} ran two contents`)
  }
}

const checkComplete = (outcome: types.Outcome & { kind: 'complete' }, content: callers.Content | undefined,
  starts: backend.Start[], report: Report): void => {
  const tasks = content?.tasks ?? outcome.results
  if (outcome.results.length !== tasks.length) {
    return report('complete is whole', `${outcome.job}: ${outcome.results.length} of ${tasks.length} results`)
  }
  outcome.results.forEach(({ name, result }, index) => {
    const start = starts.find((other) => other.index === index)
    if (name !== tasks[index]!.name) report('own request', `${outcome.job}/${index} is named ${name}`)
    if (start?.end?.kind !== 'finished' || start.end.result !== result) {
      report('complete has the true results', `${outcome.job}/${index}: ${String(result)}, record ${JSON.stringify(start)}`)
    }
  })
}

const isTrue = (task: types.TaskOutcome, start: backend.Start | undefined): boolean => {
  switch (task.kind) {
    case 'never-started': return start === undefined
    case 'finished': return start?.end?.kind === 'finished' && start.end.result === task.result
    case 'failed': return start !== undefined && (task.reason === 'connection-lost' || start.end?.kind === 'failed')
    // The abort may overtake the call, so that nothing started.
    case 'cancelled': return start === undefined || start.end?.kind === 'cancelled'
    case 'may-have-run': return true
  }
}

const checkFailed = (outcome: types.Outcome & { kind: 'failed' }, content: callers.Content | undefined,
  starts: backend.Start[], report: Report): void => {
  const tasks = content?.tasks
  const names = outcome.tasks.map(({ name }) => name)
  if (tasks && (names.length !== tasks.length || names.some((name, index) => name !== tasks[index]!.name))) {
    report('failed lists every task', `${outcome.job}: ${names.join(' ')}`)
  }
  if (outcome.tasks.every((task) => task.outcome.kind === 'finished')) {
    report('failed has a cause', `${outcome.job}: all finished`)
  }
  outcome.tasks.forEach(({ outcome: task }, index) => {
    const start = starts.find((other) => other.index === index)
    if (!isTrue(task, start)) {
      report('failed matches the record', `${outcome.job}/${index}: ${JSON.stringify(task)}, record ${JSON.stringify(start)}`)
    }
  })
}

const contradict = (a: types.TaskOutcome['kind'], b: types.TaskOutcome['kind']): boolean =>
  a !== b && a !== 'may-have-run' && b !== 'may-have-run'

const checkAgreement = (job: types.JobId, finals: types.Outcome[], report: Report): void => {
  const claims = finals.filter((outcome) => outcome.kind !== 'expired')
  const kinds = new Set(claims.map((outcome) => outcome.kind))
  if (kinds.size > 1) report('final outcomes agree', `${job}: ${[...kinds].join(' and ')}`)
  const failed = claims.filter((outcome) => outcome.kind === 'failed')
  for (const other of failed.slice(1)) {
    other.tasks.forEach(({ outcome }, index) => {
      const first = failed[0]!.tasks[index]?.outcome.kind
      if (first && contradict(first, outcome.kind)) {
        report('final outcomes agree', `${job}/${index}: ${first} and ${outcome.kind}`)
      }
    })
  }
}

/** `expired` needs a lost agent, a retirement or dropped records as its cause. */
const checkExpired = (run: runs.Record, job: types.JobId, at: number, report: Report): void => {
  const id = types.parseJobId(job)
  if (!id) return
  const { blockLifetimeMs, blockRetentionMs, orphanAfterMs, orphanRetentionMs } = run.schedule.profile
  const prefix = types.formatBlock(id.incarnation, id.view, id.block)
  const openedAt = run.callers.reservedAt(prefix) ?? 0
  const departures = id.view.kind === 'registered' ? id.view.departures : 0
  const isRetired = at - openedAt >= blockLifetimeMs + blockRetentionMs - 10
  // An agent drops all records of an owner whose link it lost, also if that was before the block was opened.
  const mayBeDropped = at >= orphanAfterMs + orphanRetentionMs
  const hasCause = run.membership.departures > departures || hasLostAgent(run) || isRetired || mayBeDropped
  if (!hasCause) {
    report('expired has a cause', `${job} at ${at.toFixed(1)}, opened at ${openedAt.toFixed(1)}`)
  }
}

const checkAnswers = (run: runs.Record, starts: Starts, report: Report): void => {
  const finals = new Map<types.JobId, types.Outcome[]>()
  for (const request of run.callers.requests) {
    if (request.answers.length > 1) report('one answer per request', `${request.id}: ${JSON.stringify(request.answers)}`)
    for (const { outcome, at } of request.answers) {
      checkAnswer(run, { request, outcome, at }, starts, report)
      if (!types.isFinal(outcome) || !outcome.job) continue
      finals.set(outcome.job, [...finals.get(outcome.job) ?? [], outcome])
    }
  }
  for (const [job, outcomes] of finals) checkAgreement(job, outcomes, report)
}

const checkAnswer = (run: runs.Record, { request, outcome, at }: Answer, starts: Starts, report: Report): void => {
  const { job, content } = request
  if (request.withId && outcome.job && outcome.job !== job.id) {
    report('own request', `${request.id} for ${job.id} got ${JSON.stringify(outcome)}`)
  }
  const started = outcome.job ? starts.get(outcome.job) ?? [] : []
  const foreign = content && started.find((start) => start.token !== content.token)
  if ((outcome.kind === 'complete' || outcome.kind === 'failed') && foreign) {
    report('own request', `${request.id} with content ${content.token} got the outcome of ${foreign.token}`)
  }
  switch (outcome.kind) {
    case 'complete': return checkComplete(outcome, content, started, report)
    case 'failed':
      if (outcome.tasks.some((task) => task.outcome.kind === 'may-have-run') && !hasLostAgent(run)) {
        report('may-have-run has a cause', JSON.stringify(outcome))
      }
      return checkFailed(outcome, content, started, report)
    case 'expired': return checkExpired(run, outcome.job, at, report)
    case 'not-run': return checkNotRun(run, request, outcome, started, report)
    case 'conflict':
      if (content && job.requests.every((other) => !other.content || other.content.token === content.token)) {
        report('conflict has a cause', `${request.id} for ${job.id}`)
      }
  }
}

const checkNotRun = (run: runs.Record, request: callers.Request, outcome: types.Outcome & { kind: 'not-run' },
  started: backend.Start[], report: Report): void => {
  if (outcome.final && started.length > 0) report('not run is true', `${outcome.job}: ${JSON.stringify(started)}`)
  // Without an id, or with no other submission of the same id, even a refusal that is not final speaks for the job.
  const alone = request.content && request.job.requests.filter((other) => other.kind === 'submit').length === 1
  const ran = alone && run.starts.find((start) => start.token === request.content!.token)
  if (ran) report('not run is true', `${request.id}: ${JSON.stringify(outcome)}, record ${JSON.stringify(ran)}`)
}

/** The backend server's work is aborted only on a caller's wish, or for a job that may run again after a failure. */
const checkAborts = (run: runs.Record, report: Report): void => {
  const { requests } = run.callers
  const idempotent = new Set(requests.flatMap(({ content }) => content?.idempotent ? content.token : []))
  const cancelled = new Set(requests.flatMap(({ kind, job }) => kind === 'cancel' ? job.id : []))
  for (const start of run.starts) {
    if (start.end?.kind !== 'cancelled') continue
    if (!idempotent.has(start.token) && !cancelled.has(start.job)) report('nothing in progress is cut', JSON.stringify(start))
  }
}

const hasLostAgent = (run: runs.Record): boolean =>
  run.processes.some((process) => process.role === 'agent' && !process.host.alive())

const checkLeaving = (run: runs.Record, process: processes.Process, report: Report): void => {
  const { leavingAt } = process
  if (process.role !== 'agent' || leavingAt === undefined) return
  const latest = leavingAt + LEAVE_MS + CALL_MS
  const late = run.starts.find((start) => start.agent === process.incarnation && start.at > latest)
  if (late) report('a leaving agent starts nothing new', `${process.label}: left at ${leavingAt}, ${JSON.stringify(late)}`)
}

const checkLiveness = (run: runs.Record, report: Report): void => {
  const owners = new Map(run.processes.flatMap((process) =>
    [...process.owned].map((incarnation) => [incarnation, process] as const)))
  for (const job of run.unsettled) {
    const id = job.id && types.parseJobId(job.id)
    if (!id) continue
    // Records of a `u` job may be on an agent that nobody knows, so its dead owner leaves it unknown for good.
    const owner = owners.get(id.incarnation)
    const excused = id.view.kind === 'unregistered' && !(owner?.host.alive() && owner.pauses.length === 0)
    if (!excused) report('resubmitted requests get a final outcome', `${job.id} (job ${job.number})`)
  }
  for (const request of run.callers.requests) {
    const process = run.processes.find((other) => other.label === request.entry)
    const healthy = process?.host.alive() && process.leavingAt === undefined
    const due = request.at >= run.healedAt + 1000 && request.at < run.endedAt - ANSWER_MS
    if (due && healthy && request.answers.length === 0) {
      report('requests are answered', `${request.id} for ${request.job.id} at ${request.entry}`)
    }
  }
  for (const process of run.processes) {
    if (process.leavingAt !== undefined && !process.left && process.host.alive()) {
      report('a planned stop ends', `${process.label} asked at ${process.leavingAt.toFixed(1)}`)
    }
  }
}

/** Compares the run's answers with the record of the backend servers. */
export const check = (run: runs.Record): Violation[] => {
  const violations: Violation[] = []
  const report: Report = (rule, detail) => { violations.push({ rule, detail }) }
  for (const failure of run.failures) report('the code keeps to its interface', failure)
  const starts = groupStarts(run.starts)
  checkSingleStarts(starts, report)
  checkAnswers(run, starts, report)
  for (const process of run.processes) checkLeaving(run, process, report)
  checkAborts(run, report)
  checkLiveness(run, report)
  return violations
}
