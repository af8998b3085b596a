import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'
import type * as link from '@mustarddeck/link'
import type * as log from '@mustarddeck/log'
import type * as peers from './peers.ts'

export type Failure = 'unknown-target' | 'unknown-policy'

/** Starts a graceful stop of this process or of a peer, by name. */
export type Drain = (target: string, policy: string | undefined) => errors.Result<undefined, Failure>

/** Time limit in ms of a drain without a policy. */
const TIME_LIMIT_MS = 60_000

export const create = ({ name, peers, links, timeLimitOf, stop, timers, log }: {
  name: string
  peers: Pick<peers.Peers, 'linkOf'>
  links: Pick<link.Links, 'send'>
  /** Time limit in ms of a declared drain policy. */
  timeLimitOf: (policy: string) => number | undefined
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
  const drain: Drain = (target, policy) => {
    const timeLimitMs = policy === undefined ? TIME_LIMIT_MS : timeLimitOf(policy)
    if (timeLimitMs === undefined) return errors.error('unknown-policy')
    const peer = peers.linkOf(target)
    if (target !== name && peer === undefined) return errors.error('unknown-target')
    log.info('drain-requested', { target, policy, timeLimitMs })
    if (peer === undefined) begin(timeLimitMs)
    else links.send(peer, { kind: 'drain', timeLimitMs })
    return errors.ok(undefined)
  }
  return { drain, begin }
}
