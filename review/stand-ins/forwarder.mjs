import net from 'node:net'

/**
 * Forwards each new connection to the `front` address of an edge node, as "Ingress" in PROTOCOL.md says.
 * While `hold` is in force no byte passes in either direction, as on a link that loses all packets: what was sent is
 * delivered in order when it ends, since neither side has reset the connection.
 */
export const start = (host, port, target) => new Promise((resolve, reject) => {
  const sockets = new Set()
  let held
  const deliver = (action) => {
    if (held) held.push(action)
    else action()
  }
  const join = (from, to) => {
    sockets.add(from)
    from.on('data', (data) => deliver(() => to.write(data)))
    from.on('end', () => deliver(() => to.end()))
    from.on('error', () => deliver(() => to.destroy()))
    from.on('close', () => sockets.delete(from))
  }
  const server = net.createServer({ allowHalfOpen: true }, (client) => {
    const node = net.connect({ ...target, allowHalfOpen: true, noDelay: true })
    client.setNoDelay(true)
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
    stop: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }))
})
