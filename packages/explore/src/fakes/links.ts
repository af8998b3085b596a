import type * as clock from '@mustarddeck/clock'
import * as messages from '@mustarddeck/messages'
import type * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'

/** What the links need of a process. */
export interface Host {
  name: string
  alive (): boolean
  paused (): boolean
  /** Runs the action now, or after the pause; drops it if the process dies first. */
  receive (action: () => void): void
  hello (): messages.Hello
  up (link: types.LinkId, hello: messages.Hello): void
  message (link: types.LinkId, message: messages.Message): void
  down (link: types.LinkId): void
}

interface Direction {
  lastAt: number
  /** Messages that a partition holds back. */
  held: Array<() => void>
  lost: boolean
}

interface End {
  id: types.LinkId
  host: Host
  state: 'opening' | 'up' | 'down'
  /** Messages from the other end to this one. */
  inbound: Direction
  peer: End
}

interface Pair {
  partitioned: boolean
  /** Counts changes of `partitioned`, so that a timeout applies only to the partition that it was set for. */
  epoch: number
  extraDelayMs: number
}

/** Links between processes. Each link keeps its order; a broken link loses what was in flight. */
export interface Links {
  /** Keeps a link from the dialing process to the current process of the other name. */
  dial (from: Host, to: string): void
  add (host: Host): void
  send (host: Host, link: types.LinkId, message: messages.Message): void
  close (host: Host, link: types.LinkId): void
  /** The process ended. `silent`: its peers notice only by their timeout. */
  ended (host: Host, silent: boolean): void
  /** The process stands still: peers time out, and on resumption it reads what had arrived before. */
  stalled (host: Host, stillStalled: () => boolean): void
  resumed (host: Host): void
  partition (a: string, b: string): void
  heal (a: string, b: string): void
  healAll (): void
  slow (a: string, b: string, extraDelayMs: number): void
  breakLink (a: string, b: string): void
}

export const SILENCE_MS = 3000
const DIAL_INTERVAL_MS = 150

export const create = ({ timers, random, fail }: {
  timers: clock.Timers, random: random.Random, fail: (message: string) => void
}): Links => {
  const hosts = new Map<string, Host>()
  const ends = new Map<Host, Map<types.LinkId, End>>()
  const pairs = new Map<string, Pair>()
  const lastIds = new Map<Host, number>()

  const pairOf = (a: string, b: string): Pair => {
    const key = a < b ? `${a} ${b}` : `${b} ${a}`
    let pair = pairs.get(key)
    if (!pair) pairs.set(key, pair = { partitioned: false, epoch: 0, extraDelayMs: 0 })
    return pair
  }
  const between = (a: Host, b: Host): Pair => pairOf(a.name, b.name)
  const endsOf = (host: Host): End[] => [...ends.get(host)?.values() ?? []]
  const endsBetween = (a: string, b: string): End[] => [hosts.get(a), hosts.get(b)]
    .flatMap((host) => host ? endsOf(host) : [])
    .filter(({ peer }) => peer.host.name === a || peer.host.name === b)

  // Most messages take about a network round trip; a few are late enough to cross others on other links.
  const delayMs = (pair: Pair): number => {
    const share = random.float()
    const base = share < 0.85 ? 0.2 + random.float() : share < 0.98 ? random.float() * 30 : random.float() * 400
    return base + pair.extraDelayMs
  }

  const transmit = (to: End, action: () => void): void => {
    const direction = to.inbound
    if (direction.lost) return
    const pair = between(to.host, to.peer.host)
    direction.lastAt = Math.max(direction.lastAt, timers.monotonic() + delayMs(pair))
    const arrive = (): void => {
      if (direction.lost) return
      to.host.receive(() => { if (to.state !== 'down') action() })
    }
    timers.after(direction.lastAt - timers.monotonic(), () => {
      if (pair.partitioned || direction.held.length > 0) direction.held.push(arrive)
      else arrive()
    })
  }

  const setDown = (end: End): void => {
    if (end.state === 'down') return
    const wasUp = end.state === 'up'
    end.state = 'down'
    end.inbound.lost = true
    ends.get(end.host)?.delete(end.id)
    if (wasUp && end.host.alive()) end.host.down(end.id)
  }
  const timeOut = (end: End, stillSilent: () => boolean): void => {
    timers.after(SILENCE_MS + random.float() * 500, () => {
      if (end.state === 'down' || !stillSilent()) return
      end.host.receive(() => closeEnd(end))
    })
  }
  // Data that was sent before the close may still arrive, even after a new link is up.
  const closeEnd = (end: End): void => {
    if (end.state === 'down') return
    setDown(end)
    const peer = end.peer
    if (random.float() < 0.5) peer.inbound.lost = true
    const notice = (): void => peer.host.receive(() => setDown(peer))
    if (between(end.host, peer.host).partitioned) timeOut(peer, () => true)
    else timers.after(Math.max(0, peer.inbound.lastAt - timers.monotonic()) + random.float() * 3, notice)
  }
  const breakEnd = (end: End): void => {
    end.inbound.lost = true
    const halfOpenMs = random.float() < 0.2 ? random.float() * SILENCE_MS : random.float() * 5
    timers.after(halfOpenMs, () => end.host.receive(() => setDown(end)))
  }

  const watchPartition = (end: End): void => {
    const pair = between(end.host, end.peer.host)
    const epoch = pair.epoch
    timeOut(end, () => pair.partitioned && pair.epoch === epoch)
  }
  const createEnd = (host: Host): End => {
    const id = (lastIds.get(host) ?? 0) + 1
    lastIds.set(host, id)
    const end: End = {
      id: id as types.LinkId,
      host,
      state: 'opening',
      inbound: { lastAt: 0, held: [], lost: false },
      peer: undefined as unknown as End
    }
    ends.get(host)!.set(end.id, end)
    return end
  }
  const open = (from: Host, to: Host): void => {
    const a = createEnd(from)
    const b = createEnd(to)
    a.peer = b
    b.peer = a
    for (const end of [a, b]) {
      const hello = end.host.hello()
      transmit(end.peer, () => {
        end.peer.state = 'up'
        end.peer.host.up(end.peer.id, hello)
      })
    }
  }

  const dial = (from: Host, to: string): void => {
    if (!from.alive()) return
    const target = hosts.get(to)
    const linked = endsOf(from).some((end) => end.peer.host.name === to)
    const reachable = target && target.alive() && !target.paused() && !pairOf(from.name, to).partitioned
    if (!linked && reachable && !from.paused()) open(from, target)
    timers.after(DIAL_INTERVAL_MS * (0.5 + random.float()), () => dial(from, to))
  }

  const heal = (a: string, b: string): void => {
    const pair = pairOf(a, b)
    pair.extraDelayMs = 0
    if (!pair.partitioned) return
    pair.partitioned = false
    pair.epoch++
    for (const end of endsBetween(a, b)) for (const arrive of end.inbound.held.splice(0)) arrive()
  }
  return {
    dial,
    add: (host) => {
      hosts.set(host.name, host)
      ends.set(host, new Map())
    },
    send: (host, link, message) => {
      const end = ends.get(host)?.get(link)
      const copy = messages.parse(JSON.parse(JSON.stringify(message)))
      if (!copy) return fail(`${host.name} sent a malformed message: ${JSON.stringify(message)}`)
      if (end?.state === 'up') transmit(end.peer, () => end.peer.host.message(end.peer.id, copy))
    },
    close: (host, link) => {
      const end = ends.get(host)?.get(link)
      if (end) closeEnd(end)
    },
    ended: (host, silent) => {
      for (const end of endsOf(host)) {
        end.state = 'down'
        if (random.float() < 0.5) end.peer.inbound.lost = true
        if (silent || between(host, end.peer.host).partitioned) timeOut(end.peer, () => true)
        else timers.after(random.float() * 50, () => end.peer.host.receive(() => setDown(end.peer)))
      }
      ends.delete(host)
    },
    stalled: (host, stillStalled) => {
      for (const end of endsOf(host)) timeOut(end.peer, stillStalled)
    },
    resumed: (host) => {
      // The process may notice its own missed heartbeats before it reads what had arrived.
      for (const end of endsOf(host)) if (end.peer.state === 'down' && random.float() < 0.5) setDown(end)
    },
    partition: (a, b) => {
      const pair = pairOf(a, b)
      if (pair.partitioned) return
      pair.partitioned = true
      pair.epoch++
      for (const end of endsBetween(a, b)) watchPartition(end)
    },
    heal,
    healAll: () => {
      for (const key of pairs.keys()) {
        const [a, b] = key.split(' ') as [string, string]
        heal(a, b)
      }
    },
    slow: (a, b, extraDelayMs) => { pairOf(a, b).extraDelayMs = extraDelayMs },
    breakLink: (a, b) => endsBetween(a, b).forEach(breakEnd)
  }
}
