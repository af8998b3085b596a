import type * as clock from '@mustarddeck/clock'
import * as declarations from '@mustarddeck/declarations'
import type * as log from '@mustarddeck/log'
import type * as messages from '@mustarddeck/messages'
import type * as platform from '@mustarddeck/platform'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as rows from './rows.ts'
import * as stores from './store.ts'

/** Mean time between polls. Only entries poll, so this costs the table about one read a second per entry. */
const DEFAULT_POLL_MS = 1000
/** Time to the next poll when the row names a set that a stale read of the object store does not show yet. */
const MISSING_SET_POLL_MS = 100
/** A peer that has not answered a request within this time is passed over for the next one. */
const REQUEST_LIMIT_MS = 2000

export interface FollowerOptions {
  timers: clock.Timers
  random: random.Random
  log: log.Log
  /** Absent in a process that gets versions from its peers only. */
  store?: { table: platform.Table, objects: platform.ObjectStore }
  pollMs?: number
  send (link: types.LinkId, message: messages.Message): void
  /** Called for each version that comes into force, with increasing versions. */
  adopted (configuration: stores.Configuration, rules: types.Rules): void
}

/**
 * Keeps one process at the newest version that it can learn of, from the store or from peers. The version in force
 * never goes down: an older or equal version is ignored, wherever it comes from.
 */
export interface Follower {
  /** Version in force, 0 for none; for `hello` and heartbeats. */
  version (): number
  configuration (): stores.Configuration | undefined
  /** A peer's `hello` or heartbeat names its version. */
  announced (link: types.LinkId, version: number): void
  /** Handles `configuration-request` and `configuration-set`; returns false for any other message. */
  message (link: types.LinkId, message: messages.Message): boolean
  down (link: types.LinkId): void
  start (): void
  /** No version comes into force after this. */
  stop (): void
}

interface Offer {
  version: number
  digest: string
  content: string
}

export const createFollower = (options: FollowerOptions): Follower => {
  const { timers, random, log, send, adopted, pollMs = DEFAULT_POLL_MS } = options
  /** Versions of peers that are newer than the version in force. */
  const offers = new Map<types.LinkId, number>()
  let current: stores.Configuration | undefined
  let request: { link: types.LinkId, cancel: clock.Cancellation } | undefined
  let cancelPoll: clock.Cancellation = () => {}
  let stopped = false
  /** The latest version that this program could not interpret; it is not fetched again. */
  let unusable: Pick<Offer, 'version' | 'digest'> | undefined

  const version = (): number => current?.version ?? 0

  const refuse = ({ version, digest, content }: Offer, source: string): void => {
    if (declarations.digest(content) === digest) unusable = { version, digest }
    log.error('configuration-refused', { version, digest, source })
  }
  const take = (offer: Offer, source: string): void => {
    if (stopped || offer.version <= version()) return
    const set = stores.interpret(offer.content, offer.digest)
    if (set.kind !== 'sound') return refuse(offer, source)
    current = { ...offer, declarations: set.declarations }
    log.info('configuration', { version: offer.version, digest: offer.digest, source })
    adopted(current, declarations.toRules(set.declarations, offer.version))
    for (const [link, offered] of offers) if (offered <= offer.version) offers.delete(link)
  }

  const endRequest = (): void => {
    request?.cancel()
    request = undefined
  }
  /** Asks the peer with the newest version, one peer at a time. */
  const ask = (): void => {
    if (stopped || request) return
    const [best] = [...offers].sort(([, a], [, b]) => b - a)
    if (!best) return
    const [link] = best
    const cancel = timers.after(REQUEST_LIMIT_MS, () => {
      offers.delete(link)
      endRequest()
      ask()
    })
    request = { link, cancel }
    send(link, { kind: 'configuration-request' })
  }
  const received = (link: types.LinkId, { version: offered, digest, content }: Offer): void => {
    if (request?.link === link) {
      offers.delete(link)
      endRequest()
    }
    take({ version: offered, digest, content }, 'peer')
    ask()
  }

  /** Returns the mean time to the next poll. */
  const poll = async ({ table, objects }: NonNullable<FollowerOptions['store']>): Promise<number> => {
    const failed = ({ error }: { error: platform.StoreError }): number => {
      log.debug('configuration-poll-failed', { error: error.kind })
      return pollMs
    }
    const read = await stores.createStore({ table, objects }).current()
    if (read.kind === 'error') return failed(read)
    const { publication } = read.value
    if (!publication || publication.version <= version() || publication.digest === unusable?.digest) return pollMs
    const { version: offered, digest } = publication
    const object = await objects.get(rows.contentKey(digest))
    if (object.kind === 'error') return failed(object)
    if (object.value === undefined) return Math.min(pollMs, MISSING_SET_POLL_MS)
    take({ version: offered, digest, content: object.value }, 'store')
    return pollMs
  }
  /** The next poll begins at a random time from half to one and a half of its mean after the end of this one. */
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
      ask()
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
      received(link, message)
      return true
    },
    down: (link) => {
      offers.delete(link)
      if (request?.link !== link) return
      endRequest()
      ask()
    },
    start: () => { if (options.store) schedule(0) },
    stop: () => {
      stopped = true
      cancelPoll()
      endRequest()
    }
  }
}
