import type * as clock from '@mustarddeck/clock'
import type * as jobDispatcher from '@mustarddeck/job-dispatcher'
import type * as log from '@mustarddeck/log'
import type * as runs from '@mustarddeck/runs'
import * as jobClaims from '../index.ts'

/** Time in ms from the end of a job that was still running to the end of its tasks. */
const STOP_MS = 40
/** Longest time in ms that tasks outlive the loss of their entry, by its end and by its silence. */
export const LAPSE_MS = 692
export const SILENT_LAPSE_MS = 1277
/** Time in ms after which an entry closes the link to a silent one. */
const SILENT_LINK_MS = 1800
/** Time in ms from a lost link to the next one. */
const RELINK_MS = 60
/** Time in ms from the end of a process to the end of its connections at their other ends. */
const FIN_MS = 15

export const jobOf = (key: string, callerTimeoutMs = 4000): jobDispatcher.Job => ({
  key: key as runs.JobKey,
  queue: {
    name: 'settle' as jobDispatcher.QueueName,
    service: 'corkbook',
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    objectiveMs: 60
  },
  spec: 'weigh',
  steps: [],
  callerTimeoutMs
})

interface RunningJob {
  answers: jobDispatcher.Answer[]
  cancelEnd: clock.Cancellation
}

export interface Options {
  timers: clock.Timers
  count: number
  runMs?: number
  latencyMs? (): number
}

/** An entry whose dispatcher runs each job as soon as it is submitted. */
export interface Entry {
  claims: jobClaims.Claims
  /** Submits the job; the outcomes of its caller are added to the list. */
  submit (job: jobDispatcher.Job): { outcomes: jobDispatcher.Outcome[], abandon (): void }
  cancel (key: runs.JobKey): boolean
  /** Keys of the jobs that were started here, in order. */
  started: runs.JobKey[]
  /** The process ends; its tasks run on until their leases have lapsed. */
  end (): void
  /** Starts the process again after its end. */
  start (): void
  /** The process stands still. */
  freeze (durationMs: number): void
}

/** Entries with links on one virtual clock; `violations` tells of jobs that ran at two entries at the same time. */
export const create = ({ timers, count, runMs = 500, latencyMs = () => 1 }: Options) => {
  const violations: string[] = []
  /** What happened, a line for each event. */
  const events: string[] = []
  const trace = (...event: unknown[]): void => {
    const parts = event.map((part) => typeof part === 'string' ? part : JSON.stringify(part))
    events.push([timers.monotonic().toFixed(0), ...parts].join(' '))
  }
  const logOf = (name: string): log.Log => {
    const write = (event: string, fields: Record<string, unknown> = {}): void => trace(name, event, fields)
    const log: log.Log = { debug: () => {}, info: write, warn: write, error: write, with: () => log }
    return log
  }
  /** Entries on whose order tasks of the job run. */
  const runningAt = new Map<runs.JobKey, string>()
  /** Links by the indexes of their ends; both ends of a link have the same id. */
  const links = new Map<string, number>()
  const nodes: Node[] = []
  let nextLink = 1
  let nextIncarnation = 1

  interface Node {
    entry: Entry
    claims: jobClaims.Claims
    incarnation: string
    state: 'running' | 'frozen' | 'ended'
    deferred: Array<() => void>
    indexByLink: Map<number, number>
    /** Monotonic ms until which its links to others are cut. */
    cutUntil: number
  }
  const run = (node: Node, incarnation: string, callback: () => void): void => {
    if (node.incarnation !== incarnation || node.state === 'ended') return
    if (node.state === 'frozen') node.deferred.push(() => run(node, incarnation, callback))
    else callback()
  }
  const timersOf = (node: Node, incarnation: string): clock.Timers => ({
    now: timers.now,
    monotonic: timers.monotonic,
    after: (delayMs, callback) => {
      let cancelled = false
      const cancel = timers.after(delayMs, () => run(node, incarnation, () => { if (!cancelled) callback() }))
      return () => {
        cancelled = true
        cancel()
      }
    }
  })

  const createJobs = (
    node: Node, own: clock.Timers, ended: (key: runs.JobKey, outcome: jobDispatcher.Outcome) => void
  ) => {
    const open = new Map<runs.JobKey, RunningJob>()
    const held = new Set<runs.JobKey>()
    const { incarnation } = node

    const release = (key: runs.JobKey): void => {
      held.delete(key)
      if (runningAt.get(key) === incarnation) runningAt.delete(key)
    }
    const endJob = (key: runs.JobKey, outcome: jobDispatcher.Outcome): void => {
      const job = open.get(key)
      if (!job) return
      trace(incarnation, 'ends', key, outcome.kind)
      open.delete(key)
      job.cancelEnd()
      if (outcome.kind === 'completed') release(key)
      else own.after(STOP_MS, () => { if (!open.has(key)) release(key) })
      ended(key, outcome)
      for (const answer of job.answers.splice(0)) answer(outcome)
    }
    return {
      submit: ({ key }: jobDispatcher.Job, answer: jobDispatcher.Answer): void => {
        const existing = open.get(key)
        if (existing) {
          existing.answers.push(answer)
          return
        }
        const other = runningAt.get(key)
        if (other !== undefined && other !== incarnation) {
          violations.push(`${Math.round(timers.monotonic())} ms: ${key} starts at ${incarnation} while it runs at ${other}`)
        }
        trace(incarnation, 'starts', key)
        runningAt.set(key, incarnation)
        node.entry.started.push(key)
        held.add(key)
        open.set(key, { answers: [answer], cancelEnd: own.after(runMs, () => endJob(key, { kind: 'completed' })) })
      },
      join: (key: runs.JobKey, answer: jobDispatcher.Answer): boolean => {
        open.get(key)?.answers.push(answer)
        return open.has(key)
      },
      abandon: (key: runs.JobKey, answer: jobDispatcher.Answer): void => {
        const job = open.get(key)
        if (!job?.answers.includes(answer)) return
        job.answers = job.answers.filter((other) => other !== answer)
        if (job.answers.length === 0) endJob(key, { kind: 'unknown', reason: 'caller-gone' })
      },
      cancel: (key: runs.JobKey): boolean => {
        const known = open.has(key)
        endJob(key, { kind: 'cancelled' })
        return known
      },
      holds: (key: runs.JobKey): boolean => held.has(key),
      heldKeys: (): runs.JobKey[] => [...held],
      relinquish: (key: runs.JobKey): void => endJob(key, { kind: 'unknown', reason: 'taken-over' })
    }
  }

  /** Its tasks end by themselves at the latest after this time, unless it is back before and orders them again. */
  const lapse = ({ incarnation }: Node, afterMs: number): clock.Cancellation => {
    const keys = [...runningAt].filter(([, holder]) => holder === incarnation).map(([key]) => key)
    return timers.after(afterMs, () => {
      for (const key of keys) if (runningAt.get(key) === incarnation) runningAt.delete(key)
    })
  }
  const nameOf = (one: number, other: number): string => [one, other].sort().join('-')
  const closeLink = (one: number, other: number, isLearnedBy: (index: number) => boolean = () => true): void => {
    const link = links.get(nameOf(one, other))
    if (link === undefined) return
    links.delete(nameOf(one, other))
    trace('link-down', nameOf(one, other))
    for (const index of [one, other]) {
      const node = nodes[index]!
      // A process that stands still closes its links when it resumes.
      if (!isLearnedBy(index) || node.state !== 'running') continue
      node.indexByLink.delete(link)
      node.claims.entryDown(link)
    }
    timers.after(RELINK_MS, () => openLink(one, other))
  }
  const openLink = (one: number, other: number): void => {
    const name = nameOf(one, other)
    const ends = [nodes[one]!, nodes[other]!] as const
    const isCut = ends.some(({ cutUntil }) => cutUntil > timers.monotonic())
    if (links.has(name)) return
    if (isCut || ends.some(({ state }) => state !== 'running')) {
      timers.after(RELINK_MS, () => openLink(one, other))
      return
    }
    const link = nextLink++
    links.set(name, link)
    trace('link-up', name)
    for (const [node, index] of [[ends[0], other], [ends[1], one]] as const) {
      node.indexByLink.set(link, index)
      node.claims.entryUp(link, nodes[index]!.incarnation, `10.0.0.${index}:7720`)
    }
  }
  const send = (node: Node, link: number, message: jobClaims.ClaimMessage): void => {
    const index = node.indexByLink.get(link)
    if (index === undefined || links.get(nameOf(nodes.indexOf(node), index)) !== link) return
    const peer = nodes[index]!
    const { incarnation } = peer
    const sentAt = timers.monotonic()
    timers.after(latencyMs(), () => {
      if (Math.max(node.cutUntil, peer.cutUntil) > sentAt) return
      run(peer, incarnation, () => { if (peer.indexByLink.has(link)) peer.claims.receive(link, message) })
    })
  }
  const startNode = (index: number): void => {
    const node = nodes[index]!
    node.state = 'running'
    node.indexByLink.clear()
    node.incarnation = `entry-${index}-${String(nextIncarnation++).padStart(3, '0')}`
    const own = timersOf(node, node.incarnation)
    const jobs = createJobs(node, own, (key, outcome) => node.claims.jobEnded(key, outcome))
    node.claims = jobClaims.create({
      timers: own,
      log: logOf(node.incarnation),
      incarnation: node.incarnation,
      address: `10.0.0.${index}:7720`,
      jobs,
      lapseAfterMs: LAPSE_MS,
      silentLapseMs: SILENT_LAPSE_MS,
      send: (link, message) => send(node, link, message)
    })
    node.entry.claims = node.claims
    node.entry.cancel = (key) => jobs.cancel(key) || node.claims.cancel(key)
    for (const other of othersOf(index)) timers.after(RELINK_MS, () => openLink(index, other))
  }
  const othersOf = (index: number): number[] => [...nodes.keys()].filter((other) => other !== index)

  for (let index = 0; index < count; index++) {
    const entry: Entry = {
      claims: undefined as unknown as jobClaims.Claims,
      started: [],
      cancel: () => false,
      submit: (job) => {
        const outcomes: jobDispatcher.Outcome[] = []
        const answer: jobDispatcher.Answer = (outcome) => { outcomes.push(outcome) }
        const node = nodes[index]!
        const { incarnation } = node
        run(node, incarnation, () => {
          trace(incarnation, 'is asked for', job.key)
          entry.claims.submit(job, answer)
        })
        return { outcomes, abandon: () => run(node, incarnation, () => entry.claims.abandon(job.key, answer)) }
      },
      end: () => {
        const node = nodes[index]!
        if (node.state === 'ended') return
        trace(node.incarnation, 'process ends')
        node.state = 'ended'
        node.deferred = []
        lapse(node, LAPSE_MS - 1)
        // What was sent before the end arrives before the connection ends.
        timers.after(FIN_MS, () => {
          for (const other of othersOf(index)) closeLink(index, other, (end) => end !== index)
        })
      },
      start: () => { if (nodes[index]!.state === 'ended') startNode(index) },
      freeze: (durationMs) => {
        const node = nodes[index]!
        if (node.state !== 'running') return
        trace(node.incarnation, 'stands still', durationMs)
        node.state = 'frozen'
        const { incarnation } = node
        const frozenAt = timers.monotonic()
        const cancelLapse = lapse(node, SILENT_LAPSE_MS - 1)
        const cancelSilence = timers.after(SILENT_LINK_MS, () => {
          for (const other of othersOf(index)) closeLink(index, other, (end) => end !== index)
        })
        timers.after(durationMs, () => {
          cancelSilence()
          if (node.incarnation !== incarnation || node.state !== 'frozen') return
          node.state = 'running'
          cancelLapse()
          const deferred = node.deferred.splice(0)
          node.claims.suspended(timers.monotonic() - frozenAt)
          for (const [link] of [...node.indexByLink]) {
            node.indexByLink.delete(link)
            node.claims.entryDown(link)
          }
          for (const other of othersOf(index)) closeLink(index, other, (end) => end !== index)
          for (const callback of deferred) callback()
        })
      }
    }
    nodes.push({
      entry,
      claims: entry.claims,
      incarnation: '',
      state: 'ended',
      deferred: [],
      indexByLink: new Map(),
      cutUntil: -Infinity
    })
  }
  for (const index of nodes.keys()) startNode(index)
  return {
    entries: nodes.map(({ entry }) => entry),
    violations,
    /** Events that name the keys or no job. */
    eventsOf: (keys: string[]): string =>
      events.filter((event) => keys.some((key) => event.includes(key)) || !/[0-9a-f]{16}/.test(event)).join('\n'),
    /** Resets the links of an entry to the others. */
    resetLinks: (index: number) => { for (const other of othersOf(index)) closeLink(index, other) }
  }
}
