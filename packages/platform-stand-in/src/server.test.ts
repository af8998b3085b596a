import * as net from 'node:net'
import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import { expect } from 'chai'
import * as standIn from './index.ts'

const timers = clock.createSystem({ keepAlive: false })
const write = (key: string, version: number, value: unknown): platform.Transaction =>
  ({ conditions: [{ key, version }], writes: [{ key, value }] })
const kindOf = (result: errors.Result<unknown, platform.StoreError>): string =>
  result.kind === 'ok' ? 'ok' : result.error.kind

describe('platform stand-in', () => {
  let server: standIn.StandIn
  let client: platform.Client
  const begin = async (options: Partial<standIn.StandInOptions> = {}, requestLimitMs?: number): Promise<void> => {
    server = await standIn.start({ timers, ...options })
    client = platform.createClient({ url: server.url, requestLimitMs })
  }
  const setFaults = (faults: object): Promise<Response> => fetch(server.url + standIn.FAULTS_PATH, {
    method: 'PATCH', body: JSON.stringify(faults), headers: { 'Content-Type': 'application/json' }
  })
  afterEach(async () => {
    client.close()
    await server.stop()
  })

  it('keeps rows and objects as the in-memory store does', async () => {
    await begin()
    expect(await client.table.transact(write('a/ü?&', 0, { deep: [null, 'x'] }))).to.deep.equal(errors.ok([1]))
    expect(await client.table.transact(write('a/ü?&', 0, 2))).to.deep.equal(
      errors.error({ kind: 'conflict', keys: ['a/ü?&'] }))
    const row = { key: 'a/ü?&', version: 1, value: { deep: [null, 'x'] } }
    expect(await client.table.read('a/ü?&')).to.deep.equal(errors.ok(row))
    expect(await client.table.list('a/')).to.deep.equal(errors.ok([row]))
    expect(await client.table.transact(write('a/ü?&', 1, undefined))).to.deep.equal(errors.ok([0]))
    expect(await client.table.read('a/ü?&')).to.deep.equal(errors.ok(undefined))
    expect(await client.objects.get('o')).to.deep.equal(errors.ok(undefined))
    expect(kindOf(await client.objects.put('o', ''))).to.equal('ok')
    expect(await client.objects.get('o')).to.deep.equal(errors.ok(''))
  })

  it('shows faults that were set over HTTP, and refuses unknown ones', async () => {
    await begin()
    await setFaults({ down: true })
    expect(kindOf(await client.table.transact(write('a', 0, 1)))).to.equal('unavailable')
    expect(kindOf(await client.table.read('a'))).to.equal('unavailable')
    await setFaults({ down: false, lostAnswers: 1 })
    expect(kindOf(await client.table.transact(write('b', 0, 1)))).to.equal('uncertain')
    const row = await client.table.read('b')
    expect(row.kind === 'ok' && row.value?.version, 'the write whose answer was lost').to.equal(1)
    expect((await setFaults({ lostAnswer: 1 })).status).to.equal(400)
  })

  // A write that the client gave up on can still take effect, so that `unavailable` would be a false statement.
  it('makes a write that outlasts the time limit uncertain, and a read unavailable', async () => {
    await begin({ faults: { readMs: 60_000, writeMs: 60_000 } }, 50)
    expect(kindOf(await client.table.transact(write('a', 0, 1)))).to.equal('uncertain')
    expect(kindOf(await client.objects.put('a', ''))).to.equal('uncertain')
    expect(kindOf(await client.table.read('a'))).to.equal('unavailable')
  })

  it('makes a write unavailable if no connection was made', async () => {
    await begin()
    await server.stop()
    expect(kindOf(await client.table.transact(write('a', 0, 1)))).to.equal('unavailable')
  })

  // A server that dies between the request and a whole answer may have applied the write.
  it('makes a write uncertain after any answer that is cut or does not follow the protocol', async () => {
    await begin()
    const answers = ['', 'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
      'HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n', 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n', 'nonsense']
    for (const answer of answers) {
      const broken = net.createServer((socket) => {
        socket.on('error', () => {})
        socket.once('data', () => socket.end(answer))
      })
      await new Promise<void>((resolve) => broken.listen(0, '127.0.0.1', resolve))
      const { port } = broken.address() as net.AddressInfo
      const other = platform.createClient({ url: `http://127.0.0.1:${port}` })
      expect(kindOf(await other.table.transact(write('a', 0, 1))), answer).to.equal('uncertain')
      expect(kindOf(await other.table.read('a')), answer).to.equal('unavailable')
      other.close()
      await new Promise((resolve) => broken.close(resolve))
    }
  })

  // Entries poll lists of up to 250 KB at the target size and may use 25 KB/s.
  it('transfers a list again only after a change', async () => {
    await begin()
    let received = 0
    const proxy = net.createServer((socket) => {
      const upstream = net.connect(Number(new URL(server.url).port), '127.0.0.1')
      upstream.on('data', (data) => { received += data.length })
      for (const side of [socket, upstream]) side.on('error', () => {})
      socket.pipe(upstream).pipe(socket)
    })
    await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve))
    const other = platform.createClient({ url: `http://127.0.0.1:${(proxy.address() as net.AddressInfo).port}` })
    const text = 'x'.repeat(100_000)
    await client.table.transact(write('a', 0, text))
    for (let read = 0; read < 10; read += 1) {
      expect(await other.table.list('')).to.deep.equal(errors.ok([{ key: 'a', version: 1, value: text }]))
    }
    expect(received).to.be.within(100_000, 110_000)
    await client.table.transact(write('a', 1, 'y'))
    expect(await other.table.list('')).to.deep.equal(errors.ok([{ key: 'a', version: 2, value: 'y' }]))
    server.memory.faults.down = true
    expect(kindOf(await other.table.list('')), 'a kept answer in place of an error').to.equal('unavailable')
    other.close()
    await new Promise((resolve) => proxy.close(resolve))
  })

  it('refuses requests above its rates, which writes nothing', async () => {
    await begin({ writesPerSecond: 5 })
    const begun = performance.now()
    const kinds = await Promise.all(Array.from({ length: 60 }, async (_, index) =>
      kindOf(await client.table.transact(write(`${index}`, 0, 1)))))
    const windows = Math.ceil((performance.now() - begun) / 1000) + 1
    const written = kinds.filter((kind) => kind === 'ok').length
    expect(written).to.be.within(5, 5 * windows)
    expect(kinds.filter((kind) => kind === 'unavailable').length).to.equal(60 - written)
    const rows = await client.table.list('')
    expect(rows.kind === 'ok' && rows.value.length).to.equal(written)
  })
})
