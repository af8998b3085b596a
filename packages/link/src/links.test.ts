import { expect } from 'chai'
import * as messages from '@mustarddeck/messages'
import * as handshake from './handshake.ts'
import * as peers from './testing/peers.ts'

describe('links', () => {
  let all: peers.Peer[] = []
  const start = (...settings: Parameters<typeof peers.create>): peers.Peer => {
    const created = peers.create(...settings)
    all.push(created)
    return created
  }
  const listen = (peer: peers.Peer): Promise<string> => peer.links.listen(peers.LOCALHOST, 0)
  const connect = async (from: peers.Peer, to: peers.Peer) => {
    from.links.dial(await listen(to))
    const [dialer, acceptor] = await Promise.all([from.next('up'), to.next('up')])
    return { dialer, acceptor }
  }
  afterEach(async () => {
    await Promise.all(all.map(({ links }) => links.stop()))
    all = []
  })

  it('exchanges hello and delivers messages in order, batched in one frame', async () => {
    const entry = start('entry')
    const agent = start('agent')
    const { dialer, acceptor } = await connect(agent, entry)
    expect(acceptor.hello.name).to.equal('agent')
    expect(dialer.hello.name).to.equal('entry')
    const framesBefore = agent.links.counts().sent.frames
    for (let slots = 0; slots < 100; slots++) agent.links.send(dialer.link, { kind: 'grant', slots })
    for (let slots = 0; slots < 100; slots++) {
      expect((await entry.next('message')).message).to.deep.equal({ kind: 'grant', slots })
    }
    expect(agent.links.counts().sent.frames - framesBefore).to.equal(1)
    expect(entry.links.counts().received.messages.get('grant')).to.equal(100)
    expect(entry.links.counts().received.bytes).to.equal(agent.links.counts().sent.bytes)
  })

  it('splits a batch above the size limit and keeps the order', async () => {
    const limits = { maxFrameBytes: 2000 }
    const entry = start('entry', { limits })
    const agent = start('agent', { limits })
    const { dialer } = await connect(agent, entry)
    const text = 'x'.repeat(300)
    for (let version = 0; version < 50; version++) {
      agent.links.send(dialer.link, { kind: 'configuration-set', version, digest: 'digest', content: text })
    }
    for (let version = 0; version < 50; version++) {
      expect((await entry.next('message')).message).to.include({ version })
    }
  })

  // A process with another key must get neither a link nor messages, and the reason must be logged for the operator.
  it('refuses a peer with another key, in both directions', async () => {
    const entry = start('entry')
    const agent = start('agent', { key: 'another key of the tests' })
    agent.links.dial(await listen(entry))
    expect(await entry.line(/link-failed/)).to.include('reason=wrong key')
    expect(await agent.line(/link-failed/)).to.include('by=peer reason=wrong key')
    expect([...entry.events, ...agent.events]).to.deep.equal([])
  })

  // An eavesdropper must not learn the key, nor be authenticated with recorded frames.
  it('never sends the key, and rejects replayed and reflected proofs', async () => {
    const entry = start('entry')
    const address = await listen(entry)
    const recorded = await peers.dialRaw(address)
    const challenge = handshake.parseChallenge(await recorded.next())!
    const nonce = handshake.nonce()
    const proof = handshake.prove(peers.KEY, 'dialer', nonce, challenge.nonce)
    recorded.send({ kind: 'response', nonce, proof })
    const confirmation = await recorded.next()
    expect(confirmation.includes(peers.KEY)).to.equal(false)
    recorded.socket.close()

    const replayed = await peers.dialRaw(address)
    await replayed.next()
    replayed.send({ kind: 'response', nonce, proof })
    expect((await replayed.closed).reason).to.equal('wrong key')

    const reflected = await peers.dialRaw(address)
    const { nonce: acceptorNonce } = handshake.parseChallenge(await reflected.next())!
    const reversed = handshake.prove(peers.KEY, 'acceptor', nonce, acceptorNonce)
    reflected.send({ kind: 'response', nonce, proof: reversed })
    expect((await reflected.closed).reason).to.equal('wrong key')
  })

  // A dialer must not send messages to an unauthenticated server at an entry's address.
  it('refuses an acceptor without the key or with another version before sending hello', async () => {
    const nonce = handshake.nonce()
    const challenge = { kind: 'challenge', version: messages.PROTOCOL_VERSION, nonce }
    const cases: [answers: unknown[], reason: string][] = [
      [[challenge, { kind: 'confirmation', proof: nonce }], 'wrong key'],
      [[challenge, { kind: 'confirmation', proof: Buffer.alloc(0) }], 'malformed frame'],
      [[{ ...challenge, version: 99 }], 'protocol version 99']
    ]
    for (const [answers, reason] of cases) {
      const agent = start('agent')
      const impostor = await peers.acceptRaw([...answers])
      agent.links.dial(impostor.address)
      expect(await impostor.closed).to.equal(reason)
      expect(impostor.received).to.have.length(answers.length - 1)
      expect(agent.links.counts().sent.messages.size).to.equal(0)
    }
  })

  it('delivers messages queued before a stop, then reports the link as down once', async () => {
    const entry = start('entry')
    const agent = start('agent')
    const { dialer } = await connect(agent, entry)
    for (let slots = 0; slots < 10; slots++) agent.links.send(dialer.link, { kind: 'grant', slots })
    await agent.links.stop()
    expect((await entry.next('down')).reason).to.equal('by peer: stopping')
    expect(entry.events.map(({ kind }) => kind)).to.deep.equal(['up', ...Array(10).fill('message'), 'down'])
    expect(agent.events.map(({ kind }) => kind)).to.deep.equal(['up', 'down'])
  })

  // Handlers must be able to apply the effects of one event before the next one.
  it('reports a link closed by a handler as down after the handler returns, with no further messages', async () => {
    const entry = start('entry')
    const agent = start('agent')
    const { dialer, acceptor } = await connect(agent, entry)
    for (let slots = 0; slots < 3; slots++) agent.links.send(dialer.link, { kind: 'grant', slots })
    entry.onMessage(() => {
      entry.links.send(acceptor.link, { kind: 'recall', slots: 9 })
      entry.links.close(acceptor.link, 'enough')
      expect(entry.events.at(-1)!.kind).to.equal('message')
    })
    await entry.next('down')
    expect(entry.events.map(({ kind }) => kind)).to.deep.equal(['up', 'message', 'down'])
    expect((await agent.next('message')).message).to.deep.equal({ kind: 'recall', slots: 9 })
    expect((await agent.next('down')).reason).to.equal('by peer: enough')
  })
})
