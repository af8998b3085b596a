import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import type * as log from '@mustarddeck/log'
import type * as messages from '@mustarddeck/messages'
import * as random from '@mustarddeck/random'
import type * as types from '@mustarddeck/types'
import * as link from './index.ts'

const KEY = 'a shared key of the tests'
const LOCALHOST = '127.0.0.1'

type Event =
  | { kind: 'up', link: types.LinkId, hello: messages.Hello }
  | { kind: 'message', link: types.LinkId, message: messages.Message }
  | { kind: 'down', link: types.LinkId, reason: string }

/** One process's links with its events; `next` waits for the next event of a kind. */
const peer = (name: string, { key = KEY, limits = {}, hello = {} }: {
  key?: string, limits?: Partial<link.Limits>, hello?: Partial<messages.Hello>
} = {}) => {
  const events: Event[] = []
  const lines: string[] = []
  const waiting: (() => void)[] = []
  const add = (event: Event): void => {
    events.push(event)
    waiting.splice(0).forEach((resume) => resume())
  }
  const write = (event: string, fields: Record<string, log.Field> = {}): void => {
    lines.push(`${event} ${Object.entries(fields).map(([field, value]) => `${field}=${value}`).join(' ')}`)
    waiting.splice(0).forEach((resume) => resume())
  }
  const logger: log.Log = { debug: write, info: write, warn: write, error: write, with: () => logger }
  const until = async <Value>(find: () => Value | undefined): Promise<Value> => {
    for (;;) {
      const value = find()
      if (value !== undefined) return value
      await new Promise<void>((resolve) => waiting.push(resolve))
    }
  }
  let taken = 0
  const links = link.create({
    key,
    hello: () => ({
      kind: 'hello',
      version: 1,
      role: 'entry',
      name,
      incarnation: `${name}-incarnation` as types.Incarnation,
      failureDomain: 'waco-floor' as types.FailureDomainName,
      registered: false,
      slots: 0,
      resources: { cores: 1, memoryMb: 1, accelerators: 0 },
      configuration: 0,
      ...hello
    }),
    heartbeat: () => ({ kind: 'heartbeat', configuration: 0 }),
    handler: {
      up: (id, greeting) => add({ kind: 'up', link: id, hello: greeting }),
      message: (id, message) => add({ kind: 'message', link: id, message }),
      down: (id, reason) => add({ kind: 'down', link: id, reason })
    },
    log: logger,
    timers: clock.createSystem(),
    random: random.create(1),
    limits
  })
  return {
    links,
    events,
    lines,
    next: <Kind extends Event['kind']>(kind: Kind): Promise<Extract<Event, { kind: Kind }>> => until(() => {
      for (; taken < events.length; taken++) {
        const event = events[taken]!
        if (event.kind === kind) {
          taken++
          return event as Extract<Event, { kind: Kind }>
        }
      }
      return undefined
    }),
    line: (pattern: RegExp): Promise<string> => until(() => lines.find((line) => pattern.test(line)))
  }
}

type Peer = ReturnType<typeof peer>

describe('links', () => {
  let peers: Peer[] = []
  const start = (...settings: Parameters<typeof peer>): Peer => {
    const created = peer(...settings)
    peers.push(created)
    return created
  }
  afterEach(async () => {
    await Promise.all(peers.map(({ links }) => links.stop()))
    peers = []
  })

  it('exchanges hello and passes messages in order, batched in one frame', async () => {
    const entry = start('entry')
    const agent = start('agent')
    agent.links.dial(await entry.links.listen(LOCALHOST, 0))
    const [atEntry, atAgent] = await Promise.all([entry.next('up'), agent.next('up')])
    expect(atEntry.hello.name).to.equal('agent')
    expect(atAgent.hello.name).to.equal('entry')
    const framesBefore = agent.links.counts().sent.frames
    for (let slots = 0; slots < 100; slots++) agent.links.send(atAgent.link, { kind: 'grant', slots })
    for (let slots = 0; slots < 100; slots++) {
      expect((await entry.next('message')).message).to.deep.equal({ kind: 'grant', slots })
    }
    expect(agent.links.counts().sent.frames - framesBefore).to.equal(1)
    expect(entry.links.counts().received.messages.get('grant')).to.equal(100)
    expect(entry.links.counts().received.bytes).to.equal(agent.links.counts().sent.bytes)
  })

  // A process with another key must get neither a link nor messages, and the operator must see why.
  it('refuses a peer with another key', async () => {
    const entry = start('entry')
    const agent = start('agent', { key: 'another key of the tests' })
    agent.links.dial(await entry.links.listen(LOCALHOST, 0))
    expect(await entry.line(/link-failed/)).to.include('reason=wrong key')
    expect(await agent.line(/link-failed/)).to.include('by=peer reason=wrong key')
    expect([...entry.events, ...agent.events]).to.deep.equal([])
  })
})
