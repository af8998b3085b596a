import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import * as random from '@mustarddeck/random'
import { once } from 'node:events'
import * as net from 'node:net'
import * as backoff from './backoff.ts'
import * as codec from './codec.ts'
import * as peers from './testing/peers.ts'

describe('links under faults', () => {
  let all: peers.Peer[] = []
  const start = (...settings: Parameters<typeof peers.create>): peers.Peer => {
    const created = peers.create(...settings)
    all.push(created)
    return created
  }
  /** Starts an entry; returns it with the address that it listens on. */
  const listen = async (options?: peers.Options) => {
    const entry = start('entry', options)
    return { entry, address: await entry.links.listen(peers.LOCALHOST, 0) }
  }
  afterEach(async () => {
    await Promise.all(all.map(({ links }) => links.stop()))
    all = []
  })

  it('closes the link and logs a line on a malformed frame, without effect on other links', async () => {
    const { entry, address } = await listen()
    const agent = start('agent')
    agent.links.dial(address)
    const good = await entry.next('up')
    const malformed: [string, Buffer | string][] = [
      ['text', 'text'],
      ['no msgpack', Buffer.from([0xc1])],
      ['empty', Buffer.alloc(0)],
      ['an empty batch', codec.pack([])],
      ['no batch', codec.pack({ kind: 'grant', slots: 1 })],
      ['a second hello', codec.pack([peers.createHello('raw')])],
      ['a valid message before an invalid one', codec.pack([{ kind: 'grant', slots: 1 }, { kind: 'grant' }])]
    ]
    for (const [name, frame] of malformed) {
      const raw = await peers.dialRaw(address)
      await raw.completeHandshake('raw')
      const up = await entry.next('up')
      raw.socket.send(frame)
      expect((await entry.next('down')).link, name).to.equal(up.link)
      expect((await raw.closed).reason, name).to.equal('malformed frame')
    }
    const lines = entry.lines.filter((line) => /^link-down .*peer=raw .*reason=malformed frame/.test(line))
    expect(lines).to.have.length(malformed.length)
    expect(entry.events.filter(({ kind }) => kind === 'message'), 'a malformed frame has no effect').to.deep.equal([])
    entry.links.send(good.link, { kind: 'recall', slots: 1 })
    expect((await agent.next('message')).message).to.deep.equal({ kind: 'recall', slots: 1 })
  })

  it('closes the link on a frame above the size limit', async () => {
    const { entry, address } = await listen({ limits: { maxFrameBytes: 1000 } })
    const raw = await peers.dialRaw(address)
    await raw.completeHandshake('raw')
    raw.send([{ kind: 'configuration-set', version: 1, digest: 'digest', content: 'x'.repeat(1000) }])
    expect((await entry.next('down')).reason).to.match(/Max payload size exceeded/)
    expect((await raw.closed).code).to.equal(1009)
  })

  // Without the limit, a message that the peer rejects would be sent again on each new link.
  it('closes the link instead of sending a message above the size limit', async () => {
    const { entry, address } = await listen({ limits: { maxFrameBytes: 1000 } })
    const raw = await peers.dialRaw(address)
    await raw.completeHandshake('raw')
    const content = 'x'.repeat(1000)
    entry.links.send((await entry.next('up')).link, { kind: 'configuration-set', version: 1, digest: 'd', content })
    expect((await entry.next('down')).reason).to.equal('own message above the size limit')
  })

  // An unauthenticated peer must not be able to make a process buffer large frames.
  it('closes a connection on which the handshake exceeds the size limit or has an unexpected frame', async () => {
    const { entry, address } = await listen()
    const flood = await peers.dialRaw(address)
    await flood.next()
    flood.socket.send(Buffer.alloc(1_000_000))
    await entry.line(/link-failed .*reason=handshake above the size limit/)
    for (const value of [[peers.createHello('raw')], { kind: 'response' }, 'x'.repeat(2000)]) {
      const raw = await peers.dialRaw(address)
      await raw.next()
      raw.send(value)
      expect((await raw.closed).reason).to.equal('malformed frame')
    }
    expect(entry.events).to.deep.equal([])
  })

  it('closes a handshake and a link if no frame arrives within 3 s, and sends a heartbeat every second', async () => {
    const timers = clock.createVirtual()
    const { entry, address } = await listen({ timers })
    const unresponsive = await peers.dialRaw(address)
    await unresponsive.next()
    timers.advance(3000)
    await entry.line(/link-failed .*reason=handshake timeout/)

    const raw = await peers.dialRaw(address)
    await raw.completeHandshake('raw')
    await entry.next('up')
    for (let second = 0; second < 5; second++) {
      raw.send([{ kind: 'heartbeat', configuration: 0 }])
      await entry.next('message')
      timers.advance(1000)
      expect(codec.decode(await raw.next())).to.deep.equal([{ kind: 'heartbeat', configuration: 0 }])
    }
    timers.advance(1999)
    expect(entry.events.at(-1)!.kind).to.equal('message')
    timers.advance(1)
    expect(entry.events.at(-1)).to.include({ kind: 'down', reason: 'no frame within the link timeout' })
  })

  it('closes the link of a peer that does not read', async () => {
    const { entry, address } = await listen({ limits: { maxBufferedBytes: 1_000_000 } })
    const raw = await peers.dialRaw(address)
    await raw.completeHandshake('raw')
    const { link } = await entry.next('up')
    raw.socket.pause()
    const content = 'x'.repeat(100_000)
    while (entry.events.at(-1)!.kind !== 'down') {
      entry.links.send(link, { kind: 'configuration-set', version: 1, digest: 'digest', content })
      await new Promise((resolve) => setImmediate(resolve))
    }
    expect(entry.events.at(-1)).to.include({ reason: 'peer does not read' })
    raw.socket.terminate()
  })

  // Messages of the old link could be older than those on the new one.
  it('replaces the link of a process with its new one and ignores messages that still arrive on the old one', async () => {
    const { entry, address } = await listen()
    const old = await peers.dialRaw(address)
    await old.completeHandshake('raw')
    await entry.next('up')
    const fresh = await peers.dialRaw(address)
    await fresh.completeHandshake('raw')
    old.send([{ kind: 'grant', slots: 1 }])
    fresh.send([{ kind: 'grant', slots: 2 }])
    await old.closed
    const { link } = await entry.next('up')
    expect(await entry.next('message')).to.deep.equal({ kind: 'message', link, message: { kind: 'grant', slots: 2 } })
    expect(entry.events.map(({ kind }) => kind)).to.deep.equal(['up', 'down', 'up', 'message'])
    expect(entry.events[1]).to.include({ link: link - 1, reason: 'replaced by a new link' })
  })

  // If the two sides kept different links, each new link would replace the other forever.
  it('keeps one link when two processes dial each other', async () => {
    for (let round = 0; round < 20; round++) {
      const options: [peers.Options, peers.Options] = [{}, {}]
      const pair = [start('one', options[0]), start('two', options[1])] as const
      options[0].address = await pair[0].links.listen(peers.LOCALHOST, 0)
      options[1].address = await pair[1].links.listen(peers.LOCALHOST, 0)
      pair[0].links.dial(options[1].address)
      pair[1].links.dial(options[0].address)
      const isLinked = ({ links }: peers.Peer) => links.counts().links === 1 || undefined
      const isResolved = ({ lines }: peers.Peer) => lines.some((line) => /redundant|replaced/.test(line)) || undefined
      await Promise.all(pair.flatMap((peer) => [peer.until(() => isLinked(peer)), peer.until(() => isResolved(peer))]))
      await Promise.all(pair.map((peer) => peer.until(() => isLinked(peer))))
      for (const [from, to] of [[pair[0], pair[1]], [pair[1], pair[0]]] as const) {
        const up = from.events.findLast(({ kind }) => kind === 'up')!
        from.links.send(up.link, { kind: 'grant', slots: round })
        expect((await to.next('message')).message).to.deep.equal({ kind: 'grant', slots: round })
      }
      for (const { events } of pair) expect(events.filter(({ kind }) => kind === 'up').length).to.be.at.most(2)
      await Promise.all(pair.map(({ links }) => links.stop()))
    }
  })

  it('does not link a process to itself, and does not retry', async () => {
    const timers = clock.createVirtual()
    const { entry, address } = await listen({ timers })
    entry.links.dial(address)
    await entry.line(/side=dialer .*reason=own address/)
    const before = entry.lines.length
    timers.advance(60_000)
    expect(entry.lines).to.have.length(before)
    expect(entry.events).to.deep.equal([])
  })

  it('redials after the peer has stopped, until the address is forgotten', async () => {
    const first = await listen()
    const agent = start('agent')
    agent.links.dial(first.address)
    await agent.next('up')
    await first.entry.links.stop()
    await agent.next('down')
    await agent.line(/link-failed .*reason=connect ECONNREFUSED/)
    const second = start('second')
    await second.links.listen(peers.LOCALHOST, Number(first.address.split(':')[1]))
    expect((await agent.next('up')).hello.name).to.equal('second')
    agent.links.forget(first.address)
    expect((await second.next('down')).reason).to.equal('by peer: address forgotten')
  })

  // The WebSocket library emits an error when a connection attempt is closed. It must not crash a stopping process.
  it('stops while it dials an address that accepts connections but does not respond', async () => {
    const sockets: net.Socket[] = []
    const server = net.createServer((socket) => {
      socket.on('error', () => {})
      sockets.push(socket)
    })
    server.listen(0, peers.LOCALHOST)
    await once(server, 'listening')
    const agent = start('agent')
    agent.links.dial(`${peers.LOCALHOST}:${(server.address() as net.AddressInfo).port}`)
    await once(server, 'connection')
    await agent.links.stop()
    expect(agent.events).to.deep.equal([])
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })

  // Simultaneous attempts of a whole fleet would overload a restarted entry; long delays would leave work unserved.
  it('randomizes the delays of attempts, within 100 ms at first and within 2 s later', () => {
    const generator = random.create(1)
    for (let failures = 0; failures < 100; failures++) {
      const delays = Array.from({ length: 50 }, () => backoff.delay(failures, generator))
      expect(Math.max(...delays)).to.be.at.most(failures < 2 ? 100 : 2000)
      expect(Math.min(...delays)).to.be.at.least(10)
      expect(new Set(delays).size).to.equal(50)
    }
  })
})
