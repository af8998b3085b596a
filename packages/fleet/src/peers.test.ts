import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as logging from '@mustarddeck/log'
import type * as sessions from '@mustarddeck/sessions'
import { expect } from 'chai'
import type * as messages from './messages.ts'
import * as discovery from './peers.ts'
import type * as stores from './store.ts'

const hello = (name: string): sessions.Hello => ({ role: 'entry', name, life: `${name}-life`, address: `${name}:1` })

/** Peers of the entry `own`, on links that a test brings up. */
const setUp = (own: string) => {
  const timers = clock.createVirtual()
  const dialed: string[] = []
  const forgotten: string[] = []
  const closed: number[] = []
  const peers = discovery.create({
    links: {
      dial: (address: string) => { if (!dialed.includes(address)) dialed.push(address) },
      forget: (address: string) => forgotten.push(address),
      close: (id: number) => closed.push(id),
      send: () => {}
    } as unknown as sessions.Sessions<messages.Message>,
    store: { rows: async () => errors.ok([]) } as unknown as stores.Store,
    timers,
    log: logging.create({ level: 'error' }),
    seeds: [],
    tidies: false,
    hello: hello(own),
    mostLinks: Infinity,
    isIdle: () => false
  })
  return { closed, dialed, forgotten, peers, timers }
}

describe('links between entries', () => {
  // Two links carry each report twice, and what waits would be counted twice.
  it('are one for each pair, also when both dial at the same time', () => {
    const links = (own: string, other: string, ids: { dialed: number, accepted: number }) => {
      const { closed, forgotten, peers } = setUp(own)
      peers.learn([`${other}:1`])
      peers.up({ id: ids.dialed, peer: hello(other), dialed: true })
      peers.up({ id: ids.accepted, peer: hello(other), dialed: false })
      return { closed, forgotten }
    }
    expect(links('a', 'b', { dialed: 1, accepted: 2 })).to.deep.equal({ closed: [], forgotten: [] })
    expect(links('b', 'a', { dialed: 1, accepted: 2 })).to.deep.equal({ closed: [1], forgotten: ['a:1'] })
  })

  it('are not dialed while the other entry has dialed, and are once it is lost', () => {
    const { dialed, peers, timers } = setUp('b')
    const session = { id: 1, peer: hello('a'), dialed: false }
    peers.up(session)
    timers.advance(2000)
    expect(dialed).to.deep.equal([])
    peers.down(session)
    timers.advance(2000)
    expect(dialed).to.deep.equal(['a:1'])
  })
})
