import type * as clock from '@mustarddeck/clock'
import type * as interfaces from './interface.ts'

/** Time in ms to wait for replies to a claim. */
const TIMEOUT_MS = 60

/**
 * Result of an inquiry: an entry named a holder, or all replied and none did, or one did not reply in time, or the link
 * to one went down.
 */
export type Finding =
  | { kind: 'held', holder: interfaces.Incarnation }
  | { kind: 'unheld' }
  | { kind: 'unanswered' }
  | { kind: 'link-lost' }

/** Claims that were sent to one or more entries and not answered yet. */
export interface Inquiries {
  /** Sends the claim over the links; `found` is called once, also if no entry replies. */
  ask (
    links: number[], claim: Pick<interfaces.ClaimMessage & { kind: 'claim' }, 'key' | 'claim' | 'former'>,
    found: (finding: Finding) => void
  ): void
  reply (link: number, request: number, holder: interfaces.Incarnation | undefined): void
  /** The entry does not reply to what was sent over the link. */
  linkDown (link: number): void
}

export interface Options {
  timers: clock.Timers
  send (link: number, message: interfaces.ClaimMessage): void
}

interface Inquiry {
  unanswered: Set<number>
  finish (finding: Finding): void
}

export const create = ({ timers, send }: Options): Inquiries => {
  const open = new Map<number, Inquiry>()
  let lastRequest = 0

  return {
    ask: (links, claim, found) => {
      const request = ++lastRequest
      const finish = (finding: Finding): void => {
        open.delete(request)
        cancelTimer()
        found(finding)
      }
      const cancelTimer = timers.after(TIMEOUT_MS, () => finish({ kind: 'unanswered' }))
      open.set(request, { unanswered: new Set(links), finish })
      for (const link of links) send(link, { kind: 'claim', request, ...claim })
    },
    reply: (link, request, holder) => {
      const inquiry = open.get(request)
      if (!inquiry?.unanswered.delete(link)) return
      if (holder !== undefined) inquiry.finish({ kind: 'held', holder })
      else if (inquiry.unanswered.size === 0) inquiry.finish({ kind: 'unheld' })
    },
    linkDown: (link) => {
      for (const inquiry of [...open.values()]) {
        if (inquiry.unanswered.has(link)) inquiry.finish({ kind: 'link-lost' })
      }
    }
  }
}
