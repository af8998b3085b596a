import type * as clock from '@mustarddeck/clock'
import * as logging from '@mustarddeck/log'
import type * as deployments from './deployment.ts'
import * as evacuations from './evacuations.ts'
import type * as stores from './store.ts'

/** Time in ms that one call waits for a change, and thus the longest interval between confirmations. */
const LONG_POLL_MS = 1500
/** Delay in ms before the store is polled again after a failure. */
const RETRY_DELAY_MS = 150
/** Time in ms for which a confirmation is valid; longer than `LONG_POLL_MS` plus the time of a slow response. */
const CURRENT_FOR_MS = 2500

/**
 * Holds the newest configuration and the newest evacuations received from the store or from peers. Their versions never
 * decrease. A configuration is in force only once the evacuations are known, as tasks would be started in evacuated
 * zones otherwise.
 */
export interface Follower {
  /** The configuration in force. */
  current (): deployments.Deployment | undefined
  /** The newest configuration received, whether or not it is in force. */
  received (): deployments.Deployment | undefined
  evacuations (): evacuations.Evacuations | undefined
  /** True if the store has recently confirmed that there is no newer configuration. */
  isCurrent (): boolean
  /** Applies a newer configuration; returns false if the version isn't newer. */
  offer (deployment: deployments.Deployment): boolean
  /** Applies the evacuations of a peer if they hold as of a higher store version. */
  offerEvacuations (evacuations: evacuations.Evacuations): void
  stop (): void
}

export interface Options {
  store: stores.Store
  timers: clock.Timers
  log: logging.Log
  /** False while peers follow the store on behalf of this process. */
  isNeeded (): boolean
  onChange (deployment: deployments.Deployment): void
  onEvacuations (evacuations: evacuations.Evacuations): void
}

export const create = ({ store, timers, log, isNeeded, onChange, onEvacuations }: Options): Follower => {
  let received: deployments.Deployment | undefined
  const evacuated = evacuations.create({ log, onChange: onEvacuations })
  let mark: stores.Mark | undefined
  let confirmedAt = -Infinity
  let stopped = false
  let wasReachable: boolean | undefined

  const offer = (deployment: deployments.Deployment): boolean => {
    if (received && deployment.version <= received.version) return false
    received = deployment
    log.info('configuration', { version: deployment.version, routes: deployment.routes.length })
    onChange(deployment)
    return true
  }
  const logReachability = (reachable: boolean, reason?: string): void => {
    if (reachable === wasReachable) return
    wasReachable = reachable
    log[reachable ? 'info' : 'warn'](reachable ? 'store-reachable' : 'store-unreachable', { reason })
  }
  const delay = (ms: number): Promise<void> => new Promise((resolve) => timers.after(ms, resolve))

  const poll = async (): Promise<void> => {
    const sentAt = timers.monotonic()
    const result = mark
      ? await store.nextDeployment(mark, LONG_POLL_MS)
      : await hedged(() => store.deployment(), timers)
    if (result.kind === 'error') {
      mark = undefined
      logReachability(false, result.error.kind === 'silent' ? result.error.reason : result.error.kind)
      if (result.error.kind !== 'history-gone') await delay(RETRY_DELAY_MS)
      return
    }
    logReachability(true)
    // The store delays a response without a change, which confirms the configuration as of its arrival. One with a
    // change confirms it only as of the request.
    confirmedAt = result.value.deployment ? sentAt : timers.monotonic()
    mark = result.value.mark
    if (!evacuated.read(result.value.evacuations, mark.version)) mark = undefined
    if (result.value.deployment) offer(result.value.deployment)
    else if (!received) {
      mark = undefined
      await delay(RETRY_DELAY_MS)
    }
  }
  const pollRepeatedly = async (): Promise<void> => {
    const followed = isNeeded() && await logging.guardAsync(log, 'configuration', poll)
    if (!followed) await delay(RETRY_DELAY_MS)
    if (!stopped) pollRepeatedly()
  }
  pollRepeatedly()
  return {
    current: () => evacuated.current() ? received : undefined,
    received: () => received,
    evacuations: evacuated.current,
    isCurrent: () => timers.monotonic() - confirmedAt < CURRENT_FOR_MS,
    offer,
    offerEvacuations: evacuated.receive,
    stop: () => { stopped = true }
  }
}

/** Time in ms without a response after which another read is started in parallel. */
const HEDGE_DELAY_MS = 250
const MAX_CONCURRENT_READS = 3

/** Hedges a slow read with parallel ones. Returns the first success, or the last error if all of them fail. */
export const hedged = <Value>(
  read: () => Promise<stores.StoreResult<Value>>, timers: clock.Timers
): Promise<stores.StoreResult<Value>> => new Promise((resolve, reject) => {
    let started = 0
    let failed = 0
    let cancel: clock.Cancellation = () => {}
    const attempt = (): void => { attemptOnce().catch(reject) }
    const attemptOnce = async (): Promise<void> => {
      started++
      if (started < MAX_CONCURRENT_READS) cancel = timers.after(HEDGE_DELAY_MS, attempt)
      const result = await read()
      if (result.kind === 'ok' || ++failed === started) {
        cancel()
        resolve(result)
      }
    }
    attempt()
  })
