import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'
import type * as link from '@mustarddeck/link'
import type * as log from '@mustarddeck/log'
import type * as types from '@mustarddeck/types'
import type * as drainTurns from './drain-turns.ts'
import type * as peers from './peers.ts'

export type Failure = 'unknown-target' | 'unknown-policy' | drainTurns.Refusal

/** Starts a graceful stop of this process or of a peer, by name. */
export type Drain = (target: string, policy: string | undefined) => Promise<errors.Result<undefined, Failure>>

/** Bounds of planned stops. `maxAtOnce` is the number of workers of one failure domain. */
export interface Policy {
  timeLimitMs: number
  maxAtOnce: number
}

const DEFAULT_POLICY: Policy = { timeLimitMs: 60_000, maxAtOnce: 1 }

export const create = ({ name, peers, links, turns, policyOf, stop, timers, log }: {
  name: string
  peers: Pick<peers.Peers, 'linkOf' | 'memberOf'>
  links: Pick<link.Links, 'send'>
  turns: drainTurns.DrainTurns
  policyOf: (name: string) => Policy | undefined
  stop: () => void
  timers: clock.Timers
  log: log.Log
}): { drain: Drain, begin: (timeLimitMs: number) => void } => {
  let begun = false

  const begin = (timeLimitMs: number): void => {
    if (begun) return
    begun = true
    timers.after(timeLimitMs, () => log.warn('drain-overdue', { timeLimitMs }))
    stop()
  }
  /** Workers take turns; an entry hands over before it ends and needs none. */
  const takeTurn = async (link: types.LinkId, { maxAtOnce }: Policy): Promise<errors.Result<undefined, Failure>> => {
    const member = peers.memberOf(link)
    return member ? turns.take(member, maxAtOnce) : errors.ok(undefined)
  }
  const drain: Drain = async (target, policyName) => {
    const policy = policyName === undefined ? DEFAULT_POLICY : policyOf(policyName)
    if (policy === undefined) return errors.error('unknown-policy')
    const peer = peers.linkOf(target)
    if (target !== name && peer === undefined) return errors.error('unknown-target')
    const { timeLimitMs } = policy
    if (peer === undefined) begin(timeLimitMs)
    else {
      const turn = await takeTurn(peer, policy)
      if (turn.kind === 'error') {
        log.warn('drain-refused', { target, reason: turn.error })
        return turn
      }
      links.send(peer, { kind: 'drain', timeLimitMs })
    }
    log.info('drain-requested', { target, policy: policyName, timeLimitMs })
    return errors.ok(undefined)
  }
  return { drain, begin }
}
