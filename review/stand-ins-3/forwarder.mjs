import * as net from 'node:net'

/**
 * Starts a forwarder, through which the platform hands each connection of a client to an entry ("Ingress" in
 * PROTOCOL.md). `breakOff` resets a connection for its client, by the client's port; the entry sees nothing of it, as
 * when the packet that would tell it is lost.
 */
export const start = async (host, target) => {
  const clients = new Map()
  const sockets = new Set()
  const server = net.createServer((client) => {
    const entry = net.connect({ ...target, noDelay: true })
    for (const socket of [client, entry]) {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => sockets.delete(socket))
    }
    const connection = { client, isBroken: false }
    clients.set(client.remotePort, connection)
    client.on('data', (data) => entry.write(data))
    entry.on('data', (data) => { if (!connection.isBroken) client.write(data) })
    client.on('close', () => { if (!connection.isBroken) entry.destroy() })
    entry.on('close', () => client.destroy())
  })
  await new Promise((resolve) => server.listen(0, host, resolve))
  return {
    address: { host, port: server.address().port },
    breakOff: (clientPort) => {
      const connection = clients.get(clientPort)
      if (!connection) return
      connection.isBroken = true
      connection.client.resetAndDestroy()
    },
    stop: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
