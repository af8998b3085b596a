import type * as clock from '@mustarddeck/clock'
import type * as sessions from '@mustarddeck/sessions'
import type * as deployments from './deployment.ts'
import * as evacuations from './evacuations.ts'
import type * as messages from './messages.ts'

/** Time in ms after which an unanswered request for a configuration is sent to another peer. */
const REQUEST_RETRY_MS = 400
/** Interval in ms at which the version is broadcast again, for peers that no other peer has answered. */
const VERSION_INTERVAL_MS = 5000

export interface Options {
  timers: clock.Timers
  links: sessions.Sessions<messages.Message>
  current (): deployments.Deployment | undefined
  offer (deployment: deployments.Deployment): boolean
  evacuations (): evacuations.Evacuations | undefined
  offerEvacuations (evacuations: evacuations.Evacuations): void
  broadcast (message: messages.Message): void
  /** False for a process that broadcasts its version only when it changes. */
  repeatsVersion?: boolean
}

/**
 * Propagates the configuration between peers. Only its version is broadcast. A process that has an older one requests
 * the configuration from one peer, since a large configuration from every peer would block a slow link. Evacuations are
 * sent as a whole, since they are few and urgent.
 */
export interface Propagation {
  up (link: number): void
  /** Called when this process has applied a newer configuration. */
  changed (): void
  /** Called when the evacuations that this process knows of have changed. */
  evacuationsChanged (): void
  /** Handles a message about the configuration or evacuations; returns false for other kinds. */
  receive (link: number, message: messages.Message): boolean
  stop (): void
}

export const create = (options: Options): Propagation => {
  const { timers, links, current, offer, broadcast, repeatsVersion = true } = options
  /** Latest version that each peer has announced, by link; peers that were asked for it are removed. */
  const announced = new Map<number, number>()
  let lastRequest: { version: number, at: number } | undefined
  let cancelRetry: clock.Cancellation = () => {}

  const versionMessage = (): messages.Message | undefined => {
    const deployment = current()
    return deployment && { kind: 'version', version: deployment.version }
  }
  const evacuationsMessage = (): messages.Message | undefined => {
    const evacuations = options.evacuations()
    return evacuations && { kind: 'evacuations', ...evacuations }
  }
  /** Applies the peer's evacuations, or corrects the peer if it knows an older set. */
  const receiveEvacuations = (link: number, received: evacuations.Evacuations): void => {
    options.offerEvacuations(received)
    const own = options.evacuations()
    if (!own || own.storeVersion <= received.storeVersion || evacuations.isSame(own, received)) return
    links.send(link, { kind: 'evacuations', ...own })
  }
  const broadcastVersion = (): void => {
    const message = versionMessage()
    if (message) broadcast(message)
  }
  const broadcastPeriodically = (): void => {
    broadcastVersion()
    cancel = timers.after(VERSION_INTERVAL_MS, broadcastPeriodically)
  }
  let cancel = repeatsVersion ? timers.after(VERSION_INTERVAL_MS, broadcastPeriodically) : () => {}

  const isNewer = (version: number): boolean => version > (current()?.version ?? -1)
  const requestIfNewer = (link: number, version: number): void => {
    if (!isNewer(version)) return
    announced.set(link, version)
    const now = timers.monotonic()
    if (lastRequest && lastRequest.version >= version && now - lastRequest.at < REQUEST_RETRY_MS) return
    lastRequest = { version, at: now }
    announced.delete(link)
    links.send(link, { kind: 'deployment-wanted' })
    cancelRetry()
    cancelRetry = timers.after(REQUEST_RETRY_MS, askNext)
  }
  /** Asks another peer if the one that was asked has not answered. */
  const askNext = (): void => {
    for (const [link, version] of announced) {
      if (isNewer(version)) return requestIfNewer(link, version)
      announced.delete(link)
    }
  }
  return {
    up: (link) => {
      // The peer must know the evacuations before it has a configuration, and before an agent gets orders.
      for (const message of [evacuationsMessage(), versionMessage()]) if (message) links.send(link, message)
    },
    changed: broadcastVersion,
    evacuationsChanged: () => {
      const message = evacuationsMessage()
      if (message) broadcast(message)
    },
    receive: (link, message) => {
      if (message.kind === 'version') requestIfNewer(link, message.version)
      else if (message.kind === 'evacuations') receiveEvacuations(link, message)
      else if (message.kind === 'deployment') offer(message.deployment)
      else if (message.kind === 'deployment-wanted') {
        const deployment = current()
        if (deployment) links.send(link, { kind: 'deployment', deployment })
      } else return false
      return true
    },
    stop: () => {
      cancel()
      cancelRetry()
    }
  }
}
