import net from 'node:net'

/**
 * Forwards each new connection to the `front` address of an edge node, as "Ingress" in PROTOCOL.md says.
 * While `hold` is in force no byte passes in either direction, as on a link that loses all packets: what was sent is
 * delivered in order when it ends, since neither side has reset the connection.
 */
export const start = (host, port, target) => new Promise((resolve, reject) => {
  const sockets = new Set()
  const clients = new Set()
  const broken = new Set()
  let held
  const deliver = (action) => {
    if (held) held.push(action)
    else action()
  }
  const join = (from, to) => {
    sockets.add(from)
    from.on('data', (data) => deliver(() => to.write(data)))
    from.on('end', () => deliver(() => to.end()))
    // A socket of a broken connection tells the other end nothing, and stays open to it.
    from.on('error', () => { if (!broken.has(from)) deliver(() => to.destroy()) })
    from.on('close', () => sockets.delete(from))
  }
  const server = net.createServer({ allowHalfOpen: true }, (client) => {
    const node = net.connect({ ...target, allowHalfOpen: true, noDelay: true })
    client.setNoDelay(true)
    clients.add(client)
    client.on('close', () => clients.delete(client))
    join(client, node)
    join(node, client)
  })
  server.once('error', reject)
  server.listen(port, host, () => resolve({
    hold: (ms) => {
      held = []
      setTimeout(() => {
        const actions = held
        held = undefined
        for (const action of actions) action()
      }, ms)
    },
    /** Resets the open connections; the nodes learn of it only if `informed`, else the packet to them is lost. */
    reset: (informed) => {
      for (const client of [...clients]) {
        if (!informed) broken.add(client)
        client.resetAndDestroy()
        if (informed) client.emit('error', new Error('reset'))
      }
    },
    stop: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }))
})
