import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as membership from '@mustarddeck/membership'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

/** Registers one incarnation of the agent in the membership table of the platform. */
export interface Registration {
  /** Retries, also while the store is down, until the incarnation is registered or found to have departed. */
  start (): void
  /** Stops registering and removes the incarnation from its row; gives up after `DEPART_LIMIT_MS`. */
  depart (): Promise<void>
  /** Stops registering and leaves the row unchanged. */
  stop (): void
}

const FIRST_DELAY_MS = 100
const MAX_DELAY_MS = 2000
/** Short because entries remove an agent that they cannot reach, so a drained agent need not wait for the store. */
const DEPART_LIMIT_MS = 5000

export const create = ({ registry, member, timers, random: generator, log: logger, onRegistered, onDeparted }: {
  registry: membership.Registry
  member: types.Member
  timers: clock.Timers
  random: random.Random
  log: log.Log
  onRegistered: (membership: types.Membership) => void
  /** Called when the incarnation was removed from its row and must not register again. */
  onDeparted: () => void
}): Registration => {
  let stopped = false
  let departureTimedOut = false
  let endWait: () => void = () => {}
  let registering: Promise<void> = Promise.resolve()

  /** Waits with exponential backoff and jitter; ends early when the registration is stopped. */
  const waitBeforeRetry = (attempt: number): Promise<void> => new Promise((resolve) => {
    const maxWaitMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.min(attempt, 10))
    const cancel = timers.after(maxWaitMs * (1 + generator.float()) / 2, resolve)
    endWait = () => {
      cancel()
      resolve()
    }
  })
  const registerWithRetries = async (): Promise<void> => {
    for (let attempt = 0; ; attempt++) {
      const result = await registry.register(member)
      if (stopped) return
      if (result.kind === 'ok') {
        logger.info('registered', { attempts: attempt + 1 })
        return onRegistered(result.value)
      }
      if (result.error.kind === 'conflict') return onDeparted()
      logger[attempt === 0 ? 'warn' : 'debug']('registration-failed', { reason: result.error.kind })
      await waitBeforeRetry(attempt)
      if (stopped) return
    }
  }
  const stop = (): void => {
    stopped = true
    endWait()
  }
  const departWithRetries = async (): Promise<void> => {
    await registering
    for (let attempt = 0; ; attempt++) {
      if (departureTimedOut) return
      const result = await registry.depart(member)
      if (result.kind === 'ok') return logger.info('departed')
      logger[attempt === 0 ? 'warn' : 'debug']('departure-failed', { reason: result.error.kind })
      await waitBeforeRetry(attempt)
    }
  }
  return {
    start: () => { registering = registerWithRetries() },
    stop,
    depart: () => new Promise((resolve) => {
      stop()
      const cancel = timers.after(DEPART_LIMIT_MS, () => {
        departureTimedOut = true
        endWait()
        resolve()
      })
      departWithRetries().then(() => {
        cancel()
        resolve()
      })
    })
  }
}
