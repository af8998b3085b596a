import type * as clock from '@mustarddeck/clock'
import * as declarations from '@mustarddeck/declarations'
import type * as log from '@mustarddeck/log'
import type * as messages from '@mustarddeck/messages'
import type * as platform from '@mustarddeck/platform'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as rows from './rows.ts'
import * as stores from './store.ts'

/** Mean interval in ms between polls. Only entries poll, so the table serves about one read per second and entry. */
const DEFAULT_POLL_MS = 1000
/** Mean delay in ms before the next poll if the row names a set that a stale read of the object store didn't return. */
const MISSING_SET_POLL_MS = 100
/** Time in ms without a response after which a request is sent to another peer instead. */
const REQUEST_TIMEOUT_MS = 2000

export interface FollowerOptions {
  timers: clock.Timers
  random: random.Random
  log: log.Log
  /** Absent in a process that receives versions only from peers. */
  store?: { table: platform.Table, objects: platform.ObjectStore }
  pollMs?: number
  send (link: types.LinkId, message: messages.Message): void
  /** Called for each version that takes effect, in increasing order. */
  adopted (configuration: stores.Configuration, rules: types.Rules): void
}

/**
 * Keeps a process at the newest version available from the store or from peers. The version in force never decreases:
 * older and equal versions are ignored, whatever their source.
 */
export interface Follower {
  /** Returns the version in force, or 0 for none, as sent in `hello` and heartbeats. */
  version (): number
  configuration (): stores.Configuration | undefined
  /** Handles the version in a peer's `hello` or heartbeat. */
  announced (link: types.LinkId, version: number): void
  /** Handles `configuration-request` and `configuration-set`; returns false for any other message. */
  message (link: types.LinkId, message: messages.Message): boolean
  down (link: types.LinkId): void
  start (): void
  /** Stops polling and requests. No version takes effect after this call. */
  stop (): void
}

interface Offer {
  version: number
  digest: string
  content: string
}

export const createFollower = (options: FollowerOptions): Follower => {
  const { timers, random, log, send, adopted, pollMs = DEFAULT_POLL_MS } = options
  /** Versions announced by peers that are newer than the version in force. */
  const offers = new Map<types.LinkId, number>()
  let current: stores.Configuration | undefined
  let request: { link: types.LinkId, cancel: clock.Cancellation } | undefined
  let cancelPoll: clock.Cancellation = () => {}
  let stopped = false
  /** Latest version that this program couldn't interpret. It isn't requested again. */
  let unusable: Pick<Offer, 'version' | 'digest'> | undefined

  const version = (): number => current?.version ?? 0

  const reject = ({ version, digest, content }: Offer, source: string): void => {
    if (declarations.digest(content) === digest) unusable = { version, digest }
    log.error('configuration-refused', { version, digest, source })
  }
  const apply = (offer: Offer, source: string): void => {
    if (stopped || offer.version <= version()) return
    const set = stores.interpret(offer.content, offer.digest)
    if (set.kind !== 'sound') return reject(offer, source)
    current = { ...offer, declarations: set.declarations }
    log.info('configuration', { version: offer.version, digest: offer.digest, source })
    adopted(current, declarations.toRules(set.declarations, offer.version))
    for (const [link, offered] of offers) if (offered <= offer.version) offers.delete(link)
  }

  const endRequest = (): void => {
    request?.cancel()
    request = undefined
  }
  /** Requests the set from the peer with the newest version, unless a request is pending. */
  const requestNewest = (): void => {
    if (stopped || request) return
    const [newestOffer] = [...offers].sort(([, a], [, b]) => b - a)
    if (!newestOffer) return
    const [link] = newestOffer
    const cancel = timers.after(REQUEST_TIMEOUT_MS, () => {
      offers.delete(link)
      endRequest()
      requestNewest()
    })
    request = { link, cancel }
    send(link, { kind: 'configuration-request' })
  }
  const onSet = (link: types.LinkId, { version: offered, digest, content }: Offer): void => {
    if (request?.link === link) {
      offers.delete(link)
      endRequest()
    }
    apply({ version: offered, digest, content }, 'peer')
    requestNewest()
  }

  /** Reads the store once; returns the mean delay in ms until the next poll. */
  const poll = async ({ table, objects }: NonNullable<FollowerOptions['store']>): Promise<number> => {
    const logFailure = ({ error }: { error: platform.StoreError }): number => {
      log.debug('configuration-poll-failed', { error: error.kind })
      return pollMs
    }
    const read = await stores.createStore({ table, objects }).current()
    if (read.kind === 'error') return logFailure(read)
    const { publication } = read.value
    if (!publication || publication.version <= version() || publication.digest === unusable?.digest) return pollMs
    const { version: offered, digest } = publication
    const object = await objects.get(rows.contentKey(digest))
    if (object.kind === 'error') return logFailure(object)
    if (object.value === undefined) return Math.min(pollMs, MISSING_SET_POLL_MS)
    apply({ version: offered, digest, content: object.value }, 'store')
    return pollMs
  }
  /** Schedules a poll, and the following ones with a jitter of 50 to 150 % of the mean delay. */
  const schedule = (delayMs: number): void => {
    cancelPoll = timers.after(delayMs, async () => {
      const meanMs = await poll(options.store!)
      if (!stopped) schedule(meanMs * (0.5 + random.float()))
    })
  }

  return {
    version,
    configuration: () => current,
    announced: (link, announcedVersion) => {
      if (announcedVersion <= version() || announcedVersion === unusable?.version) return
      offers.set(link, announcedVersion)
      requestNewest()
    },
    message: (link, message) => {
      if (message.kind === 'configuration-request') {
        if (current) {
          const { version, digest, content } = current
          send(link, { kind: 'configuration-set', version, digest, content })
        }
        return true
      }
      if (message.kind !== 'configuration-set') return false
      onSet(link, message)
      return true
    },
    down: (link) => {
      offers.delete(link)
      if (request?.link !== link) return
      endRequest()
      requestNewest()
    },
    start: () => { if (options.store) schedule(0) },
    stop: () => {
      stopped = true
      cancelPoll()
      endRequest()
    }
  }
}
