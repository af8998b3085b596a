import type * as clock from '@mustarddeck/clock'
import type * as runs from '@mustarddeck/runs'
import type * as processes from './processes.ts'

/** As between an entry and an agent; see the package `sessions`, whose contract these links follow. */
const HEARTBEAT_MS = 280
const DIALING_TRUST_MS = 560
const ACCEPTING_TRUST_MS = DIALING_TRUST_MS + HEARTBEAT_MS
const TIMER_TOLERANCE_MS = 25
const REPLY_AFTER_MS = 0.4 * HEARTBEAT_MS

/** One direction between two machines. */
export interface Path {
  latencyMs (): number
  /** Monotonic ms until which nothing passes. */
  blockedUntil: number
}

export interface End {
  process: processes.Process
  /** Path to the other end. */
  path: Path
  receive (message: runs.ToAgent | runs.FromAgent): void
  down (trustedUntil: number): void
}

export interface Link {
  /** Sends from the agent, which dialed, or from the entry, which accepted. */
  send (from: 'agent' | 'entry', message: runs.ToAgent | runs.FromAgent): void
  /** Closes one end; the other one learns of it if the path is open. */
  close (from: 'agent' | 'entry'): void
  /** Closes the end if it no longer trusts the other one to be alive. */
  closeExpired (from: 'agent' | 'entry'): void
  /** The connection is reset between the ends; both see that it was closed by the peer. */
  reset (): void
}

interface Frame {
  sentAt: number
  echo: number
  message: runs.ToAgent | runs.FromAgent | undefined
}

interface EndState {
  end: End
  other: EndState
  dialed: boolean
  closed: boolean
  echoedAt: number
  receivedAt: number
  sentAt: number
  peerClock: number
  /** What the other end has not received yet. */
  inTransit: Array<{ dueAt: number, callback: () => void }>
}

/** Creates a link that is up at both ends. */
export const create = (timers: clock.Timers, agentEnd: End, entryEnd: End): Link => {
  const createState = (end: End, dialed: boolean): EndState => {
    const now = timers.monotonic()
    const times = { echoedAt: now, receivedAt: now, sentAt: now, peerClock: now }
    return { end, dialed, closed: false, ...times, inTransit: [], other: undefined as unknown as EndState }
  }
  const agent = createState(agentEnd, true)
  const entry = createState(entryEnd, false)
  agent.other = entry
  entry.other = agent

  /** Calls back at the other end when what is sent now arrives there, in order. */
  const transmit = (from: EndState, callback: () => void): void => {
    from.inTransit.push({ dueAt: timers.monotonic() + from.end.path.latencyMs(), callback })
    if (from.inTransit.length === 1) deliver(from)
  }
  const deliver = (from: EndState): void => {
    const [next] = from.inTransit
    if (!next) return
    const waitMs = Math.max(next.dueAt, from.end.path.blockedUntil) - timers.monotonic()
    if (waitMs > 0) {
      timers.after(waitMs, () => deliver(from))
      return
    }
    from.inTransit.shift()
    from.other.end.process.run(() => { if (!from.other.closed) next.callback() })
    deliver(from)
  }
  const flush = (from: EndState, message?: runs.ToAgent | runs.FromAgent): void => {
    from.sentAt = timers.monotonic()
    const frame: Frame = { sentAt: from.sentAt, echo: from.peerClock, message }
    transmit(from, () => onFrame(from.other, frame))
  }
  const onFrame = (state: EndState, { sentAt, echo, message }: Frame): void => {
    const now = timers.monotonic()
    state.receivedAt = now
    state.peerClock = sentAt
    state.echoedAt = Math.max(state.echoedAt, echo)
    if (isExpired(state)) return close(state, 'self')
    if (message) state.end.receive(message)
    if (!state.closed && !state.dialed && (!message || now - state.sentAt >= REPLY_AFTER_MS)) flush(state)
  }
  const close = (state: EndState, closedBy: 'self' | 'peer'): void => {
    if (state.closed) return
    state.closed = true
    if (closedBy === 'self') transmit(state, () => close(state.other, 'peer'))
    const peerTrustMs = (state.dialed ? ACCEPTING_TRUST_MS : DIALING_TRUST_MS) + TIMER_TOLERANCE_MS
    state.end.down(closedBy === 'peer' ? timers.monotonic() : state.receivedAt + peerTrustMs)
  }
  const trustMsOf = ({ dialed }: EndState): number => dialed ? DIALING_TRUST_MS : ACCEPTING_TRUST_MS
  const isExpired = (state: EndState): boolean => timers.monotonic() - state.echoedAt > trustMsOf(state)
  const onTimer = (state: EndState): void => {
    if (state.closed) return
    if (isExpired(state)) return close(state, 'self')
    const ageMs = timers.monotonic() - state.echoedAt
    const trustMs = trustMsOf(state)
    if (!state.dialed) return schedule(state, trustMs - ageMs + 1)
    if (ageMs < HEARTBEAT_MS) return schedule(state, HEARTBEAT_MS - ageMs)
    flush(state)
    schedule(state, Math.min(HEARTBEAT_MS, trustMs - ageMs + 1))
  }
  const schedule = (state: EndState, delayMs: number): void => {
    state.end.process.timers.after(Math.max(1, delayMs), () => onTimer(state))
  }
  schedule(agent, 1)
  schedule(entry, 1)

  const stateOf = (from: 'agent' | 'entry'): EndState => from === 'agent' ? agent : entry
  return {
    send: (from, message) => { if (!stateOf(from).closed) flush(stateOf(from), message) },
    close: (from) => close(stateOf(from), 'self'),
    closeExpired: (from) => { if (isExpired(stateOf(from))) close(stateOf(from), 'self') },
    reset: () => { for (const state of [agent, entry]) state.end.process.run(() => close(state, 'peer')) }
  }
}
