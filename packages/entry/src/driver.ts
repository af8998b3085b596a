import type * as clock from '@mustarddeck/clock'
import type * as core from '@mustarddeck/entry-core'
import type * as link from '@mustarddeck/link'
import type * as log from '@mustarddeck/log'
import type * as membership from '@mustarddeck/membership'
import type * as requests from './requests.ts'

/** Runs the decision code: passes inputs to it one at a time, executes its effects and schedules its timer. */
export interface Driver {
  input (input: core.Input): void
  /** Resolves when the decision code has emitted `drained`. */
  drained: Promise<void>
  stop (): void
}

export interface Dependencies {
  core: core.EntryCore
  timers: clock.Timers
  log: log.Log
  /** Resolved lazily because links, requests and the driver depend on one another. */
  links: () => Pick<link.Links, 'send' | 'close'>
  requests: () => Pick<requests.Requests, 'handleAnswer'>
  registry: Pick<membership.Registry, 'fence' | 'depart'>
}

export const create = ({ core, timers, log, links, requests, registry }: Dependencies): Driver => {
  const queue: core.Input[] = []
  let handling = false
  let stopped = false
  let cancelTimer: clock.Cancellation | undefined
  let resolveDrained = (): void => {}
  const drained = new Promise<void>((resolve) => { resolveDrained = resolve })

  const storeFence = async (incarnation: Parameters<typeof registry.fence>[0]): Promise<void> => {
    const stored = await registry.fence(incarnation)
    if (stored.kind === 'error') log.warn('fence-not-stored', { incarnation, error: stored.error.kind })
    input({ kind: 'fence-stored', incarnation, membership: stored.kind === 'ok' ? stored.value : undefined })
  }
  const storeDeparture = async (member: Parameters<typeof registry.depart>[0]): Promise<void> => {
    const stored = await registry.depart(member)
    if (stored.kind === 'ok') input({ kind: 'membership', membership: stored.value })
    else log.warn('departure-not-stored', { worker: member.worker, error: stored.error.kind })
  }
  const perform = (effect: core.Effect): void => {
    switch (effect.kind) {
      case 'send': return links().send(effect.link, effect.message)
      case 'close': return links().close(effect.link, effect.reason)
      case 'answer': case 'reserved': case 'reserve-refused': return requests().handleAnswer(effect)
      case 'store-fence': { storeFence(effect.incarnation); return }
      case 'store-departure': { storeDeparture(effect.member); return }
      case 'drained': return resolveDrained()
      case 'decision': return log.info(effect.event, effect.fields)
    }
  }
  const schedule = (): void => {
    cancelTimer?.()
    cancelTimer = undefined
    const deadline = core.deadline()
    if (deadline === undefined || deadline === Infinity || stopped) return
    cancelTimer = timers.after(Math.max(0, deadline - timers.monotonic()), () => input({ kind: 'timer' }))
  }
  /** Queues inputs that effects cause, so that the decision code is not re-entered. */
  function input (newInput: core.Input): void {
    queue.push(newInput)
    if (handling || stopped) return
    handling = true
    for (let nextInput = queue.shift(); nextInput; nextInput = queue.shift()) {
      for (const effect of core.handle(nextInput, timers.monotonic())) perform(effect)
    }
    handling = false
    schedule()
  }
  return {
    input,
    drained,
    stop: () => {
      stopped = true
      cancelTimer?.()
    }
  }
}
