// The platform's forwarding of clients' connections to the `front` address of an entry.
import * as net from 'node:net'

/** With `openAfterMs`, connections are opened at the entry only that long after the client has opened them. */
export const createForwarder = async (host, port, { openAfterMs = 0 } = {}) => {
  const clients = new Set()
  const server = net.createServer(async (client) => {
    clients.add(client)
    client.on('error', () => {})
    if (openAfterMs > 0) await new Promise((resolve) => setTimeout(resolve, openAfterMs))
    if (client.destroyed) return
    const entry = net.connect({ host, port })
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
