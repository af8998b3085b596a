import * as errors from '@mustarddeck/errors'
import type * as clock from '@mustarddeck/clock'
import type * as link from '@mustarddeck/link'
import type * as log from '@mustarddeck/log'
import type * as types from '@mustarddeck/types'
import type * as drainPermits from './drain-permits.ts'
import type * as peers from './peers.ts'

export type Failure = 'unknown-target' | 'unknown-policy' | drainPermits.Refusal

/** Starts a graceful stop of this process or of a linked peer, by name. */
export type Drain = (target: string, policy: string | undefined) => Promise<errors.Result<undefined, Failure>>

/** Limits of planned stops. `maxAtOnce` is the number of workers of one failure domain that may drain at once. */
export interface Policy {
  timeLimitMs: number
  maxAtOnce: number
}

const DEFAULT_POLICY: Policy = { timeLimitMs: 60_000, maxAtOnce: 1 }

export const create = ({ name, peers, links, permits, findPolicy, stop, timers, log }: {
  name: string
  peers: Pick<peers.Peers, 'findLink' | 'findMember'>
  links: Pick<link.Links, 'send'>
  permits: drainPermits.DrainPermits
  findPolicy: (name: string) => Policy | undefined
  stop: () => void
  timers: clock.Timers
  log: log.Log
}): { drain: Drain, beginLocalDrain: (timeLimitMs: number) => void } => {
  let localDrainStarted = false

  const beginLocalDrain = (timeLimitMs: number): void => {
    if (localDrainStarted) return
    localDrainStarted = true
    timers.after(timeLimitMs, () => log.warn('drain-overdue', { timeLimitMs }))
    stop()
  }
  /** Only agents need a permit: an entry hands its jobs over before it stops. */
  const acquirePermit = async (
    link: types.LinkId, { maxAtOnce }: Policy
  ): Promise<errors.Result<undefined, Failure>> => {
    const member = peers.findMember(link)
    return member ? permits.acquire(member, maxAtOnce) : errors.ok(undefined)
  }
  const drain: Drain = async (target, policyName) => {
    const policy = policyName === undefined ? DEFAULT_POLICY : findPolicy(policyName)
    if (policy === undefined) return errors.error('unknown-policy')
    const peerLink = peers.findLink(target)
    if (target !== name && peerLink === undefined) return errors.error('unknown-target')
    const { timeLimitMs } = policy
    if (peerLink === undefined) beginLocalDrain(timeLimitMs)
    else {
      const permit = await acquirePermit(peerLink, policy)
      if (permit.kind === 'error') {
        log.warn('drain-refused', { target, reason: permit.error })
        return permit
      }
      links.send(peerLink, { kind: 'drain', timeLimitMs })
    }
    log.info('drain-requested', { target, policy: policyName, timeLimitMs })
    return errors.ok(undefined)
  }
  return { drain, beginLocalDrain }
}
