import type * as clock from '@mustarddeck/clock'
import type * as sessions from '@mustarddeck/sessions'
import type * as deployments from './deployment.ts'
import type * as messages from './messages.ts'

/** Time in ms after which a configuration that was asked for is asked for again, of another peer. */
const ASK_AGAIN_MS = 400
/** Time in ms between repetitions of the version to all peers, so that an answer that was lost is made up for. */
const REPEAT_MS = 1000

export interface Options {
  timers: clock.Timers
  links: sessions.Sessions<messages.Message>
  current (): deployments.Deployment | undefined
  offer (deployment: deployments.Deployment): boolean
  broadcast (message: messages.Message): void
}

/**
 * Passes the configuration on between peers. Only its version is told to all; a process asks one of them for the rest,
 * since a large configuration sent to every peer would hold up a slow link.
 */
export interface Spread {
  up (link: number): void
  /** A newer configuration is in force here. */
  changed (): void
  /** Returns false for a message of another kind. */
  receive (link: number, message: messages.Message): boolean
  stop (): void
}

export const create = ({ timers, links, current, offer, broadcast }: Options): Spread => {
  let asked: { version: number, at: number } | undefined

  const versionMessage = (): messages.Message | undefined => {
    const deployment = current()
    return deployment && { kind: 'version', version: deployment.version }
  }
  const tellAll = (): void => {
    const message = versionMessage()
    if (message) broadcast(message)
  }
  const repeat = (): void => {
    tellAll()
    cancel = timers.after(REPEAT_MS, repeat)
  }
  let cancel = timers.after(REPEAT_MS, repeat)

  const ask = (link: number, version: number): void => {
    if (version <= (current()?.version ?? -1)) return
    const now = timers.monotonic()
    if (asked && asked.version >= version && now - asked.at < ASK_AGAIN_MS) return
    asked = { version, at: now }
    links.send(link, { kind: 'deployment-wanted' })
  }
  return {
    up: (link) => {
      const message = versionMessage()
      if (message) links.send(link, message)
    },
    changed: tellAll,
    receive: (link, message) => {
      if (message.kind === 'version') ask(link, message.version)
      else if (message.kind === 'deployment') offer(message.deployment)
      else if (message.kind === 'deployment-wanted') {
        const deployment = current()
        if (deployment) links.send(link, { kind: 'deployment', deployment })
      } else return false
      return true
    },
    stop: () => cancel()
  }
}
