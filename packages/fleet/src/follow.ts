import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as deployments from './deployment.ts'
import type * as stores from './store.ts'

/** Time in ms that one call waits for a change; the configuration is confirmed at least this often. */
const WAIT_MS = 1500
/** Pause in ms before the store is asked again after a failure. */
const PAUSE_MS = 150
/** Age in ms up to which a confirmation counts as current; above `WAIT_MS` and the time of a slow answer. */
const CURRENT_MS = 2500

/** The newest configuration that this process has seen, from the store or from a peer; it never goes back. */
export interface Follower {
  current (): deployments.Deployment | undefined
  /** True if the store has confirmed lately that there is nothing newer. */
  isCurrent (): boolean
  /** Takes over a newer configuration; returns false for an older one. */
  offer (deployment: deployments.Deployment): boolean
  stop (): void
}

export interface Options {
  store: stores.Store
  timers: clock.Timers
  log: log.Log
  /** False while peers that follow the store make that needless here. */
  isNeeded (): boolean
  onChange (deployment: deployments.Deployment): void
}

export const create = ({ store, timers, log, isNeeded, onChange }: Options): Follower => {
  let current: deployments.Deployment | undefined
  let mark: stores.Mark | undefined
  let confirmedAt = -Infinity
  let stopped = false
  let wasReachable: boolean | undefined

  const offer = (deployment: deployments.Deployment): boolean => {
    if (current && deployment.version <= current.version) return false
    current = deployment
    log.info('configuration', { version: deployment.version, routes: deployment.routes.length })
    onChange(deployment)
    return true
  }
  const report = (reachable: boolean, reason?: string): void => {
    if (reachable === wasReachable) return
    wasReachable = reachable
    log[reachable ? 'info' : 'warn'](reachable ? 'store-reachable' : 'store-unreachable', { reason })
  }
  const pause = (ms: number): Promise<void> => new Promise((resolve) => timers.after(ms, resolve))

  const step = async (): Promise<void> => {
    const sentAt = timers.monotonic()
    const result = mark ? await store.nextDeployment(mark, WAIT_MS) : await hedged(() => store.deployment(), timers)
    if (result.kind === 'error') {
      mark = undefined
      report(false, result.error.kind === 'silent' ? result.error.reason : result.error.kind)
      if (result.error.kind !== 'history-gone') await pause(PAUSE_MS)
      return
    }
    report(true)
    // An answer without a change has waited, and confirms the moment at which it was sent.
    confirmedAt = result.value.deployment ? sentAt : timers.monotonic()
    mark = result.value.mark
    if (result.value.deployment) offer(result.value.deployment)
    else if (!current) {
      mark = undefined
      await pause(PAUSE_MS)
    }
  }
  const run = async (): Promise<void> => {
    await (isNeeded() ? step() : pause(PAUSE_MS))
    if (!stopped) run()
  }
  run()
  return {
    current: () => current,
    isCurrent: () => timers.monotonic() - confirmedAt < CURRENT_MS,
    offer,
    stop: () => { stopped = true }
  }
}

/** Time in ms without an answer after which a read is repeated beside the first. */
const HEDGE_MS = 250
/** Reads under way at once. */
const MAX_HEDGES = 3

/** Repeats a read that is not answered, and takes the first answer; the last failure if there is none. */
export const hedged = <Value>(
  read: () => Promise<stores.StoreResult<Value>>, timers: clock.Timers
): Promise<stores.StoreResult<Value>> => new Promise((resolve) => {
    let started = 0
    let failed = 0
    let cancel: clock.Cancellation = () => {}
    const attempt = async (): Promise<void> => {
      started++
      if (started < MAX_HEDGES) cancel = timers.after(HEDGE_MS, attempt)
      const result = await read()
      if (result.kind === 'ok' || ++failed === started) {
        cancel()
        resolve(result)
      }
    }
    attempt()
  })
