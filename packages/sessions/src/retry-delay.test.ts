import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import { expect } from 'chai'
import * as retryDelay from './retry-delay.ts'

/** Time in ms from the start of all agents until the entry accepts connections. */
const ENTRY_START_MS = 600

/**
 * Agents dial one entry, which spends `handshakeMs` on each handshake, even if the agent has given up in the meantime.
 * Returns the ms from the entry's start until all agents are linked, and the number of handshakes.
 */
const linkAll = (
  agents: number, handshakeMs: number, timeoutMs: number, delayMs: (failures: number) => number
) => {
  const timers = clock.createVirtual()
  const queue: Array<() => void> = []
  let linked = 0
  let handshakes = 0
  let linkedAt = Infinity

  const processNext = (): void => {
    const finish = queue.shift()
    timers.after(finish ? handshakeMs : 1, () => {
      finish?.()
      processNext()
    })
  }
  timers.after(ENTRY_START_MS, processNext)
  const dial = (failures: number): void => {
    const retry = (): void => { timers.after(delayMs(failures), () => dial(failures + 1)) }
    if (timers.monotonic() < ENTRY_START_MS) return retry()
    let abandoned = false
    const cancel = timers.after(timeoutMs, () => {
      abandoned = true
      retry()
    })
    queue.push(() => {
      handshakes++
      if (abandoned) return
      cancel()
      if (++linked === agents) linkedAt = timers.monotonic() - ENTRY_START_MS
    })
  }
  for (let agent = 0; agent < agents; agent++) dial(0)
  timers.advance(30_000)
  return { linkedAt, handshakes }
}

describe('delays between attempts to reach a restarted entry', () => {
  // 160 agents with four links to 35 entries each, and 3,000 to 33; an entry has a third of a core or a whole one.
  for (const [agents, handshakeMs] of [[20, 35], [160, 6], [360, 2.5]] as const) {
    it(`link ${agents} agents in one handshake each, at ${handshakeMs} ms per handshake`, () => {
      const generator = random.create(agents)
      const { linkedAt, handshakes } =
        linkAll(agents, handshakeMs, 2000, (failures) => retryDelay.delayMs(failures, generator))
      expect(handshakes).to.equal(agents)
      expect(linkedAt).to.be.below(1000 + agents * handshakeMs)
    })
  }

  // A third of a core for 20 agents, as on the large deployment. This was the former behavior.
  it('prevent the repeated handshakes of short timeouts and constant delays', () => {
    const { linkedAt, handshakes } = linkAll(20, 35, 250, () => 50)
    expect(handshakes).to.be.above(40)
    expect(linkedAt).to.be.above(3000)
  })

  it('grow to at most a second, and differ between processes', () => {
    const generator = random.create(1)
    const delays = Array.from({ length: 100 }, (_, failures) => retryDelay.delayMs(failures, generator))
    expect(Math.max(...delays.slice(0, 3))).to.be.below(80)
    expect(Math.max(...delays)).to.be.within(500, 1000)
    expect(new Set(delays).size).to.equal(delays.length)
  })
})
