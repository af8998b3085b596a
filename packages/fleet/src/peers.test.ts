import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as logging from '@mustarddeck/log'
import type * as sessions from '@mustarddeck/sessions'
import { expect } from 'chai'
import type * as messages from './messages.ts'
import * as discovery from './peers.ts'
import type * as stores from './store.ts'

const hello = (name: string): sessions.Hello => ({ role: 'entry', name, life: `${name}-life`, address: `${name}:1` })

/** Creates the peers of the entry `own`, with links that the test brings up. */
const setUp = (own: string, rows: stores.Row[] = []) => {
  const timers = clock.createVirtual()
  const sent: messages.Message[] = []
  const removed: string[] = []
  const dialed: string[] = []
  const forgotten: string[] = []
  const closed: number[] = []
  const peers = discovery.create({
    links: {
      dial: (address: string) => { if (!dialed.includes(address)) dialed.push(address) },
      forget: (address: string) => forgotten.push(address),
      close: (id: number) => closed.push(id),
      send: (_id: number, message: messages.Message) => { sent.push(message) }
    } as unknown as sessions.Sessions<messages.Message>,
    store: {
      rows: async () => errors.ok(rows),
      remove: async (_table: string, key: string) => { removed.push(key) }
    } as unknown as stores.Store,
    timers,
    log: logging.create({ level: 'error' }),
    seeds: [],
    removesStaleRows: true,
    hello: hello(own),
    maxLinks: Infinity,
    isIdle: () => false
  })
  return { closed, dialed, forgotten, peers, removed, sent, timers }
}

describe('links between entries', () => {
  // With two links, each report would arrive twice and waiting jobs would be counted twice.
  it('are limited to one per pair, even if both entries dial at the same time', () => {
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

  it('are not dialed while a link dialed by the other entry is up, but are once it is lost', () => {
    const { dialed, peers, timers } = setUp('b')
    const session = { id: 1, peer: hello('a'), dialed: false }
    peers.up(session)
    timers.advance(2000)
    expect(dialed).to.deep.equal([])
    peers.down(session)
    timers.advance(2000)
    expect(dialed).to.deep.equal(['a:1'])
  })

  it('are not dialed to a malformed address, wherever it comes from, nor is it passed on', async () => {
    const odd = ['10.0.0.999:80', '', '{', '[[[[', '10.0.0.1:65536', '10.0.0.1']
    const { dialed, peers, sent, timers } = setUp('a', odd.map((value, index) => ({ key: `odd-${index}`, value })))
    peers.learn(odd)
    peers.up({ id: 1, peer: { ...hello('odd'), address: odd[0]! }, dialed: false })
    peers.up({ id: 2, peer: hello('b'), dialed: false })
    for (let count = 0; count < 10; count++) {
      timers.advance(500)
      await new Promise((resolve) => setImmediate(resolve))
    }
    expect(dialed).to.deep.equal([])
    const spread = sent.flatMap((message) => message.kind === 'entries' ? message.addresses : [])
    expect([...new Set(spread)]).to.deep.equal(['b:1'])
  })

  // Without its row, processes that start later can't find the entry.
  it('are not made to this entry itself, whose row stays while that of a lost entry is removed', async () => {
    const { dialed, peers, removed, timers } = setUp('b', [{ key: 'b', value: 'b:1' }, { key: 'c', value: 'c:1' }])
    peers.up({ id: 1, peer: hello('a'), dialed: false })
    for (let count = 0; count < 200; count++) {
      timers.advance(500)
      await new Promise((resolve) => setImmediate(resolve))
    }
    expect([...new Set(removed)]).to.deep.equal(['c'])
    expect(dialed).to.deep.equal(['c:1'])
    peers.stop()
  })

  it('are found by further reads of the store after one that fails unexpectedly', async () => {
    const rows = [{ key: 'c', value: 'c:1' }]
    Object.defineProperty(rows, '0', { configurable: true, get: () => { throw new RangeError('test') } })
    const { dialed, peers, timers } = setUp('b', rows)
    await new Promise((resolve) => setImmediate(resolve))
    Object.defineProperty(rows, '0', { value: { key: 'c', value: 'c:1' } })
    timers.advance(1000)
    await new Promise((resolve) => setImmediate(resolve))
    expect(dialed).to.deep.equal(['c:1'])
    peers.stop()
  })
})
