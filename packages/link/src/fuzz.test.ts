import { expect } from 'chai'
import * as messages from '@mustarddeck/messages'
import * as fastCheck from 'fast-check'
import * as codec from './codec.ts'
import * as handshake from './handshake.ts'
import * as peers from './testing/peers.ts'

const seed = Number(process.env['SEED'] ?? 1)
const RUNS = 5000
const CONNECTIONS = 60

const samples: messages.Message[] = [
  { kind: 'heartbeat', configuration: 3, waiting: [1, 2, 3] },
  { kind: 'grant', slots: 8 },
  { kind: 'configuration-set', version: 7, digest: 'digest', content: 'x'.repeat(100) },
  peers.createHello('sample')
]

/** A valid frame with bytes overwritten or truncated. */
const mutated = fastCheck.tuple(
  fastCheck.constantFrom(...samples),
  fastCheck.nat(),
  fastCheck.uint8Array({ minLength: 1, maxLength: 8 }),
  fastCheck.nat()
).map(([message, offset, bytes, length]) => {
  const frame = Buffer.from(codec.pack([message, message]))
  frame.set(bytes.subarray(0, frame.length), offset % Math.max(1, frame.length - bytes.length))
  return frame.subarray(0, length % 3 === 0 ? length % frame.length : frame.length)
})
const frames = fastCheck.oneof(fastCheck.uint8Array({ maxLength: 200 }), mutated)

describe('fuzzed frames', () => {
  before(() => process.stdout.write(`    seed ${seed}\n`))

  // A frame must never cause an exception in the event loop, nor yield a message that the schemas don't allow.
  it('are rejected or decoded to valid messages', () => {
    fastCheck.assert(fastCheck.property(frames, (frame) => {
      for (const message of codec.decode(frame) ?? []) expect(messages.parse(message)).to.equal(message)
      handshake.parseChallenge(frame)
      handshake.parseResponse(frame)
      handshake.parseConfirmation(frame)
    }), { seed, numRuns: RUNS })
  })

  // A length field far beyond the size of the frame must cost neither memory nor time.
  it('do not cause allocations of the size in their length fields', () => {
    const claims = [
      [0xdd, 0xff, 0xff, 0xff, 0xff], [0xdf, 0xff, 0xff, 0xff, 0xff], [0xc6, 0xff, 0xff, 0xff, 0xff],
      [0xdb, 0xff, 0xff, 0xff, 0xff], [0xc9, 0xff, 0xff, 0xff, 0xff, 0x01], [0xdd, 0x7f, 0xff, 0xff, 0xff, 0xdd, 0x7f]
    ]
    const before = process.memoryUsage().rss
    const startedAt = performance.now()
    for (const claim of claims) expect(codec.decode(Buffer.from(claim)), claim.join()).to.equal(undefined)
    expect(codec.decode(Buffer.alloc(200_000, 0x91)), 'deep nesting').to.equal(undefined)
    expect(performance.now() - startedAt).to.be.below(1000)
    expect(process.memoryUsage().rss - before).to.be.below(100 * 2 ** 20)
  })

  it('close only their own connection, before and after the handshake', async () => {
    const entry = peers.create('entry')
    const agent = peers.create('agent')
    const address = await entry.links.listen(peers.LOCALHOST, 0)
    agent.links.dial(address)
    const { link } = await entry.next('up')
    const cases = fastCheck.sample(fastCheck.tuple(frames, fastCheck.boolean()), { seed, numRuns: CONNECTIONS })
    for (const [frame, afterHandshake] of cases) {
      const raw = await peers.dialRaw(address)
      if (afterHandshake) await raw.completeHandshake('raw')
      else await raw.next()
      raw.socket.send(frame)
      raw.socket.send(Buffer.from([0xc1]))
      await raw.closed
    }
    entry.links.send(link, { kind: 'recall', slots: 1 })
    expect((await agent.next('message')).message).to.deep.equal({ kind: 'recall', slots: 1 })
    expect(agent.events.filter(({ kind }) => kind === 'down')).to.deep.equal([])
    await Promise.all([agent.links.stop(), entry.links.stop()])
  })
})
