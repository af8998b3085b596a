import { expect } from 'chai'
import * as clock from '@mustarddeck/clock'
import { once } from 'node:events'
import * as http from 'node:http'
import * as net from 'node:net'
import * as backendClient from './backend-client.ts'
import * as harness from './testing/harness.ts'

const MAX_RESULT_BYTES = 10_000

describe('calls to the backend server', () => {
  const servers: net.Server[] = []
  const sockets = new Set<net.Socket>()

  const listen = async (server: net.Server): Promise<string> => {
    servers.push(server)
    server.on('connection', (socket) => sockets.add(socket))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/run`
  }
  const create = (url: string, connections = 64): backendClient.BackendClient =>
    backendClient.create({ url, connections, maxResultBytes: MAX_RESULT_BYTES }, clock.createSystem())
  /** Creates a client of a server that handles every request with this listener. */
  const createAnswering = async (answer: http.RequestListener): Promise<backendClient.BackendClient> =>
    create(await listen(http.createServer(answer)))
  /** Creates a client of a server that writes this text after a request and closes the connection. */
  const createWriting = async (text: string): Promise<backendClient.BackendClient> =>
    create(await listen(net.createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => socket.end(text))
    })))

  afterEach(async () => {
    for (const socket of sockets) socket.destroy()
    sockets.clear()
    await Promise.all(servers.splice(0).map((server) => new Promise((resolve) => server.close(resolve))))
  })

  it('sends the documented headers and returns the parsed JSON response', async () => {
    let receivedHeaders: http.IncomingHttpHeaders = {}
    const backend = await createAnswering((request, response) => {
      receivedHeaders = request.headers
      response.writeHead(201, { 'content-type': 'application/json' }).end('{"sheet":[1,null]}')
    })
    const start = harness.start(5, { index: 7, attempt: 2, limitMs: 1234 })
    const { runMs, ...execution } = await backend.execute(start) as { runMs: number }
    expect(execution).to.deep.equal({ kind: 'finished', result: { sheet: [1, null] } })
    expect(runMs).to.be.at.least(0)
    expect(receivedHeaders).to.include({
      'mustarddeck-job': start.job,
      'mustarddeck-task': '7',
      'mustarddeck-attempt': '2',
      'mustarddeck-time-limit-ms': '1234',
      'content-type': 'application/json'
    })
  })

  // After `not-started` the entry starts the task elsewhere, so reporting it wrongly would run the task twice.
  it('reports not-started only when no connection was made or the backend server reports it', async () => {
    const refused = await listen(net.createServer())
    await new Promise((resolve) => servers.pop()!.close(resolve))
    expect(await create(refused).execute(harness.start(1))).to.deep.equal({ kind: 'not-started' })

    const refusing = await createAnswering((_, response) => {
      response.writeHead(503, { 'mustarddeck-not-started': 'true' }).end()
    })
    expect(await refusing.execute(harness.start(1))).to.deep.equal({ kind: 'not-started' })
  })

  it('reports failed for any other error after the connection was made', async () => {
    const header = (status: number, fields = ''): string => `HTTP/1.1 ${status} X\r\n${fields}`
    const json = 'content-type: application/json\r\n'
    const cases: [name: string, text: string, reason: string][] = [
      ['closed without a response', '', 'connection-lost'],
      ['closed in the headers', 'HTTP/1.1 20', 'connection-lost'],
      ['a response that is not HTTP', 'SSH-2.0\r\n\r\n', 'connection-lost'],
      ['closed in the body', `${header(200, json)}content-length: 100\r\n\r\n{"a":`, 'connection-lost'],
      ['closed in a chunk', `${header(200, json)}transfer-encoding: chunked\r\n\r\n5\r\n{"a`, 'connection-lost'],
      ['a body that is not JSON', `${header(200, json)}content-length: 1\r\n\r\n{`, 'backend-error'],
      ['503 without the header', `${header(503)}content-length: 0\r\n\r\n`, 'backend-error'],
      ['503 with another value', `${header(503, 'mustarddeck-not-started: no\r\n')}\r\n`, 'backend-error'],
      ['the header with 500', `${header(500, 'mustarddeck-not-started: true\r\n')}\r\n`, 'backend-error'],
      ['a redirect', `${header(302, 'location: /elsewhere\r\n')}content-length: 0\r\n\r\n`, 'backend-error'],
      ['400', `${header(400)}content-length: 3\r\n\r\nbad`, 'backend-error'],
      ['a response above the maximum size', `${header(200)}\r\n${'x'.repeat(MAX_RESULT_BYTES + 1)}`, 'backend-error']
    ]
    for (const [name, text, reason] of cases) {
      const backend = await createWriting(text)
      expect(await backend.execute(harness.start(1)), name).to.include({ kind: 'failed', reason })
    }
  })

  // A retry inside the HTTP client would start the task twice without the agent noticing.
  it('sends each request once, also when the connection is lost', async () => {
    let requests = 0
    const backend = await createAnswering((request) => {
      requests++
      request.socket.destroy()
    })
    await backend.execute(harness.start(1))
    expect(requests).to.equal(1)
  })

  it('ends a call at its time limit and closes the connection', async () => {
    let closed: Promise<unknown> = Promise.resolve()
    const backend = await createAnswering((_, response) => { closed = once(response, 'close') })
    const execution = await backend.execute(harness.start(1, { limitMs: 50 }))
    expect(execution).to.include({ kind: 'failed', reason: 'time-limit' })
    expect(execution).to.have.property('runMs').that.is.at.least(49)
    await closed
  })

  it('aborts a call and closes the connection', async () => {
    const server = http.createServer()
    const backend = create(await listen(server))
    const ended = backend.execute(harness.start(1))
    const [, response] = await once(server, 'request') as [http.IncomingMessage, http.ServerResponse]
    const closed = once(response, 'close')
    backend.abort(harness.start(2).job, 0)
    backend.abort(harness.start(1).job, 0)
    expect(await ended).to.have.property('kind', 'cancelled')
    await closed
  })

  // If the HTTP client queued calls, they could wait beyond their abort and their time limit.
  it('respects its connection limit and reports a call above it as not started', async () => {
    const heldResponses: http.ServerResponse[] = []
    const server = http.createServer((_, response) => { heldResponses.push(response) })
    const backend = create(await listen(server), 2)
    const running = [1, 2].map((sequence) => backend.execute(harness.start(sequence)))
    while (heldResponses.length < 2) await once(server, 'request')
    expect(await backend.execute(harness.start(3))).to.deep.equal({ kind: 'not-started' })
    expect(sockets.size).to.equal(2)
    heldResponses.forEach((response) => response.end('done'))
    for (const execution of await Promise.all(running)) {
      expect(execution).to.include({ kind: 'finished', result: 'done' })
    }
    const next = backend.execute(harness.start(4))
    const [, response] = await once(server, 'request') as [http.IncomingMessage, http.ServerResponse]
    response.end('done')
    expect(await next).to.include({ kind: 'finished' })
  })

  it('fails a payload that cannot be serialized as JSON without sending a request', async () => {
    const backend = await createAnswering(() => expect.fail('unexpected request'))
    expect(await backend.execute(harness.start(1, { payload: 1n }))).to.include({ kind: 'failed' })
  })
})
