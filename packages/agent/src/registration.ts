import type * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as membership from '@mustarddeck/membership'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

/** Registration of one agent incarnation in the platform's table. */
export interface Registration {
  /** Tries until it succeeds or the incarnation turns out to have departed, also while the store is down. */
  start (): void
  /** Ends the attempts and removes the incarnation from its row; gives up after a while if the store is down. */
  depart (): Promise<void>
  /** Ends the attempts and leaves the row as it is. */
  stop (): void
}

const FIRST_DELAY_MS = 100
const MAX_DELAY_MS = 2000
/** Entries remove an agent that they cannot reach, so an agent that has drained need not wait long for the store. */
const DEPART_LIMIT_MS = 5000

export const create = ({ registry, member, timers, random: generator, log: logger, onRegistered, onDeparted }: {
  registry: membership.Registry
  member: types.Member
  timers: clock.Timers
  random: random.Random
  log: log.Log
  onRegistered: (membership: types.Membership) => void
  /** The incarnation was removed and must not register again. */
  onDeparted: () => void
}): Registration => {
  let stopped = false
  let gaveUp = false
  let wake: () => void = () => {}
  let running: Promise<void> = Promise.resolve()

  /** Ends early when the registration is stopped. */
  const pause = (attempt: number): Promise<void> => new Promise((resolve) => {
    const longest = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.min(attempt, 10))
    const cancel = timers.after(longest * (1 + generator.float()) / 2, resolve)
    wake = () => {
      cancel()
      resolve()
    }
  })
  const run = async (): Promise<void> => {
    for (let attempt = 0; ; attempt++) {
      const result = await registry.register(member)
      if (stopped) return
      if (result.kind === 'ok') {
        logger.info('registered', { attempts: attempt + 1 })
        return onRegistered(result.value)
      }
      if (result.error.kind === 'conflict') return onDeparted()
      logger[attempt === 0 ? 'warn' : 'debug']('registration-failed', { reason: result.error.kind })
      await pause(attempt)
      if (stopped) return
    }
  }
  const stop = (): void => {
    stopped = true
    wake()
  }
  const tryDepart = async (): Promise<void> => {
    await running
    for (let attempt = 0; ; attempt++) {
      if (gaveUp) return
      const result = await registry.depart(member)
      if (result.kind === 'ok') return logger.info('departed')
      logger[attempt === 0 ? 'warn' : 'debug']('departure-failed', { reason: result.error.kind })
      await pause(attempt)
    }
  }
  return {
    start: () => { running = run() },
    stop,
    depart: () => new Promise((resolve) => {
      stop()
      const cancel = timers.after(DEPART_LIMIT_MS, () => {
        gaveUp = true
        wake()
        resolve()
      })
      tryDepart().then(() => {
        cancel()
        resolve()
      })
    })
  }
}
