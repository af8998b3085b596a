import * as net from 'node:net'
import * as clock from '@mustarddeck/clock'
import * as errors from '@mustarddeck/errors'
import * as platform from '@mustarddeck/platform'
import { expect } from 'chai'
import * as standIn from './index.ts'

const timers = clock.createSystem({ keepAlive: false })
const write = (key: string, version: number, value: unknown): platform.Transaction =>
  ({ conditions: [{ key, version }], writes: [{ key, value }] })
const outcomeOf = (result: errors.Result<unknown, platform.StoreError>): string =>
  result.kind === 'ok' ? 'ok' : result.error.kind

describe('platform stand-in', () => {
  let server: standIn.StandIn
  let client: platform.Client
  const start = async (options: Partial<standIn.StandInOptions> = {}, requestLimitMs?: number): Promise<void> => {
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
    await start()
    expect(await client.table.transact(write('a/ü?&', 0, { deep: [null, 'x'] }))).to.deep.equal(errors.ok([1]))
    expect(await client.table.transact(write('a/ü?&', 0, 2))).to.deep.equal(
      errors.error({ kind: 'conflict', keys: ['a/ü?&'] }))
    const row = { key: 'a/ü?&', version: 1, value: { deep: [null, 'x'] } }
    expect(await client.table.read('a/ü?&')).to.deep.equal(errors.ok(row))
    expect(await client.table.list('a/')).to.deep.equal(errors.ok([row]))
    expect(await client.table.transact(write('a/ü?&', 1, undefined))).to.deep.equal(errors.ok([0]))
    expect(await client.table.read('a/ü?&')).to.deep.equal(errors.ok(undefined))
    expect(await client.objects.get('o')).to.deep.equal(errors.ok(undefined))
    expect(outcomeOf(await client.objects.put('o', ''))).to.equal('ok')
    expect(await client.objects.get('o')).to.deep.equal(errors.ok(''))
  })

  it('applies faults that are set over HTTP, and rejects unknown ones', async () => {
    await start()
    await setFaults({ down: true })
    expect(outcomeOf(await client.table.transact(write('a', 0, 1)))).to.equal('unavailable')
    expect(outcomeOf(await client.table.read('a'))).to.equal('unavailable')
    await setFaults({ down: false, lostAnswers: 1 })
    expect(outcomeOf(await client.table.transact(write('b', 0, 1)))).to.equal('uncertain')
    const row = await client.table.read('b')
    expect(row.kind === 'ok' && row.value?.version, 'the write whose response was lost').to.equal(1)
    expect((await setFaults({ lostAnswer: 1 })).status).to.equal(400)
  })

  // A write can still take effect after the client's timeout, so it must not be reported as `unavailable`.
  it('fails a write as uncertain after a timeout, and a read as unavailable', async () => {
    await start({ faults: { readMs: 60_000, writeMs: 60_000 } }, 50)
    expect(outcomeOf(await client.table.transact(write('a', 0, 1)))).to.equal('uncertain')
    expect(outcomeOf(await client.objects.put('a', ''))).to.equal('uncertain')
    expect(outcomeOf(await client.table.read('a'))).to.equal('unavailable')
  })

  it('fails a write as unavailable if no connection was made', async () => {
    await start()
    await server.stop()
    expect(outcomeOf(await client.table.transact(write('a', 0, 1)))).to.equal('unavailable')
  })

  // A server that fails before its response is complete may have applied the write.
  it('fails a write as uncertain after any response that is incomplete or violates the protocol', async () => {
    await start()
    const responses = ['', 'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
      'HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n', 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n', 'nonsense']
    for (const response of responses) {
      const brokenServer = net.createServer((socket) => {
        socket.on('error', () => {})
        socket.once('data', () => socket.end(response))
      })
      await new Promise<void>((resolve) => brokenServer.listen(0, '127.0.0.1', resolve))
      const { port } = brokenServer.address() as net.AddressInfo
      const clientOfBrokenServer = platform.createClient({ url: `http://127.0.0.1:${port}` })
      expect(outcomeOf(await clientOfBrokenServer.table.transact(write('a', 0, 1))), response).to.equal('uncertain')
      expect(outcomeOf(await clientOfBrokenServer.table.read('a')), response).to.equal('unavailable')
      clientOfBrokenServer.close()
      await new Promise((resolve) => brokenServer.close(resolve))
    }
  })

  // At the target size, entries poll lists of up to 250 KB within a budget of 25 KB/s.
  it('transfers a list again only after a change', async () => {
    await start()
    let received = 0
    const proxy = net.createServer((socket) => {
      const upstream = net.connect(Number(new URL(server.url).port), '127.0.0.1')
      upstream.on('data', (data) => { received += data.length })
      for (const side of [socket, upstream]) side.on('error', () => {})
      socket.pipe(upstream).pipe(socket)
    })
    await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve))
    const proxiedClient = platform.createClient({ url: `http://127.0.0.1:${(proxy.address() as net.AddressInfo).port}` })
    const text = 'x'.repeat(100_000)
    await client.table.transact(write('a', 0, text))
    for (let read = 0; read < 10; read += 1) {
      expect(await proxiedClient.table.list('')).to.deep.equal(errors.ok([{ key: 'a', version: 1, value: text }]))
    }
    expect(received).to.be.within(100_000, 110_000)
    await client.table.transact(write('a', 1, 'y'))
    expect(await proxiedClient.table.list('')).to.deep.equal(errors.ok([{ key: 'a', version: 2, value: 'y' }]))
    server.memory.faults.down = true
    expect(outcomeOf(await proxiedClient.table.list('')), 'a cached response instead of an error').to.equal('unavailable')
    proxiedClient.close()
    await new Promise((resolve) => proxy.close(resolve))
  })

  it('rejects requests above its rate limits without writing', async () => {
    await start({ writesPerSecond: 5 })
    const startedAt = performance.now()
    const kinds = await Promise.all(Array.from({ length: 60 }, async (_, index) =>
      outcomeOf(await client.table.transact(write(`${index}`, 0, 1)))))
    const windows = Math.ceil((performance.now() - startedAt) / 1000) + 1
    const written = kinds.filter((kind) => kind === 'ok').length
    expect(written).to.be.within(5, 5 * windows)
    expect(kinds.filter((kind) => kind === 'unavailable').length).to.equal(60 - written)
    const rows = await client.table.list('')
    expect(rows.kind === 'ok' && rows.value.length).to.equal(written)
  })
})
