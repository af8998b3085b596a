// The platform's forwarding of clients' connections to the `front` address of an entry.
import * as net from 'node:net'

export const createForwarder = async (host, port) => {
  const clients = new Set()
  const server = net.createServer((client) => {
    const entry = net.connect({ host, port })
    clients.add(client)
    client.on('error', () => {})
    entry.on('error', () => client.destroy())
    client.pipe(entry, { end: false })
    entry.pipe(client)
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  server.unref()
  return {
    address: { host: '127.0.0.1', port: server.address().port },
    /** Resets the connections for the clients alone. */
    breakUnseen: () => { for (const client of clients) client.resetAndDestroy() }
  }
}
