import type * as clock from '@mustarddeck/clock'
import type * as jobDispatcher from '@mustarddeck/job-dispatcher'
import type * as runs from '@mustarddeck/runs'
import type * as interfaces from './interface.ts'

/** Time in ms within which a holder replies to a join. */
const TIMEOUT_MS = 100

/** What became of an attempt to join a job; `silent` if its holder did not reply or is lost. */
export type JoinResult = Exclude<interfaces.JoinState, { kind: 'joined' }> | { kind: 'silent' }

export interface JoinListener {
  /** Called when the holder has confirmed that the caller waits for the job there. */
  joined (): void
  /** Called once, for a joined job when it has ended. */
  settled (result: JoinResult): void
}

/** Jobs of other entries that callers of this entry have joined. */
export interface Joins {
  /** Joins the job. The result leaves it. */
  join (link: number, key: runs.JobKey, timeoutMs: number, listener: JoinListener): () => void
  reply (link: number, request: number, state: interfaces.JoinState): void
  linkDown (link: number): void
}

export interface Options {
  timers: clock.Timers
  send (link: number, message: interfaces.ClaimMessage): void
}

interface Join {
  link: number
  cancelTimer: clock.Cancellation
  listener: JoinListener
}

export const create = ({ timers, send }: Options): Joins => {
  const open = new Map<number, Join>()
  let lastRequest = 0

  const settle = (request: number, result: JoinResult): void => {
    const join = open.get(request)
    if (!join) return
    open.delete(request)
    join.cancelTimer()
    join.listener.settled(result)
  }
  return {
    join: (link, key, timeoutMs, listener) => {
      const request = ++lastRequest
      const leave = (): void => {
        open.get(request)?.cancelTimer()
        if (open.delete(request)) send(link, { kind: 'leave', request })
      }
      const cancelTimer = timers.after(TIMEOUT_MS, () => {
        if (!open.has(request)) return
        // The holder may handle the join later.
        send(link, { kind: 'leave', request })
        settle(request, { kind: 'silent' })
      })
      open.set(request, { link, cancelTimer, listener })
      send(link, { kind: 'join', request, key, timeoutMs })
      return leave
    },
    reply: (link, request, state) => {
      const join = open.get(request)
      if (join?.link !== link) return
      if (state.kind !== 'joined') return settle(request, state)
      join.cancelTimer()
      join.listener.joined()
    },
    linkDown: (link) => {
      for (const [request, join] of [...open]) if (join.link === link) settle(request, { kind: 'silent' })
    }
  }
}

/** Callers of other entries that have joined jobs of this one. */
export interface JoinedCallers {
  add (link: number, request: number, key: runs.JobKey, answer: jobDispatcher.Answer): void
  /** Removes the caller; returns it if its job has not been answered yet. */
  remove (link: number, request: number): JoinedCaller | undefined
  removeLink (link: number): JoinedCaller[]
}

export interface JoinedCaller {
  key: runs.JobKey
  answer: jobDispatcher.Answer
}

export const createJoinedCallers = (): JoinedCallers => {
  const byLink = new Map<number, Map<number, JoinedCaller>>()

  return {
    add: (link, request, key, answer) => {
      const callers = byLink.get(link) ?? new Map<number, JoinedCaller>()
      byLink.set(link, callers.set(request, { key, answer }))
    },
    remove: (link, request) => {
      const callers = byLink.get(link)
      const caller = callers?.get(request)
      callers?.delete(request)
      if (callers?.size === 0) byLink.delete(link)
      return caller
    },
    removeLink: (link) => {
      const callers = [...byLink.get(link)?.values() ?? []]
      byLink.delete(link)
      return callers
    }
  }
}
